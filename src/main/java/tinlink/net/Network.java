package tinlink.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.List;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.Level;

/** Opens connections on the event loop: the channel group, the pooled buffers, and the socket for clients. */
public final class Network {
    /**
     * Runs a completion handler where it completes: handlers only queue, so no thread of their own
     * is needed. With a pool of this kind a read or write is first tried at once, on the loop's
     * thread.
     */
    private static final class DirectExecutorService extends AbstractExecutorService {
        private final Consumer<Runnable> completionRunner;
        private volatile boolean shutDown;

        DirectExecutorService(Consumer<Runnable> completionRunner) {
            this.completionRunner = completionRunner;
        }

        @Override
        public void execute(Runnable task) {
            completionRunner.accept(task);
        }

        @Override
        public void shutdown() {
            shutDown = true;
        }

        @Override
        public List<Runnable> shutdownNow() {
            shutDown = true;
            return List.of();
        }

        @Override
        public boolean isShutdown() {
            return shutDown;
        }

        @Override
        public boolean isTerminated() {
            return shutDown;
        }

        @Override
        public boolean awaitTermination(long timeout, TimeUnit unit) {
            return shutDown;
        }
    }

    /** Accepts connections at a listening socket; called on the event loop's thread. */
    public interface AcceptHandler {
        /** The listener of a connection that was just accepted. */
        Connection.Listener newListener();

        void accepted(Connection connection, Connection.Listener listener);

        /**
         * Whether the next one may be accepted now; if not, {@link Network#accept} is called again
         * later.
         */
        boolean canAccept();

        void acceptFailed(Throwable why);
    }

    private static final EventLog LOG = new EventLog("tinlink.net");
    private final EventLoop loop;
    private final RingBufferPool bufferPool;
    private final AsynchronousChannelGroup group;
    private final IoThread ioThread;
    private ListeningSocket server;

    public Network(EventLoop loop) throws IOException {
        this(loop, Runnable::run);
    }

    /** @param completionRunner runs a completion handler at once; others only show how late ones are borne */
    public Network(EventLoop loop, Consumer<Runnable> completionRunner) throws IOException {
        this.loop = loop;
        bufferPool = new RingBufferPool();
        group = AsynchronousChannelGroup.withThreadPool(
                new DirectExecutorService(completionRunner));
        ioThread = new IoThread(group);
        loop.setCatchUp(ioThread::catchUp);
    }

    private Network(Network other) {
        loop = other.loop;
        bufferPool = other.bufferPool;
        group = other.group;
        ioThread = other.ioThread;
    }

    /**
     * The same loop and channels without a listening socket: its users can't change who is accepted
     * here.
     */
    public Network withoutServer() {
        return new Network(this);
    }

    /**
     * From the loop's thread: runs this while nothing is read. Danger: between the read of a connection and
     * the mark that it has been read lie microseconds; a connection that is closed just then takes a request
     * with it, which its client takes for one that is in flight.
     */
    public void whileReadsPaused(Runnable task) {
        ioThread.whileStopped(task);
    }

    public Connection connect(InetSocketAddress address, Connection.Listener listener)
            throws IOException {
        return Connection.connect(loop, bufferPool, group, address, listener);
    }

    /** One address at which connections are accepted. */
    public final class ListeningSocket {
        private final AsynchronousServerSocketChannel server;
        private boolean accepting;
        private AcceptHandler acceptHandler;

        private ListeningSocket(InetSocketAddress address) throws IOException {
            server = AsynchronousServerSocketChannel.open(group).bind(address, 1024);
        }

        public InetSocketAddress address() throws IOException {
            return (InetSocketAddress) server.getLocalAddress();
        }

        /**
         * Accepts one after another, as long as the handler can; a new handler replaces the one
         * before.
         */
        public void accept(AcceptHandler handler) {
            acceptHandler = handler;
            if (accepting || !server.isOpen() || !acceptHandler.canAccept()) {
                return;
            }
            accepting = true;
            server.accept(null, new CompletionHandler<AsynchronousSocketChannel, Void>() {
                @Override
                public void completed(AsynchronousSocketChannel channel, Void unused) {
                    long acceptedAtUs = loop.currentTimeUs();
                    loop.execute(() -> {
                        accepting = false;
                        Connection.Listener listener = acceptHandler.newListener();
                        Connection connection = Connection.accepted(
                                loop, bufferPool, channel, listener, acceptedAtUs);
                        acceptHandler.accepted(connection, listener);
                        connection.start();
                        accept(acceptHandler);
                    });
                }

                @Override
                public void failed(Throwable e, Void unused) {
                    loop.execute(() -> {
                        accepting = false;
                        if (server.isOpen()) {
                            acceptHandler.acceptFailed(e);
                        }
                    });
                }
            });
        }

        public void close() {
            try {
                server.close();
            } catch (IOException e) {
                LOG.logFailure(Level.WARNING, "listener_close_failed", e);
            }
        }
    }

    /** Clients connect there. */
    public void listen(InetSocketAddress address) throws IOException {
        server = listenAt(address);
    }

    /** One more address to accept at. */
    public ListeningSocket listenAt(InetSocketAddress address) throws IOException {
        return new ListeningSocket(address);
    }

    public InetSocketAddress address() throws IOException {
        return server.address();
    }

    /** Accepts clients one after another, as long as the handler can. */
    public void accept(AcceptHandler acceptHandler) {
        if (server != null) {
            server.accept(acceptHandler);
        }
    }

    public void stopAccepting() {
        server.close();
    }

    /** Closes all that is open. */
    public void close() {
        try {
            group.shutdownNow();
        } catch (IOException e) {
            LOG.logFailure(Level.WARNING, "channel_group_close_failed", e);
        }
    }
}

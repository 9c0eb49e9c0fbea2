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

/**
 * Opens connections on the event loop. Holds the channel group, the buffer pool and the listening
 * socket for clients.
 */
public final class Network {
    /**
     * Runs each completion handler on the thread that completes the operation: handlers only queue
     * tasks, so they need no threads of their own. With an executor of this kind, the channel group
     * first tries each read or write at once on the loop's thread.
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

    /** Handles connections that a listening socket accepts; called on the event loop's thread. */
    public interface AcceptHandler {
        /** Creates the listener of a connection that has just been accepted. */
        Connection.Listener newListener();

        void accepted(Connection connection, Connection.Listener listener);

        /**
         * Returns whether the next connection may be accepted now. If not, {@link Network#accept}
         * must be called again later.
         */
        boolean canAccept();

        void acceptFailed(Throwable cause);
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

    /**
     * @param completionRunner runs a completion handler at once; tests pass one that delays
     *     handlers
     */
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
     * Returns a view with the same loop and channels but without the listening socket, so that its
     * users can't change which connections are accepted.
     */
    public Network withoutServer() {
        return new Network(this);
    }

    /**
     * Runs a task on the loop's thread while no connection is read.
     *
     * <p>Microseconds pass between a read and the flag that marks the read as completed. Closing
     * the connection in between would lose a request that its client believes to be in flight; the
     * pause rules that out.
     */
    public void whileReadsPaused(Runnable task) {
        ioThread.whilePaused(task);
    }

    public Connection connect(InetSocketAddress address, Connection.Listener listener)
            throws IOException {
        return Connection.connect(loop, bufferPool, group, address, listener);
    }

    /** A socket that accepts connections at one address. */
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
         * Accepts connections one after another while the handler allows it. A new handler replaces
         * the previous one.
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

    /** Opens the listening socket for clients. */
    public void listen(InetSocketAddress address) throws IOException {
        server = listenAt(address);
    }

    /** Opens another listening socket. */
    public ListeningSocket listenAt(InetSocketAddress address) throws IOException {
        return new ListeningSocket(address);
    }

    public InetSocketAddress address() throws IOException {
        return server.address();
    }

    /** Accepts client connections one after another while the handler allows it. */
    public void accept(AcceptHandler acceptHandler) {
        if (server != null) {
            server.accept(acceptHandler);
        }
    }

    public void stopAccepting() {
        server.close();
    }

    /** Closes all sockets of the channel group. */
    public void close() {
        try {
            group.shutdownNow();
        } catch (IOException e) {
            LOG.logFailure(Level.WARNING, "channel_group_close_failed", e);
        }
    }
}

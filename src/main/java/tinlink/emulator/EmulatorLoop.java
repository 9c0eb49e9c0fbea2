package tinlink.emulator;

import tinlink.net.Connection;
import tinlink.net.EventLog;
import tinlink.net.EventLoop;
import tinlink.net.EventLoopParticipant;
import tinlink.net.Network;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.logging.Level;

/**
 * The loop on which all stand-ins of an emulation run, on a thread of its own. Its state belongs to
 * that thread; {@link #call} reaches it from others.
 */
public final class EmulatorLoop implements AutoCloseable {
    private static final EventLog LOG = new EventLog("tinlink.emulator");
    final EventLoop loop = new EventLoop();
    final Network network;
    private final Thread thread;

    public EmulatorLoop() throws IOException {
        network = new Network(loop);
        thread = new Thread(
                () -> loop.run(new EventLoopParticipant() {
                    @Override
                    public void turnStarted(long nowUs) {
                        // Stand-ins read the loop's clock themselves.
                    }

                    @Override
                    public void turnEnding() {
                        // Stand-ins act as they are told, at once.
                    }
                }),
                "emulator");
        thread.setDaemon(true);
        thread.start();
    }

    /** Runs on the loop's thread, and returns what came of it; on that thread itself, at once. */
    public <T> T call(Supplier<T> what) {
        if (Thread.currentThread() == thread) {
            return what.get();
        }
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                done.complete(what.get());
            } catch (RuntimeException e) {
                done.completeExceptionally(e);
            }
        });
        return done.join();
    }

    public void run(Runnable what) {
        call(() -> {
            what.run();
            return null;
        });
    }

    /** Microseconds, of the turn in hand. */
    public long now() {
        return loop.nowUs();
    }

    public void schedule(long us, Runnable what) {
        loop.schedule(us, what);
    }

    /** A free port of loopback, or that one. */
    static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /** Whoever connects there gets an owner made by the door. */
    Network.ListeningSocket listen(InetSocketAddress at, Supplier<ConnectionHandler> owners)
            throws IOException {
        Network.ListeningSocket listening = network.listenAt(at);
        listening.accept(new Network.AcceptHandler() {
            @Override
            public Connection.Listener newListener() {
                return owners.get();
            }

            @Override
            public void accepted(Connection link, Connection.Listener owner) {
                ((ConnectionHandler) owner).connectionAccepted(link);
            }

            @Override
            public boolean canAccept() {
                return true;
            }

            @Override
            public void acceptFailed(Throwable why) {
                LOG.logFailure(Level.WARNING, "accept_failed", why);
            }
        });
        return listening;
    }

    /** The owner of a connection that a stand-in has accepted. */
    interface ConnectionHandler extends Connection.Listener {
        void connectionAccepted(Connection link);
    }

    @Override
    public void close() {
        loop.execute(() -> {
            network.close();
            loop.stop();
        });
    }
}

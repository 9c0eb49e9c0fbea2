package tinlink.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.logging.Level;

/**
 * Pauses the one thread on which a channel group completes reads. The group offers no way to pause
 * that thread, so this class keeps a loopback connection within the group: the thread reads a byte
 * that was written to one end, and the completion handler of that read blocks.
 */
final class IoThread {
    private static final EventLog LOG = new EventLog("tinlink.net");

    /**
     * Bounds the wait for a pause, to 0.2 s of waits that were not interrupted: an I/O thread that
     * gets no processor time must not hold up the lookups of the loop for long.
     */
    private static final int MAX_WAITS = 4;

    /**
     * The length of one wait for a pause. After the whole process was suspended, a single long wait
     * would expire before the I/O thread has run, so the wait is split into short ones.
     */
    private static final long WAIT_MS = 50;

    private static final long CONNECT_TIMEOUT_MS = 1_000;

    /** One pause of the I/O thread, which reports its arrival and then waits for its release. */
    private static final class Pause {
        private final CountDownLatch arrived = new CountDownLatch(1);
        private final CountDownLatch released = new CountDownLatch(1);
    }

    private record LoopbackPair(
            AsynchronousSocketChannel writeEnd, AsynchronousSocketChannel readEnd) {}

    /** Null if no loopback connection could be opened; the I/O thread is then never paused. */
    private final LoopbackPair loopback;

    private final ByteBuffer sentByte = ByteBuffer.allocate(1);
    private final ByteBuffer receivedByte = ByteBuffer.allocate(1);

    /** One entry for each written byte, removed when the byte is read. */
    private final Queue<Pause> pauses = new ConcurrentLinkedQueue<>();

    /** Whether a pause is in progress; used on the loop's thread only. */
    private boolean paused;

    private final CompletionHandler<Integer, Void> readHandler = new CompletionHandler<>() {
        @Override
        public void completed(Integer count, Void unused) {
            if (count > 0) {
                // The next read starts before the pause, while no byte can be available; otherwise
                // completion handlers could nest.
                read();
                pauseHere();
            }
        }

        @Override
        public void failed(Throwable e, Void unused) {
            LOG.logFailure(Level.FINE, "io_thread_signal_ended", e);
        }
    };

    private final CompletionHandler<Integer, Pause> writeHandler = new CompletionHandler<>() {
        @Override
        public void completed(Integer count, Pause pause) {
            // The I/O thread reports its arrival when it reads the byte.
        }

        @Override
        public void failed(Throwable e, Pause pause) {
            LOG.logFailure(Level.FINE, "io_thread_signal_failed", e);
            pauses.remove(pause);
            pause.arrived.countDown();
        }
    };

    IoThread(AsynchronousChannelGroup group) {
        loopback = connect(group);
        if (loopback != null) {
            read();
        }
    }

    private static LoopbackPair connect(AsynchronousChannelGroup group) {
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        try (AsynchronousServerSocketChannel server =
                AsynchronousServerSocketChannel.open(group).bind(anyPort)) {
            AsynchronousSocketChannel writeEnd = AsynchronousSocketChannel.open(group);
            Future<Void> connected = writeEnd.connect(server.getLocalAddress());
            AsynchronousSocketChannel readEnd = await(server.accept());
            await(connected);
            // Any process on this machine can connect to that port, so a connection that does not
            // come from the write end is closed.
            while (!writeEnd.getLocalAddress().equals(readEnd.getRemoteAddress())) {
                readEnd.close();
                readEnd = await(server.accept());
            }
            return new LoopbackPair(writeEnd, readEnd);
        } catch (IOException e) {
            LOG.logFailure(Level.WARNING, "io_thread_control_unavailable", e);
            return null;
        }
    }

    private static <T> T await(Future<T> result) throws IOException {
        try {
            return result.get(CONNECT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException(
                    "loopback connection failed or was not established within " + CONNECT_TIMEOUT_MS
                            + " ms",
                    e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while opening the loopback connection", e);
        }
    }

    private void read() {
        receivedByte.clear();
        loopback.readEnd.read(receivedByte, null, readHandler);
    }

    private void pauseHere() {
        Pause pause = pauses.poll();
        if (pause != null) {
            pause.arrived.countDown();
            try {
                pause.released.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /**
     * Runs a task while the I/O thread is paused between two completed reads. All earlier reads are
     * then known, and no other read takes place. To be called on the loop's thread.
     */
    void whilePaused(Runnable task) {
        if (paused || loopback == null) {
            task.run();
            return;
        }
        Pause pause = new Pause();
        pauses.add(pause);
        paused = true;
        try {
            signal(pause);
            if (!awaitArrival(pause)) {
                LOG.log(Level.WARNING, "io_thread_pause_timeout", "waited_ms", MAX_WAITS * WAIT_MS);
            }
            task.run();
        } finally {
            paused = false;
            pause.released.countDown();
        }
    }

    private void signal(Pause pause) {
        sentByte.clear();
        try {
            loopback.writeEnd.write(sentByte, pause, writeHandler);
        } catch (RuntimeException e) {
            writeHandler.failed(e, pause);
        }
    }

    private static boolean awaitArrival(Pause pause) {
        try {
            for (int i = 0; i < MAX_WAITS; i++) {
                if (pause.arrived.await(WAIT_MS, TimeUnit.MILLISECONDS)) {
                    return true;
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return false;
    }

    /**
     * Returns once the I/O thread has handled all events that had arrived before the call. Within
     * one poll, the signal may be handled before other events; a second signal arrives with a later
     * poll and shows that all events of the first poll have been handled. To be called on the
     * loop's thread.
     */
    void catchUp() {
        whilePaused(() -> {});
        whilePaused(() -> {});
    }
}

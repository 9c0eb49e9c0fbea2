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
 * A handle on the one thread on which a channel group completes reads. The group has no way to stop that
 * thread, so this keeps a loopback connection within the group: a byte written to one end is read by the
 * thread at the other, and the handler of that read stops there.
 */
final class IoThread {
    private static final EventLog LOG = new EventLog("tinlink.net");

    /** Danger: a thread that gets no processor time must not hold up the loop for ever. */
    private static final int MAX_WAITS = 40;

    /** Danger: of a process that was frozen, one long wait would be over before the I/O thread has run. */
    private static final long WAIT_MS = 50;

    private static final long CONNECT_TIMEOUT_MS = 1_000;

    /** One stop of the I/O thread: it arrives, waits, and is released. */
    private static final class Stop {
        private final CountDownLatch arrived = new CountDownLatch(1);
        private final CountDownLatch released = new CountDownLatch(1);
    }

    private record LoopbackPair(
            AsynchronousSocketChannel writeEnd, AsynchronousSocketChannel readEnd) {}

    /** Null where none could be opened; the I/O thread is then not stopped. */
    private final LoopbackPair loopback;

    private final ByteBuffer sentByte = ByteBuffer.allocate(1);
    private final ByteBuffer receivedByte = ByteBuffer.allocate(1);

    /** One for each byte that was written; each leaves as its byte is read. */
    private final Queue<Stop> stops = new ConcurrentLinkedQueue<>();

    /** Of the loop's thread: the I/O thread stands still. */
    private boolean stopped;

    private final CompletionHandler<Integer, Void> readHandler = new CompletionHandler<>() {
        @Override
        public void completed(Integer count, Void unused) {
            if (count > 0) {
                // Danger: read again before the stop, while no byte can be there, so that handlers
                // don't nest.
                read();
                pauseHere();
            }
        }

        @Override
        public void failed(Throwable e, Void unused) {
            LOG.logFailure(Level.FINE, "io_thread_signal_ended", e);
        }
    };

    private final CompletionHandler<Integer, Stop> writeHandler = new CompletionHandler<>() {
        @Override
        public void completed(Integer count, Stop stop) {
            // The I/O thread says when it has arrived.
        }

        @Override
        public void failed(Throwable e, Stop stop) {
            LOG.logFailure(Level.FINE, "io_thread_signal_failed", e);
            stops.remove(stop);
            stop.arrived.countDown();
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
            // Danger: any process of this machine can connect to that port.
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
            throw new IOException("no loopback connection", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    private void read() {
        receivedByte.clear();
        loopback.readEnd.read(receivedByte, null, readHandler);
    }

    private void pauseHere() {
        Stop stop = stops.poll();
        if (stop != null) {
            stop.arrived.countDown();
            try {
                stop.released.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /**
     * From the loop's thread: runs this while the I/O thread stands still, between two completed reads. What
     * it has read by then is known, and it reads nothing meanwhile.
     */
    void whileStopped(Runnable task) {
        if (stopped || loopback == null) {
            task.run();
            return;
        }
        Stop stop = new Stop();
        stops.add(stop);
        stopped = true;
        try {
            signal(stop);
            if (!awaitArrival(stop)) {
                LOG.log(Level.WARNING, "io_thread_pause_timeout", "waited_ms", MAX_WAITS * WAIT_MS);
            }
            task.run();
        } finally {
            stopped = false;
            stop.released.countDown();
        }
    }

    private void signal(Stop stop) {
        sentByte.clear();
        try {
            loopback.writeEnd.write(sentByte, stop, writeHandler);
        } catch (RuntimeException e) {
            writeHandler.failed(e, stop);
        }
    }

    private static boolean awaitArrival(Stop stop) {
        try {
            for (int i = 0; i < MAX_WAITS; i++) {
                if (stop.arrived.await(WAIT_MS, TimeUnit.MILLISECONDS)) {
                    return true;
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return false;
    }

    /**
     * From the loop's thread: returns when the I/O thread has handled all events that were there at the call.
     * Of the events of one poll the signal may be handled before others; a second one comes with a later
     * poll, and shows that all of the first have been handled.
     */
    void catchUp() {
        whileStopped(() -> {});
        whileStopped(() -> {});
    }
}

package tinlink.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;

/**
 * One connection: a ring buffer a direction, at most one read and one write under way. Completion handlers
 * only note what came and queue it; all else happens on the event loop's thread.
 */
public final class Connection {
    private static final EventLog LOG = new EventLog("tinlink.net");

    /** What happens to a connection, told on the event loop's thread. */
    public interface Listener {
        /** The connection is established. */
        default void connected() {}

        /** There may be bytes; what is not taken now stays in the buffer. */
        void bytesReceived(RingBuffer in);

        /** All that was put has been written: nothing is under way and nothing waits. */
        default void writesCompleted() {}

        /** The connection is closed; called once. */
        void connectionClosed(CloseReason closeReason);
    }

    private final EventLoop loop;
    private final AsynchronousSocketChannel channel;
    private final Listener listener;
    private final RingBuffer in;
    private final RingBuffer out;
    private boolean connected;
    private boolean reading;
    private boolean writing;
    private boolean writeScheduled;
    private boolean closed;
    private boolean lastReadFilledBuffer;
    /** The kernel took less than it was offered. */
    private boolean writeFellShort;
    /**
     * Bytes that the kernel has taken, and those it has or will have once the write under way is
     * over.
     */
    private long writtenBytes;

    private long submittedBytes;
    private long acceptedAtUs;

    /**
     * A read or a write under way; the handler's two fields reach the loop's thread by its queue.
     */
    private final class PendingOperation implements CompletionHandler<Long, Void>, Runnable {
        private final boolean isRead;
        private long count;
        private Throwable failure;
        /**
         * Completed in the kernel, not yet processed by the loop; the one field that both threads read
         * and write.
         */
        private volatile boolean unprocessed;

        PendingOperation(boolean read) {
            this.isRead = read;
        }

        @Override
        public void completed(Long n, Void noResult) {
            count = n;
            failure = null;
            unprocessed = true;
            loop.execute(this);
        }

        @Override
        public void failed(Throwable e, Void noResult) {
            failure = e;
            unprocessed = true;
            loop.execute(this);
        }

        @Override
        public void run() {
            unprocessed = false;
            if (isRead) {
                readCompleted(count, failure);
            } else {
                writeCompleted(count, failure);
            }
        }
    }

    private final PendingOperation pendingRead = new PendingOperation(true);
    private final PendingOperation pendingWrite = new PendingOperation(false);

    private Connection(
            EventLoop loop,
            RingBufferPool bufferPool,
            AsynchronousSocketChannel channel,
            Listener listener) {
        this.loop = loop;
        this.channel = channel;
        this.listener = listener;
        in = new RingBuffer(bufferPool);
        out = new RingBuffer(bufferPool);
    }

    /** A connection that was accepted; {@link #start} opens it. */
    static Connection accepted(
            EventLoop loop,
            RingBufferPool bufferPool,
            AsynchronousSocketChannel channel,
            Listener listener,
            long acceptedAtUs) {
        Connection connection = new Connection(loop, bufferPool, channel, listener);
        connection.acceptedAtUs = acceptedAtUs;
        return connection;
    }

    /** When it was accepted, in microseconds of the event loop's clock; 0 where we have connected. */
    public long acceptedAtUs() {
        return acceptedAtUs;
    }

    /** Begins to connect; the listener is notified of the connection or of its close. */
    static Connection connect(
            EventLoop loop,
            RingBufferPool bufferPool,
            AsynchronousChannelGroup group,
            InetSocketAddress address,
            Listener listener)
            throws IOException {
        AsynchronousSocketChannel channel = AsynchronousSocketChannel.open(group);
        Connection connection = new Connection(loop, bufferPool, channel, listener);
        channel.connect(address, null, new CompletionHandler<Void, Void>() {
            @Override
            public void completed(Void noResult, Void unused) {
                loop.execute(connection::start);
            }

            @Override
            public void failed(Throwable e, Void unused) {
                loop.execute(() -> connection.close(CloseReason.CONNECT_REFUSED));
            }
        });
        return connection;
    }

    /** On a connection that is up: reads from now on. */
    public void start() {
        if (closed) {
            return;
        }
        try {
            // Danger: Nagle's delay holds back small frames until the one before is acknowledged.
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        } catch (IOException e) {
            LOG.logFailure(Level.FINE, "no_delay_not_set", e);
        }
        connected = true;
        listener.connected();
        scheduleWrite();
        read();
    }

    public boolean isUp() {
        return connected && !closed;
    }

    public boolean isClosed() {
        return closed;
    }

    /** Where bytes to be written go; {@link #scheduleWrite} has them written at the end of the turn. */
    public RingBuffer out() {
        return out;
    }

    /**
     * Danger: bytes that have been read and wait for the loop are no longer the other side's; ended
     * now, the request that they are is lost, where an unread one goes elsewhere. To be asked while
     * {@link Network#whileReadsPaused reads stop}: else more may be read right after.
     */
    public boolean hasUnprocessedRead() {
        return pendingRead.unprocessed;
    }

    /** Nothing waits and nothing is under way: what is put now leaves at once. */
    public boolean isIdle() {
        return connected && !writing && out.size() == 0 && !closed;
    }

    /**
     * What is put now leaves with this turn's one write: none is under way, none has come to a
     * halt.
     */
    public boolean canWriteNow() {
        return connected && !writing && !writeFellShort && !closed;
    }

    /**
     * Writes what is in the ring at the end of the turn; the place in the stream where it ends now.
     */
    public long scheduleWrite() {
        if (connected && !writeScheduled && !closed) {
            writeScheduled = true;
            loop.addPendingWrite(this);
        }
        return writtenBytes + out.size();
    }

    /** Whether the byte before that place has been handed to the kernel, or may have been. */
    public boolean mayHaveLeft(long position) {
        return position <= (writing ? submittedBytes : writtenBytes);
    }

    /**
     * Says that nothing more will be written, and goes on reading until the other side ends the
     * link too.
     */
    public void halfClose() {
        if (isIdle()) {
            try {
                channel.shutdownOutput();
            } catch (IOException e) {
                close(CloseReason.READ_FAILED);
            }
        }
    }

    void write() {
        writeScheduled = false;
        if (closed || writing || !connected) {
            return;
        }
        if (out.size() == 0) {
            out.shrink();
            return;
        }
        writing = true;
        out.setPinned(true);
        submittedBytes = writtenBytes + out.size();
        ByteBuffer[] unwrittenBytes = out.readableSpans();
        channel.write(
                unwrittenBytes,
                0,
                unwrittenBytes.length,
                0,
                TimeUnit.MILLISECONDS,
                null,
                pendingWrite);
    }

    private void writeCompleted(long count, Throwable failure) {
        writing = false;
        out.setPinned(false);
        if (closed) {
            out.release();
            return;
        }
        if (failure != null) {
            close(CloseReason.WRITE_FAILED);
            return;
        }
        writtenBytes += count;
        out.bytesConsumed((int) count);
        writeFellShort = out.size() > 0;
        if (!writeFellShort) {
            listener.writesCompleted();
        }
        scheduleWrite();
    }

    private void read() {
        if (closed || reading) {
            return;
        }
        in.shrink();
        if (lastReadFilledBuffer && in.size() == 0) {
            in.ensureCapacity(4 * RingBufferPool.MIN_BYTES);
        }
        if (in.freeBytes() == 0) {
            in.ensureCapacity(Math.min(2 * in.size(), ProtocolLimits.MAX_UNREAD_BYTES));
        }
        if (in.freeBytes() > 0) {
            reading = true;
            ByteBuffer[] freeSpace = in.writableSpans();
            channel.read(
                    freeSpace, 0, freeSpace.length, 0, TimeUnit.MILLISECONDS, null, pendingRead);
        }
    }

    private void readCompleted(long count, Throwable failure) {
        reading = false;
        if (closed) {
            in.release();
            return;
        }
        if (failure != null || count < 0) {
            close(failure != null ? CloseReason.READ_FAILED : CloseReason.PEER_CLOSED);
            return;
        }
        lastReadFilledBuffer = in.freeBytes() == count;
        in.bytesAppended((int) count);
        resumeReading();
    }

    /** Passes what has been read to the listener, and reads on. */
    public void resumeReading() {
        try {
            listener.bytesReceived(in);
        } catch (RuntimeException e) {
            LOG.logFailure(Level.SEVERE, "connection_failed", e);
            close(CloseReason.INTERNAL_ERROR);
        }
        read();
    }

    /** Closes the connection now; the listener is notified once. */
    public void close(CloseReason closeReason) {
        if (closed) {
            return;
        }
        closed = true;
        try {
            channel.close();
        } catch (IOException e) {
            LOG.logFailure(Level.FINE, "connection_close_failed", e);
        }
        listener.connectionClosed(closeReason);
        // Danger: a ring buffer that still belongs to a read or write under way must not go back to
        // the
        // pool.
        if (!reading) {
            in.release();
        }
        if (!writing) {
            out.release();
        }
    }
}

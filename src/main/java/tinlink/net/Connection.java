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
 * A non-blocking connection with one ring buffer per direction and at most one read and one write in
 * progress. Completion handlers only record their result and queue a task; everything else runs on the event
 * loop's thread.
 */
public final class Connection {
    private static final EventLog LOG = new EventLog("tinlink.net");

    /** Receives the events of a connection on the event loop's thread. */
    public interface Listener {
        /** The connection is established. */
        default void connected() {}

        /** Called when bytes may be available; bytes that the listener does not take stay in the buffer. */
        void bytesReceived(RingBuffer in);

        /** Called when all buffered bytes have been written: no write is in progress and no byte waits. */
        default void writesCompleted() {}

        /** Called once, when the connection is closed. */
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
    /** Whether no further bytes are read, although the connection is open. */
    private boolean readingStopped;

    private boolean lastReadFilledBuffer;
    /** Whether the last write was partial: the kernel took fewer bytes than it was offered. */
    private boolean writeFellShort;
    /** The number of bytes that the kernel has taken; {@code submittedBytes} adds the write in progress. */
    private long writtenBytes;

    private long submittedBytes;
    private long acceptedAtUs;

    private final PendingOperation pendingRead;
    private final PendingOperation pendingWrite;

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
        pendingRead = new PendingOperation(loop, this::readCompleted);
        pendingWrite = new PendingOperation(loop, this::writeCompleted);
    }

    /** Creates a connection for an accepted channel; {@link #start} opens it. */
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

    /** Returns the acceptance time in microseconds of the loop's clock, or 0 for an outgoing connection. */
    public long acceptedAtUs() {
        return acceptedAtUs;
    }

    /** Starts to connect; the listener is notified once the connection is established or closed. */
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

    /** Marks the channel as connected, notifies the listener and starts reading. */
    public void start() {
        if (closed) {
            return;
        }
        try {
            // Disables Nagle's algorithm, which would hold back small frames until the previous
            // frame is acknowledged.
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

    /** Returns the outgoing buffer; after {@link #scheduleWrite} the loop writes it at the turn's end. */
    public RingBuffer out() {
        return out;
    }

    /**
     * Returns whether a completed read waits for the loop.
     *
     * <p>Bytes that have been read from the kernel can no longer be handled by anyone else. If the connection
     * is closed now, the request in those bytes is lost, whereas an unread request goes elsewhere. Call this
     * method only {@linkplain Network#whileReadsPaused while reads are paused}; otherwise a read may complete
     * right after the call.
     */
    public boolean hasUnprocessedRead() {
        return pendingRead.isUnprocessed();
    }

    /** Returns whether no byte waits and no write is in progress, so that new bytes are written at once. */
    public boolean isIdle() {
        return connected && !writing && out.size() == 0 && !closed;
    }

    /** Returns whether this turn writes new bytes: no write is in progress, and the last was not partial. */
    public boolean canWriteNow() {
        return connected && !writing && !writeFellShort && !closed;
    }

    /**
     * Schedules a write of the buffered bytes for the end of the turn.
     *
     * @return the position in the outgoing stream at which the buffered bytes now end
     */
    public long scheduleWrite() {
        if (connected && !writeScheduled && !closed) {
            writeScheduled = true;
            loop.addPendingWrite(this);
        }
        return writtenBytes + out.size();
    }

    /** Returns whether the bytes before a stream position were handed to the kernel, or may have been. */
    public boolean mayHaveLeft(long position) {
        return position <= (writing ? submittedBytes : writtenBytes);
    }

    /** Shuts down the output of an idle connection; reading continues until the peer closes its side too. */
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
        if (closed || reading || readingStopped) {
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

    /** Reads nothing more until the connection is closed; the end of the peer's stream goes unnoticed. */
    public void stopReading() {
        readingStopped = true;
    }

    /** Passes the buffered bytes to the listener and continues reading. */
    public void resumeReading() {
        try {
            listener.bytesReceived(in);
        } catch (RuntimeException e) {
            LOG.logFailure(Level.SEVERE, "connection_failed", e);
            close(CloseReason.INTERNAL_ERROR);
        }
        read();
    }

    /** Closes the connection at once; the listener is notified once. */
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
        // A ring buffer that a read or write in progress still uses is not returned to the pool,
        // since another connection could get the buffer meanwhile.
        if (!reading) {
            in.release();
        }
        if (!writing) {
            out.release();
        }
    }
}

package tinlink.securechannel;

import tinlink.net.CloseReason;
import tinlink.net.Connection;
import tinlink.net.EventLoop;
import tinlink.net.MessageRejectedException;
import tinlink.net.RingBuffer;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * One connection between two routers, on either side: messages in frames, each with a tag once both
 * sides are authenticated. Which messages there are, the handshake's too, is up to its subclasses.
 * Belongs to the event loop's thread.
 */
public abstract class SecureSession implements Connection.Listener, FrameReader.Handler {
    private static final byte[] NO_TAG = {};

    private final EventLoop loop;
    private final FrameReader frameReader;
    private final long messageTimeoutUs;
    /** Null until {@link #attach}. */
    protected Connection connection;

    /** Null until both sides are authenticated. */
    private SessionKeys keys;
    /**
     * Runs until both sides are authenticated, and from then on while a frame has begun and is not
     * complete.
     */
    private EventLoop.Timer deadline;

    /**
     * A session without a connection yet.
     *
     * @param messageTimeoutUs within which a frame that has begun has to be complete, microseconds
     * @param maxHandshakeLength bytes of a frame, without its length, until both sides are
     *     authenticated
     * @param maxAuthenticatedLength bytes of a frame after that
     */
    protected SecureSession(
            EventLoop loop,
            long messageTimeoutUs,
            int maxHandshakeLength,
            int maxAuthenticatedLength) {
        this.loop = loop;
        this.messageTimeoutUs = messageTimeoutUs;
        frameReader = new FrameReader(this, maxHandshakeLength, maxAuthenticatedLength);
    }

    /**
     * Called once, before anything is sent.
     *
     * @param handshakeTimeoutUs for the handshake's next message
     */
    public void attach(Connection connection, long handshakeTimeoutUs) {
        this.connection = connection;
        restartHandshakeDeadline(handshakeTimeoutUs);
    }

    /** The next message of the handshake has to come within that time, microseconds from now. */
    protected void restartHandshakeDeadline(long handshakeTimeoutUs) {
        closeAfter(handshakeTimeoutUs, CloseReason.CONNECT_TIMEOUT);
    }

    private void closeAfter(long timeoutUs, CloseReason closeReason) {
        loop.cancel(deadline);
        deadline = loop.schedule(loop.nowUs() + timeoutUs, () -> connection.close(closeReason));
    }

    private void cancelDeadline() {
        loop.cancel(deadline);
        deadline = null;
    }

    /**
     * Both sides are authenticated: from here on each frame has a tag.
     *
     * @param secret of this connection alone
     * @param isInitiator whether this side has opened the connection
     */
    protected void enableAuthentication(byte[] secret, boolean isInitiator) {
        keys = SessionKeys.derive(secret, isInitiator);
        frameReader.peerAuthenticated();
        cancelDeadline();
    }

    /** Closes the connection, if there is one. */
    public void close(CloseReason closeReason) {
        if (connection != null) {
            connection.close(closeReason);
        }
    }

    /** Whether both sides have been authenticated, even if the connection is closed by now. */
    public boolean wasAuthenticated() {
        return keys != null;
    }

    /** Whether both sides are authenticated and the connection is open. */
    public boolean isAuthenticated() {
        return keys != null && !connection.isClosed();
    }

    /** Bytes that wait to be taken by the kernel. */
    public int outboundBacklogBytes() {
        return connection.out().size();
    }

    /** Sends a message and returns the position in the outbound stream at which it ends. */
    public long send(byte type, byte[] body) {
        byte[] tag = keys == null ? NO_TAG : keys.outbound().nextTag(type, body, 0, body.length);
        RingBuffer out = connection.out();
        out.put(FrameFormat.header(type, body.length + tag.length));
        out.put(body).put(tag);
        return connection.scheduleWrite();
    }

    @Override
    public void bytesReceived(RingBuffer received) {
        try {
            frameReader.read(received);
        } catch (MessageRejectedException | BufferUnderflowException e) {
            logger().log(
                            Level.FINE,
                            "event=malformed_message peer={0} reason=\"{1}\"",
                            new Object[] {peerName(), e.getMessage()});
            incrementCounter("malformed");
            connection.close(CloseReason.PROTOCOL_ERROR);
        }
        if (isAuthenticated() && frameReader.isAtFrameBoundary() != (deadline == null)) {
            if (frameReader.isAtFrameBoundary()) {
                cancelDeadline();
            } else {
                // Danger: a frame that stops in its middle, or whose length was changed on the way,
                // holds up all behind it.
                closeAfter(messageTimeoutUs, CloseReason.PROTOCOL_ERROR);
            }
        }
    }

    @Override
    public void onFrame(byte type, byte[] frame) throws MessageRejectedException {
        int bodyEnd = keys == null ? frame.length : verifyTag(type, frame);
        if (!connection.isClosed()) {
            int bodyBytes = bodyEnd - FrameFormat.TYPE_BYTES;
            onMessage(type, ByteBuffer.wrap(frame, FrameFormat.TYPE_BYTES, bodyBytes), frame);
        }
    }

    /** Where the body ends and the tag begins; the tag is right. */
    private int verifyTag(byte type, byte[] frame) throws MessageRejectedException {
        int bodyEnd = frame.length - FrameFormat.TAG_BYTES;
        if (bodyEnd < FrameFormat.TYPE_BYTES) {
            throw MessageCodec.malformed("a frame of " + frame.length + " bytes has no tag");
        }
        byte[] expected = keys.inbound()
                .nextTag(type, frame, FrameFormat.TYPE_BYTES, bodyEnd - FrameFormat.TYPE_BYTES);
        byte[] actual = Arrays.copyOfRange(frame, bodyEnd, frame.length);
        if (!KeyRing.constantTimeEquals(expected, actual)) {
            throw MessageCodec.malformed("a wrong authentication tag");
        }
        return bodyEnd;
    }

    @Override
    public void connectionClosed(CloseReason closeReason) {
        loop.cancel(deadline);
        onClosed(closeReason);
    }

    /**
     * A message has come, and its tag is right where there has to be one.
     *
     * @param body the message without type and tag
     * @param frame type, body and tag as they came
     * @throws MessageRejectedException where the message is not allowed; the connection is closed
     *     then
     */
    protected abstract void onMessage(byte type, ByteBuffer body, byte[] frame)
            throws MessageRejectedException;

    /** The connection is closed; called once. */
    protected abstract void onClosed(CloseReason closeReason);

    /** The other side's name, for logs. */
    protected abstract String peerName();

    /** Counts an event of that name. */
    protected abstract void incrementCounter(String counter);

    /** Where events of this session are logged. */
    protected abstract Logger logger();
}

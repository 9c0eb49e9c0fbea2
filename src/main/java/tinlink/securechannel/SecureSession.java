package tinlink.securechannel;

import tinlink.net.CloseReason;
import tinlink.net.Connection;
import tinlink.net.EventLoop;
import tinlink.net.FrameTimeout;
import tinlink.net.MessageRejectedException;
import tinlink.net.RingBuffer;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * One side of a connection between two routers. Messages are sent in frames, which have an
 * authentication tag once both sides are authenticated. Subclasses define the messages, including
 * those of the handshake. Must be used on the event loop's thread only.
 */
public abstract class SecureSession implements Connection.Listener, FrameReader.Handler {
    private static final byte[] NO_TAG = {};

    private final EventLoop loop;
    private final FrameReader frameReader;
    /** Closes the connection if a frame is not completed in time; used once both are authenticated. */
    private final FrameTimeout frameTimeout;
    /** The connection; null until {@link #attach}. */
    protected Connection connection;

    /** Authenticators of the frames; null until both sides are authenticated. */
    private SessionAuthenticators authenticators;
    /**
     * Closes the connection if the next message of the handshake is late; null before the connection is
     * attached, and once both sides are authenticated.
     */
    private EventLoop.Timer handshakeTimer;

    /**
     * Creates a session without a connection. Lengths are in bytes and don't include the length
     * field of a frame.
     *
     * @param messageTimeoutUs time within which a frame has to be complete after its first byte,
     *     microseconds
     * @param maxHandshakeLength maximum length of a frame until both sides are authenticated
     * @param maxAuthenticatedLength maximum length of a frame after that
     */
    protected SecureSession(
            EventLoop loop,
            long messageTimeoutUs,
            int maxHandshakeLength,
            int maxAuthenticatedLength) {
        this.loop = loop;
        frameTimeout =
                new FrameTimeout(loop, messageTimeoutUs, () -> close(CloseReason.PROTOCOL_ERROR));
        frameReader = new FrameReader(this, maxHandshakeLength, maxAuthenticatedLength);
    }

    /**
     * Sets the connection. Must be called once, before a message is sent.
     *
     * @param handshakeTimeoutUs time within which the next message of the handshake has to arrive,
     *     microseconds
     */
    public void attach(Connection connection, long handshakeTimeoutUs) {
        this.connection = connection;
        restartHandshakeDeadline(handshakeTimeoutUs);
    }

    /** Requires the next message of the handshake within that time from now, microseconds. */
    protected void restartHandshakeDeadline(long handshakeTimeoutUs) {
        loop.cancel(handshakeTimer);
        handshakeTimer = loop.schedule(
                loop.nowUs() + handshakeTimeoutUs, () -> close(CloseReason.CONNECT_TIMEOUT));
    }

    /**
     * Adds a tag to each frame from now on. Must be called once both sides are authenticated.
     *
     * @param secret session secret of this connection
     * @param initiator whether this side has opened the connection
     */
    protected void enableAuthentication(byte[] secret, boolean initiator) {
        authenticators = SessionAuthenticators.derive(secret, initiator);
        frameReader.peerAuthenticated();
        loop.cancel(handshakeTimer);
        handshakeTimer = null;
    }

    /** Closes the connection, if there is one. */
    public void close(CloseReason closeReason) {
        if (connection != null) {
            connection.close(closeReason);
        }
    }

    /** Returns whether both sides were authenticated, even if the connection is closed by now. */
    public boolean wasAuthenticated() {
        return authenticators != null;
    }

    /** Returns whether both sides are authenticated and the connection is open. */
    public boolean isAuthenticated() {
        return authenticators != null && !connection.isClosed();
    }

    /** Returns how many bytes are buffered and not yet written to the socket. */
    public int outboundBacklogBytes() {
        return connection.out().size();
    }

    /** Sends a message and returns the position in the outbound stream at which it ends. */
    public long send(byte type, byte[] body) {
        byte[] tag = authenticators == null
                ? NO_TAG
                : authenticators.outbound().nextTag(type, body, 0, body.length);
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
        if (isAuthenticated()) {
            // The length of a frame that is never completed may have been modified in transit.
            frameTimeout.bytesRead(frameReader.completedFrames(), frameReader.isAtFrameBoundary());
        }
    }

    @Override
    public void onFrame(byte type, byte[] frame) throws MessageRejectedException {
        int bodyEnd = authenticators == null ? frame.length : verifyTag(type, frame);
        if (!connection.isClosed()) {
            int bodyBytes = bodyEnd - FrameFormat.TYPE_BYTES;
            onMessage(type, ByteBuffer.wrap(frame, FrameFormat.TYPE_BYTES, bodyBytes), frame);
        }
    }

    /** Verifies the tag and returns the position at which the body ends and the tag begins. */
    private int verifyTag(byte type, byte[] frame) throws MessageRejectedException {
        int bodyEnd = frame.length - FrameFormat.TAG_BYTES;
        if (bodyEnd < FrameFormat.TYPE_BYTES) {
            throw MessageCodec.malformed(
                    "frame of " + frame.length + " bytes is too short to have a tag");
        }
        byte[] expected = authenticators
                .inbound()
                .nextTag(type, frame, FrameFormat.TYPE_BYTES, bodyEnd - FrameFormat.TYPE_BYTES);
        byte[] actual = Arrays.copyOfRange(frame, bodyEnd, frame.length);
        if (!KeyRing.constantTimeEquals(expected, actual)) {
            throw MessageCodec.malformed("frame has a wrong authentication tag");
        }
        return bodyEnd;
    }

    @Override
    public void connectionClosed(CloseReason closeReason) {
        loop.cancel(handshakeTimer);
        frameTimeout.stop();
        onClosed(closeReason);
    }

    /**
     * Handles a message. If both sides are authenticated, its tag has been verified.
     *
     * @param type the message type
     * @param body the message without type and tag
     * @param frame the received type, body and tag
     * @throws MessageRejectedException if the message is not allowed; the connection is then closed
     */
    protected abstract void onMessage(byte type, ByteBuffer body, byte[] frame)
            throws MessageRejectedException;

    /** Called once, when the connection has been closed. */
    protected abstract void onClosed(CloseReason closeReason);

    /** Returns the name of the peer, for logs. */
    protected abstract String peerName();

    /** Increments the counter with that name. */
    protected abstract void incrementCounter(String counter);

    /** Returns the logger for events of this session. */
    protected abstract Logger logger();
}

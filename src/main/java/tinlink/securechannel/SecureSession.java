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
 * One connection between two routers, on either side: messages out and in, sealed once both have
 * proved themselves.
 */
public abstract class SecureSession implements Connection.Listener, FrameReader.Handler {
    private final EventLoop loop;
    private final FrameReader frameReader;
    protected Connection connection;
    private KeyRing.FrameAuthenticator outboundAuthenticator;
    private KeyRing.FrameAuthenticator inboundAuthenticator;
    /**
     * Runs until both sides have proved themselves, and while a message has begun and not come
     * whole.
     */
    private EventLoop.Timer deadline;

    private final long messageTimeoutUs;
    private boolean authenticated;

    /**
     * @param messageTimeoutUs a handshake, and each message, has to come whole within it
     * @param maxHandshakeLength how long a message may be until both have proved themselves; after that
     *     {@code most}
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

    public void attach(Connection connection, long handshakeTimeoutUs) {
        this.connection = connection;
        restartHandshakeDeadline(handshakeTimeoutUs);
    }

    /** The next message of the handshake has to come within that time. */
    protected void restartHandshakeDeadline(long handshakeTimeoutUs) {
        loop.cancel(deadline);
        deadline = loop.schedule(
                loop.nowUs() + handshakeTimeoutUs,
                () -> connection.close(CloseReason.CONNECT_TIMEOUT));
    }

    /** From here on each message is sealed; the two directions have keys of their own. */
    protected void enableAuthentication(byte[] secret, boolean isInitiator) {
        byte[] initiatorToResponderKey = KeyRing.mac(secret, "to the far side");
        byte[] responderToInitiatorKey = KeyRing.mac(secret, "to the near side");
        outboundAuthenticator = new KeyRing.FrameAuthenticator(
                isInitiator ? initiatorToResponderKey : responderToInitiatorKey);
        inboundAuthenticator = new KeyRing.FrameAuthenticator(
                isInitiator ? responderToInitiatorKey : initiatorToResponderKey);
        authenticated = true;
        frameReader.peerAuthenticated();
        loop.cancel(deadline);
        deadline = null;
    }

    /** Ends the connection, if it is there yet. */
    public void close(CloseReason closeReason) {
        if (connection != null) {
            connection.close(closeReason);
        }
    }

    /** It is, or was until it ended. */
    public boolean wasAuthenticated() {
        return authenticated;
    }

    public boolean isAuthenticated() {
        return authenticated && !connection.isClosed();
    }

    /** Bytes that wait to be taken by the kernel. */
    public int outboundBacklogBytes() {
        return connection.out().size();
    }

    /** The place in the stream where the message ends. */
    public long send(byte type, byte[] body) {
        byte[] tag = outboundAuthenticator == null
                ? new byte[0]
                : outboundAuthenticator.nextTag(type, body, 0, body.length);
        int length = 1 + body.length + tag.length;
        RingBuffer out = connection.out();
        out.put(new byte[] {
            (byte) (length >> 24), (byte) (length >> 16), (byte) (length >> 8), (byte) length, type
        });
        out.put(body).put(tag);
        return connection.scheduleWrite();
    }

    @Override
    public void bytesReceived(RingBuffer in) {
        try {
            frameReader.read(in);
        } catch (MessageRejectedException | BufferUnderflowException e) {
            logger().log(
                            Level.FINE,
                            "event=malformed_message peer={0} reason=\"{1}\"",
                            new Object[] {peerName(), e.getMessage()});
            incrementCounter("spoilt");
            connection.close(CloseReason.PROTOCOL_ERROR);
        }
        if (authenticated
                && !connection.isClosed()
                && frameReader.isAtFrameBoundary() != (deadline == null)) {
            loop.cancel(deadline);
            // Danger: a message that stops in its middle, or whose length was spoilt, holds up all
            // behind it.
            deadline = frameReader.isAtFrameBoundary()
                    ? null
                    : loop.schedule(
                            loop.nowUs() + messageTimeoutUs,
                            () -> connection.close(CloseReason.PROTOCOL_ERROR));
        }
    }

    @Override
    public void onFrame(byte type, byte[] frame) throws MessageRejectedException {
        int bodyEnd = frame.length;
        if (authenticated) {
            bodyEnd -= MessageCodec.TAG_BYTES;
            if (bodyEnd < 1
                    || !KeyRing.constantTimeEquals(
                            inboundAuthenticator.nextTag(type, frame, 1, bodyEnd - 1),
                            Arrays.copyOfRange(frame, bodyEnd, frame.length))) {
                throw MessageCodec.malformed("a wrong seal");
            }
        }
        if (!connection.isClosed()) {
            onMessage(type, ByteBuffer.wrap(frame, 1, bodyEnd - 1), frame);
        }
    }

    @Override
    public void connectionClosed(CloseReason closeReason) {
        loop.cancel(deadline);
        onClosed(closeReason);
    }

    /**
     * A message has come from the proved other side.
     *
     * @param frame type and body, as they came
     */
    protected abstract void onMessage(byte type, ByteBuffer body, byte[] frame)
            throws MessageRejectedException;

    protected abstract void onClosed(CloseReason closeReason);

    protected abstract String peerName();

    protected abstract void incrementCounter(String counter);

    protected abstract Logger logger();
}

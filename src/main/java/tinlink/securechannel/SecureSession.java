package tinlink.securechannel;

import tinlink.net.BadMessage;
import tinlink.net.Ending;
import tinlink.net.Link;
import tinlink.net.Loop;
import tinlink.net.Ring;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * One connection between two routers, on either side: messages out and in, sealed once both have
 * proved themselves.
 */
public abstract class SecureSession implements Link.Owner, FrameReader.Handler {
    private final Loop loop;
    private final FrameReader frameReader;
    protected Link connection;
    private KeyRing.FrameAuthenticator outboundAuthenticator;
    private KeyRing.FrameAuthenticator inboundAuthenticator;
    /**
     * Runs until both sides have proved themselves, and while a message has begun and not come
     * whole.
     */
    private Loop.Timer deadline;

    private final long messageTimeoutUs;
    private boolean authenticated;

    /**
     * @param messageTimeoutUs a handshake, and each message, has to come whole within it
     * @param maxHandshakeLength how long a message may be until both have proved themselves; after that
     *     {@code most}
     */
    protected SecureSession(Loop loop, long messageTimeoutUs, int maxHandshakeLength, int maxAuthenticatedLength) {
        this.loop = loop;
        this.messageTimeoutUs = messageTimeoutUs;
        frameReader = new FrameReader(this, maxHandshakeLength, maxAuthenticatedLength);
    }

    public void attach(Link connection, long handshakeTimeoutUs) {
        this.connection = connection;
        restartHandshakeDeadline(handshakeTimeoutUs);
    }

    /** The next message of the handshake has to come within that time. */
    protected void restartHandshakeDeadline(long handshakeTimeoutUs) {
        loop.takeBack(deadline);
        deadline = loop.at(loop.now() + handshakeTimeoutUs, () -> connection.end(Ending.NOT_UP));
    }

    /** From here on each message is sealed; the two directions have keys of their own. */
    protected void enableAuthentication(byte[] secret, boolean isInitiator) {
        byte[] initiatorToResponderKey = KeyRing.mac(secret, "to the far side");
        byte[] responderToInitiatorKey = KeyRing.mac(secret, "to the near side");
        outboundAuthenticator = new KeyRing.FrameAuthenticator(isInitiator ? initiatorToResponderKey : responderToInitiatorKey);
        inboundAuthenticator = new KeyRing.FrameAuthenticator(isInitiator ? responderToInitiatorKey : initiatorToResponderKey);
        authenticated = true;
        frameReader.peerAuthenticated();
        loop.takeBack(deadline);
        deadline = null;
    }

    /** Ends the connection, if it is there yet. */
    public void close(Ending closeReason) {
        if (connection != null) {
            connection.end(closeReason);
        }
    }

    /** It is, or was until it ended. */
    public boolean wasAuthenticated() {
        return authenticated;
    }

    public boolean isAuthenticated() {
        return authenticated && !connection.isOver();
    }

    /** Bytes that wait to be taken by the kernel. */
    public int outboundBacklogBytes() {
        return connection.out().size();
    }

    /** The place in the stream where the message ends. */
    public long send(byte type, byte[] body) {
        byte[] tag = outboundAuthenticator == null ? new byte[0] : outboundAuthenticator.nextTag(type, body, 0, body.length);
        int length = 1 + body.length + tag.length;
        Ring out = connection.out();
        out.put(new byte[] {
            (byte) (length >> 24), (byte) (length >> 16), (byte) (length >> 8), (byte) length, type
        });
        out.put(body).put(tag);
        return connection.later();
    }

    @Override
    public void arrived(Ring in) {
        try {
            frameReader.read(in);
        } catch (BadMessage | BufferUnderflowException e) {
            logger().log(Level.FINE, "event=malformed_message peer={0} reason=\"{1}\"", new Object[] {
                peerName(), e.getMessage()
            });
            incrementCounter("spoilt");
            connection.end(Ending.BAD_INPUT);
        }
        if (authenticated && !connection.isOver() && frameReader.isAtFrameBoundary() != (deadline == null)) {
            loop.takeBack(deadline);
            // Danger: a message that stops in its middle, or whose length was spoilt, holds up all
            // behind it.
            deadline = frameReader.isAtFrameBoundary()
                    ? null
                    : loop.at(loop.now() + messageTimeoutUs, () -> connection.end(Ending.BAD_INPUT));
        }
    }

    @Override
    public void onFrame(byte type, byte[] frame) throws BadMessage {
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
        if (!connection.isOver()) {
            onMessage(type, ByteBuffer.wrap(frame, 1, bodyEnd - 1), frame);
        }
    }

    @Override
    public void ended(Ending closeReason) {
        loop.takeBack(deadline);
        onClosed(closeReason);
    }

    /**
     * A message has come from the proved other side.
     *
     * @param frame type and body, as they came
     */
    protected abstract void onMessage(byte type, ByteBuffer body, byte[] frame) throws BadMessage;

    protected abstract void onClosed(Ending closeReason);

    protected abstract String peerName();

    protected abstract void incrementCounter(String counter);

    protected abstract Logger logger();
}

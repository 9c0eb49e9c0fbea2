package tinlink.router;

import tinlink.net.CloseReason;
import tinlink.net.Connection;
import tinlink.net.EventLog;
import tinlink.net.EventLoop;
import tinlink.net.HeapAllowance;
import tinlink.net.HttpReader;
import tinlink.net.JsonReader;
import tinlink.net.MessageRejectedException;
import tinlink.net.ProtocolLimits;
import tinlink.net.RingBuffer;

import java.nio.ByteBuffer;
import java.util.logging.Level;

/**
 * A connection to discovery that carries a watch: a chunked response with one JSON object per line. If the
 * held revision is not one of this discovery address, the connection requests the full list first.
 */
final class DiscoveryConnection implements Connection.Listener, HttpReader.MessageListener {
    /** The owner of the connection. */
    interface Handler {
        /** The value of the Host header. */
        String host();

        /** Whether a watch can resume from {@link #revision()}; otherwise the full list comes first. */
        boolean isRevisionCurrent();

        /** The revision of the held list; the watch requests the changes after it. */
        long revision();

        /** Whether data from this connection is still accepted. */
        boolean isInUse(DiscoveryConnection connection);

        /** Called when the connection's watch delivers a usable line. */
        void watchAlive(DiscoveryConnection connection);

        /**
         * Called with a complete object.
         *
         * @return whether the object is a usable list
         */
        boolean listReceived(Object list);

        /** Called after a list was received and applied. */
        void listApplied();

        void watchClosed(DiscoveryConnection connection, CloseReason closeReason);
    }

    /**
     * The limits of one object, usually a list of data nodes.
     *
     * @param maxBytes its length in bytes
     * @param maxHeapBytes the estimated heap of what is parsed from it, in bytes
     */
    record ObjectLimits(long maxBytes, long maxHeapBytes) {}

    private static final EventLog LOG = new EventLog("tinlink.discovery");

    /**
     * An update that a silent watch misses counts as received after three keepalive intervals. Half of that
     * time is left for new connections that are refused, hang, or are accepted and stay silent.
     */
    private static final long SILENCE_TIMEOUT_US = 3 * ProtocolLimits.WATCH_KEEPALIVE_US / 2;

    private final EventLoop loop;
    private final Handler handler;
    private final ObjectLimits limits;
    private final HttpReader reader = HttpReader.forResponses(this);

    /** The object being read; it can span several lines, of which only the first begins with a brace. */
    private JsonReader object;
    /** The heap that the object being read may take. */
    private HeapAllowance objectHeap;

    /** Whether the current line has any content. */
    private boolean lineBegun;

    private int objectBytes;
    /** Whether the rest of the current line is skipped. */
    private boolean malformed;
    /** Whether the last request was for the watch rather than for the full list. */
    private boolean watching;

    private Connection connection;
    /** Closes the connection when the watch stays silent; null before the first line. */
    private EventLoop.Timer silenceTimer;

    DiscoveryConnection(EventLoop loop, Handler handler, ObjectLimits limits) {
        this.loop = loop;
        this.handler = handler;
        this.limits = limits;
        resetObject();
    }

    void attach(Connection connection) {
        this.connection = connection;
    }

    void close(CloseReason closeReason) {
        loop.cancel(silenceTimer);
        connection.close(closeReason);
    }

    @Override
    public void connected() {
        sendRequest();
    }

    private void sendRequest() {
        watching = handler.isRevisionCurrent();
        connection
                .out()
                .put("GET /api/targets" + (watching ? "?watch=1&after=" + handler.revision() : "")
                        + " HTTP/1.1\r\nHost: " + handler.host() + "\r\n\r\n");
        connection.scheduleWrite();
    }

    /** Restarts the silence timeout. Only a readable line does so: stray bytes prove nothing. */
    private void notifyAlive() {
        if (!watching) {
            return; // The full list does not prove that a watch delivers later changes.
        }
        loop.cancel(silenceTimer);
        silenceTimer = loop.schedule(
                loop.nowUs() + SILENCE_TIMEOUT_US, () -> close(CloseReason.UNRESPONSIVE));
        handler.watchAlive(this);
    }

    @Override
    public void bytesReceived(RingBuffer in) {
        try {
            while (in.size() > 0 && handler.isInUse(this)) {
                reader.read(in);
            }
        } catch (MessageRejectedException e) {
            LOG.log(Level.WARNING, "discovery_protocol_error", "reason", e.getMessage());
            close(CloseReason.PROTOCOL_ERROR);
        }
    }

    @Override
    public void startLine(String version, String status, String reasonPhrase)
            throws MessageRejectedException {
        if (!status.equals("200")) {
            throw new MessageRejectedException(
                    502, "expected status 200 from discovery, received " + status);
        }
    }

    @Override
    public void body(ByteBuffer piece) throws MessageRejectedException {
        while (piece.hasRemaining() && handler.isInUse(this)) {
            byte b = piece.get();
            if (++objectBytes > limits.maxBytes()) {
                throw new MessageRejectedException(
                        502, "endpoint list exceeds " + limits.maxBytes() + " bytes");
            }
            if (b == '\n') {
                lineEnded();
            } else {
                if (watching && !lineBegun && b == '{' && !object.isEmpty()) {
                    // A new object begins here, so the one before was cut off.
                    discardObject("object is not terminated");
                }
                lineBegun |= b != '\r';
                read(b);
            }
        }
    }

    private void read(byte b) throws MessageRejectedException {
        try {
            if (!malformed) {
                object.read(b);
            }
        } catch (MessageRejectedException e) {
            if (objectHeap.isExceeded()) {
                throw new MessageRejectedException(
                        502, "endpoint list exceeds " + limits.maxHeapBytes() + " bytes of memory");
            }
            discardObject(e.getMessage());
            malformed = true;
        }
    }

    private void discardObject(String reason) {
        LOG.log(Level.WARNING, "discovery_line_discarded", "reason", reason);
        resetObject();
    }

    private void resetObject() {
        objectHeap = new HeapAllowance(limits.maxHeapBytes());
        object = new JsonReader(objectHeap);
        objectBytes = 0;
        malformed = false;
    }

    /** Ends a line. An update must not be skipped, and a partial one must not be applied as whole. */
    private void lineEnded() throws MessageRejectedException {
        boolean hadContent = lineBegun;
        lineBegun = false;
        read((byte) '\n');
        if (malformed) {
            resetObject();
        } else if (object.isComplete()) {
            objectEnded();
        } else if (watching && !hadContent) {
            if (!object.isEmpty()) {
                discardObject("object is not terminated"); // No line within a list is empty.
            }
            notifyAlive();
        }
    }

    private void objectEnded() {
        try {
            Object list = object.value();
            resetObject();
            if (!watching && handler.isRevisionCurrent()) {
                return; // Another connection delivered the full list, possibly a newer one.
            }
            if (handler.listReceived(list)) {
                notifyAlive();
                handler.listApplied();
            }
        } catch (MessageRejectedException e) {
            discardObject(e.getMessage());
        }
    }

    /** Requests the watch after the full list is complete; the end of a watch is an error. */
    @Override
    public void messageEnded() throws MessageRejectedException {
        if (watching) {
            throw new MessageRejectedException(502, "discovery ended the watch");
        }
        if (handler.isInUse(this)) {
            lineEnded();
            resetObject();
            sendRequest();
        }
    }

    @Override
    public void connectionClosed(CloseReason closeReason) {
        loop.cancel(silenceTimer);
        handler.watchClosed(this, closeReason);
    }
}

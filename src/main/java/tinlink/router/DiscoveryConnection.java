package tinlink.router;

import tinlink.net.CloseReason;
import tinlink.net.Connection;
import tinlink.net.EventLog;
import tinlink.net.EventLoop;
import tinlink.net.HttpReader;
import tinlink.net.JsonReader;
import tinlink.net.MessageRejectedException;
import tinlink.net.ProtocolLimits;
import tinlink.net.RingBuffer;

import java.nio.ByteBuffer;
import java.util.logging.Level;

/**
 * One connection to discovery. It carries a watch: a chunked answer, in it a JSON object a line. Where the
 * revisions of the place are not known, an answer that is the full list comes first.
 */
final class DiscoveryConnection implements Connection.Listener, HttpReader.MessageListener {
    /** What a connection belongs to. */
    interface Handler {
        /** The host that is asked. */
        String host();

        /** Whether changes may be asked for; if not, the full list has to come first. */
        boolean isRevisionCurrent();

        /** The revision of the list, since which changes are asked for. */
        long revision();

        /** Whether what this connection says still counts. */
        boolean isInUse(DiscoveryConnection connection);

        /** It has said a line of its watch that could be used. */
        void watchAlive(DiscoveryConnection connection);

        /**
         * An object is complete.
         *
         * @return whether it is a list that could be used
         */
        boolean listReceived(Object list);

        /** A list has been told and taken. */
        void listApplied();

        void watchClosed(DiscoveryConnection connection, CloseReason closeReason);
    }

    private static final EventLog LOG = new EventLog("tinlink.discovery");

    /**
     * Danger: what a silent watch misses counts as told after three lines' time. Half of it is left for
     * connections that are refused, hang, or are taken and say nothing.
     */
    private static final long SILENCE_TIMEOUT_US = 3 * ProtocolLimits.WATCH_KEEPALIVE_US / 2;

    private final EventLoop loop;
    private final Handler handler;
    private final int maxObjectBytes;
    private final HttpReader reader = HttpReader.forResponses(this);

    /** What is read of an object; it may go over several lines, the first of which alone begins it. */
    private JsonReader object = new JsonReader();

    private boolean lineBegun;
    private int objectBytes;
    private boolean isMalformed;
    private boolean isWatching;
    private Connection connection;
    private EventLoop.Timer silenceTimer;

    DiscoveryConnection(EventLoop loop, Handler handler, int maxObjectBytes) {
        this.loop = loop;
        this.handler = handler;
        this.maxObjectBytes = maxObjectBytes;
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
        isWatching = handler.isRevisionCurrent();
        connection
                .out()
                .put("GET /api/targets" + (isWatching ? "?watch=1&after=" + handler.revision() : "")
                        + " HTTP/1.1\r\nHost: " + handler.host() + "\r\n\r\n");
        connection.scheduleWrite();
    }

    /** Danger: bytes that drip in, or noise, are no life: a line that could be read is. */
    private void notifyAlive() {
        if (!isWatching) {
            return; // The full list says nothing of what comes after it.
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
            throw new MessageRejectedException(502, "the watch was answered with " + status);
        }
    }

    @Override
    public void body(ByteBuffer piece) throws MessageRejectedException {
        while (piece.hasRemaining() && handler.isInUse(this)) {
            byte b = piece.get();
            if (++objectBytes > maxObjectBytes) {
                throw new MessageRejectedException(
                        502, "a list of over " + maxObjectBytes + " bytes");
            }
            if (b == '\n') {
                lineEnded();
            } else {
                if (isWatching && !lineBegun && b == '{' && !object.isEmpty()) {
                    discardObject(
                            "it does not end"); // An object begins here, so the one before was cut.
                }
                lineBegun |= b != '\r';
                read(b);
            }
        }
    }

    private void read(byte b) {
        try {
            if (!isMalformed) {
                object.read(b);
            }
        } catch (MessageRejectedException e) {
            discardObject(e.getMessage());
            isMalformed = true;
        }
    }

    private void discardObject(String reason) {
        LOG.log(Level.WARNING, "discovery_line_discarded", "reason", reason);
        resetObject();
    }

    private void resetObject() {
        object = new JsonReader();
        objectBytes = 0;
        isMalformed = false;
    }

    /** Danger: what it holds must not be passed over, nor half of it pass for all of it. */
    private void lineEnded() {
        boolean hadContent = lineBegun;
        lineBegun = false;
        read((byte) '\n');
        if (isMalformed) {
            resetObject();
        } else if (object.isComplete()) {
            objectEnded();
        } else if (isWatching && !hadContent) {
            if (!object.isEmpty()) {
                discardObject("it does not end"); // No line within a list is empty.
            }
            notifyAlive();
        }
    }

    private void objectEnded() {
        try {
            Object list = object.value();
            resetObject();
            if (!isWatching && handler.isRevisionCurrent()) {
                return; // Another has delivered the full list, perhaps a newer one.
            }
            if (handler.listReceived(list)) {
                notifyAlive();
                handler.listApplied();
            }
        } catch (MessageRejectedException e) {
            discardObject(e.getMessage());
        }
    }

    /** The full list has come, and is watched from there on; a watch has no end. */
    @Override
    public void messageEnded() throws MessageRejectedException {
        if (isWatching) {
            throw new MessageRejectedException(502, "the watch was ended");
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

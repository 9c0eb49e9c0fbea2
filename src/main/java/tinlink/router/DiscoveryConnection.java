package tinlink.router;

import tinlink.net.MessageRejectedException;
import tinlink.net.CloseReason;
import tinlink.net.HttpReader;
import tinlink.net.JsonReader;
import tinlink.net.Connection;
import tinlink.net.EventLoop;
import tinlink.net.ProtocolLimits;
import tinlink.net.RingBuffer;

import java.nio.ByteBuffer;
import java.util.logging.Logger;

/**
 * One connection to discovery. It carries a watch: a chunked answer, in it a JSON object a line. Where the
 * revisions of the place are not known, an answer that is the whole list comes first.
 */
final class DiscoveryConnection implements Connection.Listener, HttpReader.MessageListener {
    /** What a connection belongs to. */
    interface Owner {
        /** The host that is asked. */
        String host();

        /** Whether changes may be asked for; if not, the whole list has to come first. */
        boolean isNumbered();

        /** The revision of the list, since which changes are asked for. */
        long revision();

        /** Whether what this connection says still counts. */
        boolean counts(DiscoveryConnection connection);

        /** It has said a line of its watch that could be used. */
        void alive(DiscoveryConnection connection);

        /**
         * An object has come whole.
         *
         * @return whether it is a list that could be used
         */
        boolean told(Object list);

        /** A list has been told and taken. */
        void listTaken();

        void ended(DiscoveryConnection connection, CloseReason closeReason);
    }

    private static final Logger LOG = Logger.getLogger("tinlink.roster");

    /**
     * Danger: what a silent watch misses counts as told after three lines' time. Half of it is left for
     * connections that are refused, hang, or are taken and say nothing.
     */
    private static final long SILENT_US = 3 * ProtocolLimits.WATCH_KEEPALIVE_US / 2;

    private final EventLoop loop;
    private final Owner owner;
    private final int maxObjectBytes;
    private final HttpReader reader = HttpReader.forResponses(this);

    /** What is read of an object; it may go over several lines, the first of which alone begins it. */
    private JsonReader object = new JsonReader();

    private boolean lineBegun;
    private int objectBytes;
    private boolean bad;
    private boolean watches;
    private Connection link;
    private EventLoop.Timer silence;

    DiscoveryConnection(EventLoop loop, Owner owner, int maxObjectBytes) {
        this.loop = loop;
        this.owner = owner;
        this.maxObjectBytes = maxObjectBytes;
    }

    void on(Connection link) {
        this.link = link;
    }

    void end(CloseReason closeReason) {
        loop.cancel(silence);
        link.close(closeReason);
    }

    @Override
    public void connected() {
        ask();
    }

    private void ask() {
        watches = owner.isNumbered();
        link.out()
                .put("GET /api/targets" + (watches ? "?watch=1&after=" + owner.revision() : "")
                        + " HTTP/1.1\r\nHost: " + owner.host() + "\r\n\r\n");
        link.scheduleWrite();
    }

    /** Danger: bytes that drip in, or noise, are no life: a line that could be read is. */
    private void alive() {
        if (!watches) {
            return; // The whole list says nothing of what comes after it.
        }
        loop.cancel(silence);
        silence = loop.schedule(loop.nowUs() + SILENT_US, () -> end(CloseReason.SILENT));
        owner.alive(this);
    }

    @Override
    public void bytesReceived(RingBuffer in) {
        try {
            while (in.size() > 0 && owner.counts(this)) {
                reader.read(in);
            }
        } catch (MessageRejectedException e) {
            LOG.warning("discovery: " + e.getMessage());
            end(CloseReason.BAD_INPUT);
        }
    }

    @Override
    public void startLine(String one, String status, String words) throws MessageRejectedException {
        if (!status.equals("200")) {
            throw new MessageRejectedException(502, "the watch was answered with " + status);
        }
    }

    @Override
    public void body(ByteBuffer piece) throws MessageRejectedException {
        while (piece.hasRemaining() && owner.counts(this)) {
            byte b = piece.get();
            if (++objectBytes > maxObjectBytes) {
                throw new MessageRejectedException(502, "a list of over " + maxObjectBytes + " bytes");
            }
            if (b == '\n') {
                lineOver();
            } else {
                if (watches && !lineBegun && b == '{' && !object.isEmpty()) {
                    leaveOut(
                            "it does not end"); // An object begins here, so the one before was cut.
                }
                lineBegun |= b != '\r';
                read(b);
            }
        }
    }

    private void read(byte b) {
        try {
            if (!bad) {
                object.read(b);
            }
        } catch (MessageRejectedException e) {
            leaveOut(e.getMessage());
            bad = true;
        }
    }

    private void leaveOut(String why) {
        LOG.warning("discovery: a line is left out: " + why);
        anew();
    }

    private void anew() {
        object = new JsonReader();
        objectBytes = 0;
        bad = false;
    }

    /** Danger: what it holds must not be passed over, nor half of it pass for the whole. */
    private void lineOver() {
        boolean said = lineBegun;
        lineBegun = false;
        read((byte) '\n');
        if (bad) {
            anew();
        } else if (object.isComplete()) {
            objectOver();
        } else if (watches && !said) {
            if (!object.isEmpty()) {
                leaveOut("it does not end"); // No line within a list is empty.
            }
            alive();
        }
    }

    private void objectOver() {
        try {
            Object whole = object.value();
            anew();
            if (!watches && owner.isNumbered()) {
                return; // Another has told the whole list, perhaps a newer one.
            }
            if (owner.told(whole)) {
                alive();
                owner.listTaken();
            }
        } catch (MessageRejectedException e) {
            leaveOut(e.getMessage());
        }
    }

    /** The whole list is in, and is watched from there on; a watch has no end. */
    @Override
    public void messageEnded() throws MessageRejectedException {
        if (watches) {
            throw new MessageRejectedException(502, "the watch was ended");
        }
        if (owner.counts(this)) {
            lineOver();
            anew();
            ask();
        }
    }

    @Override
    public void connectionClosed(CloseReason closeReason) {
        loop.cancel(silence);
        owner.ended(this, closeReason);
    }
}

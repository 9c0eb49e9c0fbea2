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
import java.util.HashMap;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.regex.Pattern;

/**
 * A client's connection: one request at a time, the next one is read when its answer has been
 * given.
 */
final class Client implements Connection.Listener, HttpReader.MessageListener, Query.Asker {
    private static final Logger LOG = Logger.getLogger("tinlink.intake");
    private static final Pattern CLOSE = Pattern.compile("(?i)(.*,)?\\s*close\\s*(,.*)?");
    private static final Pattern ONCE = Pattern.compile("x-.*|idempotency-key|content-length|host");
    private final Intake intake;
    private final HttpReader reader = HttpReader.forRequests(this);
    private final Map<String, String> fields = new HashMap<>();
    private Connection link;
    private String method;
    private String path;
    private boolean keep;
    private JsonReader body;
    private int bodyBytes;
    /** In hand; a close now means that its client has left. */
    private Query query;

    private boolean lastAnswer;
    /** It has had an answer. */
    private boolean known;
    /** Bytes taken and not read after the last answer. */
    private int unread;
    /** Runs while nothing is in hand: until then a whole request has to come. */
    private EventLoop.Timer limit;

    private boolean begun;
    private long askedAt;

    Client(Intake intake) {
        this.intake = intake;
    }

    /** @param askedAt of its first request, where that has waited for us; else the end of time */
    void on(Connection link, long askedAt) {
        this.link = link;
        this.askedAt = askedAt;
    }

    /**
     * Danger: a request that crosses the close is lost once read; unread, its client asks
     * elsewhere.
     */
    void letGo() {
        lastAnswer = true;
        endLimit();
        link.halfClose();
        intake.leave(this);
    }

    private void endLimit() {
        intake.takeBack(limit);
        limit = null;
    }

    /** Nothing is in hand from that time on. */
    void awaits(long since) {
        intake.takeBack(limit);
        begun = false;
        limit = intake.whenTooLong(since, this::tooLong);
    }

    /** Nothing is in hand, a next request may come. */
    private boolean awaits() {
        return query == null && !lastAnswer;
    }

    /** Nothing is in hand and nothing has been read of a next request. */
    private boolean isIdle() {
        return awaits() && reader.isAtBoundary();
    }

    Connection link() {
        return link;
    }

    @Override
    public void bytesReceived(RingBuffer in) {
        intake.busy(this);
        try {
            while (awaits() && in.size() > 0) {
                reader.read(in);
            }
        } catch (MessageRejectedException e) {
            LOG.log(Level.FINE, "a request is not used: {0}", e.getMessage());
            lastAnswer(Reply.plain(e.status, e.getMessage()));
        } catch (RuntimeException e) {
            // Danger: a fault of ours must not leave the client without an answer, nor word a
            // refusal.
            LOG.log(Level.SEVERE, "a request failed by a fault of ours", e);
            Query failed = query;
            query = null;
            if (failed != null) {
                intake.gone(failed);
            }
            lastAnswer(Reply.plain(500, "a fault of the router"));
        }
        if (query != null && in.size() >= ProtocolLimits.MAX_UNREAD_BYTES) {
            // Danger: behind what a client has sent without waiting for an answer its close is not
            // seen, and
            // parts would be sent for it when it has long gone.
            Query failed = query;
            query = null;
            intake.gone(failed);
            lastAnswer(Reply.plain(400, "too much was sent before an answer"));
        }
        while (lastAnswer && in.size() > 0 && unread < ProtocolLimits.MAX_BODY_BYTES) {
            // Not read as a request, but taken: a reset would cut off the answer. Danger: what a
            // client that
            // sends without end is sent takes the time of all others; past the bound its bytes stay
            // where they are.
            unread += in.takeContiguous(in.size()).remaining();
        }
        if (isIdle()) {
            intake.idle(this);
        } else if (awaits()) {
            intake.sends(this);
            if (known && !begun) {
                awaits(intake.now()); // Its next request has begun, and has its own time.
                begun = true;
            }
        }
    }

    /**
     * Danger: connections that say nothing, or stop in the middle of a request, would be held for
     * ever.
     */
    private void tooLong() {
        limit = null;
        if (!isIdle()) {
            lastAnswer(Reply.plain(408, "the request took too long"));
        } else {
            intake.whileReadsStop(this::endIdle);
        }
    }

    private void endIdle() {
        if (link.hasUnprocessedRead()) {
            limit = intake.whenSaid(
                    this::tooLong); // It has begun to say something in this very moment.
        } else if (known) {
            letGo();
        } else {
            link.close(CloseReason.IDLE);
        }
    }

    /** Of a request that was not read whole: the next one could not be told from its rest. */
    private void lastAnswer(Reply reply) {
        bodyRead();
        keep = false;
        answer(reply);
    }

    @Override
    public void startLine(String one, String two, String three) {
        method = one;
        int mark = two.indexOf('?');
        path = mark < 0 ? two : two.substring(0, mark);
        keep = three.equals("HTTP/1.1");
        fields.clear();
        body = null;
    }

    @Override
    public void header(String name, String value) throws MessageRejectedException {
        // Danger: of a field that comes twice, we and whoever stands before us could go by
        // different ones.
        if (fields.put(name, value) != null && ONCE.matcher(name).matches()) {
            throw new MessageRejectedException(400, name + ": twice");
        }
    }

    @Override
    public void headersEnded() throws MessageRejectedException {
        String connection = fields.getOrDefault("connection", "");
        keep = keep && !CLOSE.matcher(connection).matches();
        String wants =
                switch (path) {
                    case "/api" -> "POST";
                    case "/-/ready" -> "GET";
                    default -> throw new MessageRejectedException(404, "no such path");
                };
        if (!method.equals(wants)) {
            throw new MessageRejectedException(405, "the method is " + wants);
        }
        if (wants.equals("POST")) {
            body = new JsonReader();
            if (fields.getOrDefault("expect", "").equalsIgnoreCase("100-continue")) {
                link.out().put("HTTP/1.1 100 Continue\r\n\r\n");
                link.scheduleWrite();
            }
        }
    }

    @Override
    public void body(ByteBuffer piece) throws MessageRejectedException {
        if (body != null) {
            bodyBytes += piece.remaining();
            if (!intake.reads(piece.remaining())) {
                // Nothing of it was sent anywhere, so a refusal is honest.
                throw new MessageRejectedException(503, "too much is being read");
            }
            body.read(piece);
        }
    }

    private void bodyRead() {
        body = null;
        intake.reads(-bodyBytes);
        bodyBytes = 0;
    }

    @Override
    public void messageEnded() throws MessageRejectedException {
        if (body == null) {
            answer(intake.ready() ? Reply.plain(200, "ready") : Reply.plain(503, "not ready"));
            return;
        }
        Query q = intake.read(fields, body, this, askedAt);
        askedAt = Long.MAX_VALUE;
        bodyRead();
        fields.clear(); // A connection with nothing in hand holds next to nothing.
        if (!intake.hasRoom(q)) {
            // Nothing of it was sent anywhere, so a refusal is honest.
            answer(Reply.plain(503, "no room for it now"));
            return;
        }
        query = q;
        intake.sent(this);
        endLimit();
        intake.take(q);
    }

    @Override
    public void answered(Query q, boolean whole) {
        answer(q, Reply.answer(q, whole));
    }

    @Override
    public void nacked(Query q, long comeBackUs) {
        answer(q, Reply.nack(comeBackUs));
    }

    @Override
    public void aborted(Query q) {
        answer(q, Reply.abort());
    }

    @Override
    public void failed(Query q) {
        answer(q, Reply.plain(500, "a fault of the router"));
    }

    /** The final answer of the query in hand. */
    private void answer(Query q, Reply reply) {
        if (query == q) {
            query = null;
            answer(reply);
            if (!lastAnswer) {
                intake.soon(this); // What came meanwhile is read in the next turn.
            }
        }
    }

    private void answer(Reply reply) {
        lastAnswer = !keep || intake.closing();
        known = true;
        reply.write(link.out(), lastAnswer);
        link.scheduleWrite();
        if (lastAnswer) {
            endLimit();
            intake.leave(this);
        } else {
            awaits(intake.now());
        }
    }

    @Override
    public void writesCompleted() {
        if (lastAnswer) {
            link.halfClose();
        }
    }

    @Override
    public void connectionClosed(CloseReason closeReason) {
        LOG.log(Level.FINE, "client: {0}", closeReason);
        intake.ended(this);
        intake.takeBack(limit);
        bodyRead();
        if (query != null) {
            Query left = query;
            query = null;
            intake.gone(left);
        }
    }
}

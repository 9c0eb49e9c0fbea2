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
import java.util.HashMap;
import java.util.Map;
import java.util.logging.Level;
import java.util.regex.Pattern;

/**
 * A client's connection: one request at a time, the next one is read when its answer has been
 * given.
 */
final class ClientConnection
        implements Connection.Listener, HttpReader.MessageListener, Query.ResponseListener {
    private static final EventLog LOG = new EventLog("tinlink.clients");
    private static final Pattern CLOSE_OPTION = Pattern.compile("(?i)(.*,)?\\s*close\\s*(,.*)?");
    private static final Pattern SINGLE_FIELDS =
            Pattern.compile("x-.*|idempotency-key|content-length|host");
    private final ClientAcceptor acceptor;
    private final HttpReader reader = HttpReader.forRequests(this);
    private final Map<String, String> headers = new HashMap<>();
    private Connection connection;
    private String method;
    private String path;
    private boolean keepAlive;
    private JsonReader body;
    private int bodyBytes;
    /** In flight; a close now means that its client has left. */
    private Query query;

    private boolean lastResponse;
    /** It has had a response. */
    private boolean hasResponded;
    /** Bytes discarded after the last response. */
    private int discardedBytes;
    /** Runs while nothing is in flight: until then a complete request has to come. */
    private EventLoop.Timer requestTimer;

    private boolean requestBegun;
    private long requestedAtUs;

    ClientConnection(ClientAcceptor acceptor) {
        this.acceptor = acceptor;
    }

    /** @param requestedAtUs of its first request, where that has waited for us; else the end of time */
    void attach(Connection connection, long requestedAtUs) {
        this.connection = connection;
        this.requestedAtUs = requestedAtUs;
    }

    /**
     * Danger: a request that crosses the close is lost once read; unread, its client asks
     * elsewhere.
     */
    void drain() {
        lastResponse = true;
        cancelRequestTimer();
        connection.halfClose();
        acceptor.closeAfterLinger(this);
    }

    private void cancelRequestTimer() {
        acceptor.cancel(requestTimer);
        requestTimer = null;
    }

    /** Nothing is in flight from that time on. */
    void awaitRequest(long sinceUs) {
        acceptor.cancel(requestTimer);
        requestBegun = false;
        requestTimer = acceptor.scheduleRequestTimeout(sinceUs, this::requestTimedOut);
    }

    /** Nothing is in flight, a next request may come. */
    private boolean isAwaitingRequest() {
        return query == null && !lastResponse;
    }

    /** Nothing is in flight and nothing has been read of a next request. */
    private boolean isIdle() {
        return isAwaitingRequest() && reader.isAtBoundary();
    }

    Connection connection() {
        return connection;
    }

    @Override
    public void bytesReceived(RingBuffer in) {
        acceptor.markBusy(this);
        try {
            while (isAwaitingRequest() && in.size() > 0) {
                reader.read(in);
            }
        } catch (MessageRejectedException e) {
            LOG.log(Level.FINE, "request_rejected", "reason", e.getMessage());
            respondAndClose(ClientResponse.plainText(e.status, e.getMessage()));
        } catch (RuntimeException e) {
            // Danger: a fault of ours must not leave the client without an answer, nor word a
            // refusal.
            LOG.logFailure(Level.SEVERE, "request_failed", e);
            Query failed = query;
            query = null;
            if (failed != null) {
                acceptor.clientGone(failed);
            }
            respondAndClose(ClientResponse.plainText(500, "a fault of the router"));
        }
        if (query != null && in.size() >= ProtocolLimits.MAX_UNREAD_BYTES) {
            // Danger: behind what a client has sent without waiting for an answer its close is not
            // seen, and
            // parts would be sent for it when it has long gone.
            Query failed = query;
            query = null;
            acceptor.clientGone(failed);
            respondAndClose(ClientResponse.plainText(400, "too much was sent before an answer"));
        }
        while (lastResponse && in.size() > 0 && discardedBytes < ProtocolLimits.MAX_BODY_BYTES) {
            // Not read as a request, but taken: a reset would cut off the answer. Danger: what a
            // client that
            // sends without end is sent takes the time of all others; past the bound its bytes stay
            // where they are.
            discardedBytes += in.takeContiguous(in.size()).remaining();
        }
        if (isIdle()) {
            acceptor.markIdle(this);
        } else if (isAwaitingRequest()) {
            acceptor.requestStarted(this);
            if (hasResponded && !requestBegun) {
                awaitRequest(acceptor.nowUs()); // Its next request has begun, and has its own time.
                requestBegun = true;
            }
        }
    }

    /**
     * Danger: connections that say nothing, or stop in the middle of a request, would be held for
     * ever.
     */
    private void requestTimedOut() {
        requestTimer = null;
        if (!isIdle()) {
            respondAndClose(ClientResponse.plainText(408, "the request took too long"));
        } else {
            acceptor.whileReadsPaused(this::closeIdle);
        }
    }

    private void closeIdle() {
        if (connection.hasUnprocessedRead()) {
            requestTimer = acceptor.scheduleAfterLinger(
                    this::requestTimedOut); // It has begun to say something in this very moment.
        } else if (hasResponded) {
            drain();
        } else {
            connection.close(CloseReason.IDLE_TIMEOUT);
        }
    }

    /** Of a request that was not read completely: the next one could not be told from its rest. */
    private void respondAndClose(ClientResponse response) {
        releaseBody();
        keepAlive = false;
        respond(response);
    }

    @Override
    public void startLine(String requestMethod, String requestTarget, String version) {
        method = requestMethod;
        int queryStart = requestTarget.indexOf('?');
        path = queryStart < 0 ? requestTarget : requestTarget.substring(0, queryStart);
        keepAlive = version.equals("HTTP/1.1");
        headers.clear();
        body = null;
    }

    @Override
    public void header(String name, String value) throws MessageRejectedException {
        // Danger: of a field that comes twice, we and whoever stands before us could go by
        // different ones.
        if (headers.put(name, value) != null && SINGLE_FIELDS.matcher(name).matches()) {
            throw new MessageRejectedException(400, name + ": twice");
        }
    }

    @Override
    public void headersEnded() throws MessageRejectedException {
        String connectionHeader = headers.getOrDefault("connection", "");
        keepAlive = keepAlive && !CLOSE_OPTION.matcher(connectionHeader).matches();
        String expectedMethod =
                switch (path) {
                    case "/api" -> "POST";
                    case "/-/ready" -> "GET";
                    default -> throw new MessageRejectedException(404, "no such path");
                };
        if (!method.equals(expectedMethod)) {
            throw new MessageRejectedException(405, "the method is " + expectedMethod);
        }
        if (expectedMethod.equals("POST")) {
            body = new JsonReader();
            if (headers.getOrDefault("expect", "").equalsIgnoreCase("100-continue")) {
                connection.out().put("HTTP/1.1 100 Continue\r\n\r\n");
                connection.scheduleWrite();
            }
        }
    }

    @Override
    public void body(ByteBuffer piece) throws MessageRejectedException {
        if (body != null) {
            bodyBytes += piece.remaining();
            if (!acceptor.reserveBodyBytes(piece.remaining())) {
                // Nothing of it was sent anywhere, so a rejection is safe to retry.
                throw new MessageRejectedException(503, "too much is being read");
            }
            body.read(piece);
        }
    }

    private void releaseBody() {
        body = null;
        acceptor.reserveBodyBytes(-bodyBytes);
        bodyBytes = 0;
    }

    @Override
    public void messageEnded() throws MessageRejectedException {
        if (body == null) {
            respond(
                    acceptor.isReady()
                            ? ClientResponse.plainText(200, "ready")
                            : ClientResponse.plainText(503, "not ready"));
            return;
        }
        Query parsed = acceptor.parse(headers, body, this, requestedAtUs);
        requestedAtUs = Long.MAX_VALUE;
        releaseBody();
        headers.clear(); // A connection with nothing in flight holds next to nothing.
        if (!acceptor.hasCapacity(parsed)) {
            // Nothing of it was sent anywhere, so a rejection is safe to retry.
            respond(ClientResponse.plainText(503, "no room for it now"));
            return;
        }
        query = parsed;
        acceptor.requestReceived(this);
        cancelRequestTimer();
        acceptor.admit(parsed);
    }

    @Override
    public void onAnswer(Query ended, boolean isComplete) {
        respond(ended, ClientResponse.answer(ended, isComplete));
    }

    @Override
    public void onRejection(Query ended, long retryAfterUs) {
        respond(ended, ClientResponse.rejection(retryAfterUs));
    }

    @Override
    public void onAbort(Query ended) {
        respond(ended, ClientResponse.abort());
    }

    @Override
    public void onFailure(Query ended) {
        respond(ended, ClientResponse.plainText(500, "a fault of the router"));
    }

    /** The final response to the query in flight. */
    private void respond(Query ended, ClientResponse response) {
        if (query == ended) {
            query = null;
            respond(response);
            if (!lastResponse) {
                acceptor.resumeReadingSoon(this); // What came meanwhile is read in the next turn.
            }
        }
    }

    private void respond(ClientResponse response) {
        lastResponse = !keepAlive || acceptor.closesAfterResponse();
        hasResponded = true;
        response.write(connection.out(), lastResponse);
        connection.scheduleWrite();
        if (lastResponse) {
            cancelRequestTimer();
            acceptor.closeAfterLinger(this);
        } else {
            awaitRequest(acceptor.nowUs());
        }
    }

    @Override
    public void writesCompleted() {
        if (lastResponse) {
            connection.halfClose();
        }
    }

    @Override
    public void connectionClosed(CloseReason closeReason) {
        LOG.log(Level.FINE, "client_connection_closed", "reason", closeReason);
        acceptor.clientClosed(this);
        acceptor.cancel(requestTimer);
        releaseBody();
        if (query != null) {
            Query abandoned = query;
            query = null;
            acceptor.clientGone(abandoned);
        }
    }
}

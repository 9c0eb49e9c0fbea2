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
 * A client's HTTP connection. It handles one request at a time; the next one is read after the response
 * to the current one.
 */
final class ClientConnection
        implements Connection.Listener, HttpReader.MessageListener, Query.ResponseListener {
    private static final EventLog LOG = new EventLog("tinlink.clients");
    private static final Pattern CLOSE_OPTION = Pattern.compile("(?i)(.*,)?\\s*close\\s*(,.*)?");
    private static final Pattern SINGLE_VALUE_HEADERS =
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
    /** The query in flight; null if none. If the connection closes, its client has disconnected. */
    private Query query;

    /** Whether the connection is about to close, so that no further request is read. */
    private boolean closing;
    /** Whether any response has been written on this connection. */
    private boolean responded;
    /** Bytes received and discarded after the last response. */
    private int discardedBytes;
    /** Limits the wait for a complete request; null while a query is in flight. */
    private EventLoop.Timer requestTimer;

    /** Whether the timeout was restarted for a request that has begun to arrive. */
    private boolean requestBegun;
    /** When the first request was sent, if it waited to be read; otherwise {@code Long.MAX_VALUE}. */
    private long requestedAtUs;

    ClientConnection(ClientAcceptor acceptor) {
        this.acceptor = acceptor;
    }

    /**
     * @param requestedAtUs when the first request was sent, if it waited to be read; otherwise
     *     {@code Long.MAX_VALUE}
     */
    void attach(Connection connection, long requestedAtUs) {
        this.connection = connection;
        this.requestedAtUs = requestedAtUs;
    }

    /**
     * Ends the stream to the client. A request that crosses the close would be lost if it were read; if it
     * stays unread, the client retries it at another router.
     */
    void drain() {
        closing = true;
        cancelRequestTimer();
        connection.halfClose();
        acceptor.closeAfterLinger(this);
    }

    private void cancelRequestTimer() {
        acceptor.cancel(requestTimer);
        requestTimer = null;
    }

    /** Starts the timeout for the next request at the given time. */
    void awaitRequest(long sinceUs) {
        acceptor.cancel(requestTimer);
        requestBegun = false;
        requestTimer = acceptor.scheduleRequestTimeout(sinceUs, this::requestTimedOut);
    }

    /** Whether nothing is in flight and another request is allowed. */
    private boolean isAwaitingRequest() {
        return query == null && !closing;
    }

    /** Whether nothing is in flight and no part of the next request has been read. */
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
            // An internal error must not leave the client without a response, and must not be
            // reported as a rejection.
            LOG.logFailure(Level.SEVERE, "request_failed", e);
            Query failed = query;
            query = null;
            if (failed != null) {
                acceptor.clientGone(failed);
            }
            respondAndClose(ClientResponse.plainText(500, "a fault of the router"));
        }
        if (query != null && in.size() >= ProtocolLimits.MAX_UNREAD_BYTES) {
            // If a client pipelines more than this, its close stays hidden behind the unread bytes,
            // and attempts would be sent for a client that has disconnected.
            Query failed = query;
            query = null;
            acceptor.clientGone(failed);
            respondAndClose(ClientResponse.plainText(400, "too much was sent before an answer"));
        }
        while (closing && in.size() > 0 && discardedBytes < ProtocolLimits.MAX_BODY_BYTES) {
            // Bytes after the last response are discarded, since a reset would cut off the
            // response. The amount is bounded: a client that sends endlessly would take processing
            // time from all others.
            discardedBytes += in.takeContiguous(in.size()).remaining();
        }
        if (isIdle()) {
            acceptor.markIdle(this);
        } else if (isAwaitingRequest()) {
            acceptor.requestStarted(this);
            if (responded && !requestBegun) {
                awaitRequest(acceptor.nowUs()); // The request that has begun has a full timeout.
                requestBegun = true;
            }
        }
    }

    /**
     * Ends a connection that is silent or stopped in the middle of a request; it would otherwise be held
     * forever.
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
                    this::requestTimedOut); // Bytes of a request have just arrived.
        } else if (responded) {
            drain();
        } else {
            connection.close(CloseReason.IDLE_TIMEOUT);
        }
    }

    /**
     * Responds to a request that was not read completely, and closes the connection, since the rest of that
     * request could not be told from the next one.
     */
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
        // If such a header occurs twice, this router and a proxy in front of it could use different
        // values.
        if (headers.put(name, value) != null
                && SINGLE_VALUE_HEADERS.matcher(name).matches()) {
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
                // No attempt was sent, so the client can safely retry after this rejection.
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
        headers.clear(); // Frees memory while the connection is idle.
        if (!acceptor.hasCapacity(parsed)) {
            // No attempt was sent, so the client can safely retry after this rejection.
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

    /** Sends the final response to the query, if that is still in flight. */
    private void respond(Query ended, ClientResponse response) {
        if (query == ended) {
            query = null;
            respond(response);
            if (!closing) {
                acceptor.resumeReadingSoon(this); // Pipelined bytes are read in the next turn.
            }
        }
    }

    private void respond(ClientResponse response) {
        closing = !keepAlive || acceptor.closesAfterResponse();
        responded = true;
        response.write(connection.out(), closing);
        connection.scheduleWrite();
        if (closing) {
            cancelRequestTimer();
            acceptor.closeAfterLinger(this);
        } else {
            awaitRequest(acceptor.nowUs());
        }
    }

    @Override
    public void writesCompleted() {
        if (closing) {
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

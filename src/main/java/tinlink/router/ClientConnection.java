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
 * A client's HTTP connection. It handles one request at a time; the next one is read after the response
 * to the current one.
 */
final class ClientConnection
        implements Connection.Listener,
                HttpReader.MessageListener,
                Query.ResponseListener,
                RequestMemory.Owner {
    private static final EventLog LOG = new EventLog("tinlink.clients");

    private final ClientAcceptor acceptor;
    /** The heap that this connection's request retains. */
    private final RequestMemory.Account memory;

    private final HttpReader reader = HttpReader.forRequests(this);
    private final RequestHead head;
    private Connection connection;
    private boolean keepAlive;
    private JsonReader body;
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
        memory = acceptor.openMemoryAccount(this);
        head = new RequestHead(memory);
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
            accountForBuffers(in);
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
        if (closing) {
            discard(in);
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
     * Discards the bytes after the last response, since a reset would cut off the response. The amount is
     * bounded: a client that sends endlessly would take processing time from all others.
     */
    private void discard(RingBuffer in) {
        while (in.size() > 0) {
            discardedBytes += in.takeContiguous(in.size()).remaining();
        }
        if (discardedBytes >= ProtocolLimits.MAX_BODY_BYTES) {
            connection.stopReading();
        }
    }

    /** Charges the buffers of the connection, which a peer can make grow without completing a request. */
    private void accountForBuffers(RingBuffer in) throws MessageRejectedException {
        long bytes = in.capacity() + reader.bufferedBytes();
        if (isAwaitingRequest() && !reader.isAtBoundary()) {
            memory.setReceiveBuffer(bytes);
        } else {
            memory.setInputBuffer(bytes);
        }
    }

    @Override
    public void giveWayForMemory() {
        if (isAwaitingRequest() && !reader.isAtBoundary()) {
            // No attempt was sent, so the client can safely retry after this rejection.
            respondAndClose(ClientResponse.plainText(503, "too much is being read"));
        } else {
            connection.close(CloseReason.COMPLETED); // The client does not read its response.
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
        releaseRequest(0);
        keepAlive = false;
        respond(response);
    }

    @Override
    public void startLine(String method, String target, String version)
            throws MessageRejectedException {
        head.startLine(method, target, version);
        body = null;
    }

    @Override
    public void header(String name, String value) throws MessageRejectedException {
        head.add(name, value);
    }

    @Override
    public void headersEnded() throws MessageRejectedException {
        keepAlive = head.isKeepAlive();
        if (head.checkedKind() == RequestHead.Kind.LOOKUP) {
            body = new JsonReader(memory);
            if (head.expectsContinue()) {
                connection.out().put("HTTP/1.1 100 Continue\r\n\r\n");
                connection.scheduleWrite();
            }
        }
    }

    @Override
    public void body(ByteBuffer piece) throws MessageRejectedException {
        if (body != null) {
            body.read(piece);
        }
    }

    /** Frees what was parsed from the request; the text of its lookup, if any, stays in memory. */
    private void releaseRequest(int lookupBytes) {
        head.clear();
        body = null;
        memory.received(lookupBytes);
    }

    @Override
    public void messageEnded() throws MessageRejectedException {
        if (body == null) {
            releaseRequest(0);
            respond(
                    acceptor.isReady()
                            ? ClientResponse.plainText(200, "ready")
                            : ClientResponse.plainText(503, "not ready"));
            return;
        }
        Query parsed = acceptor.parse(head.fields(), body, this, requestedAtUs);
        requestedAtUs = Long.MAX_VALUE;
        releaseRequest(parsed.text.length);
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
        memory.responseBuffered(connection.out().capacity());
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
        memory.responseWritten();
        if (closing) {
            connection.halfClose();
        }
    }

    @Override
    public void connectionClosed(CloseReason closeReason) {
        LOG.log(Level.FINE, "client_connection_closed", "reason", closeReason);
        acceptor.clientClosed(this);
        acceptor.cancel(requestTimer);
        memory.release();
        if (query != null) {
            Query abandoned = query;
            query = null;
            acceptor.clientGone(abandoned);
        }
    }
}

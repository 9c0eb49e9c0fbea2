package tinlink.router;

import tinlink.net.CloseReason;
import tinlink.net.Connection;
import tinlink.net.EventLog;
import tinlink.net.MessageRejectedException;
import tinlink.net.ProtocolLimits;
import tinlink.net.RingBuffer;

import java.util.logging.Level;

/**
 * A client's HTTP connection. It handles one request at a time; the next one is read after the response
 * to the current one.
 */
final class ClientConnection
        implements Connection.Listener,
                Query.ResponseListener,
                ParseQueue.Request,
                RequestMemory.Owner {
    private static final EventLog LOG = new EventLog("tinlink.clients");

    private final ClientAcceptor acceptor;
    /** The heap that this connection's request retains. */
    private final RequestMemory.Account memory;

    /** The request that is being received or parsed. */
    private final IncomingRequest request;

    private Connection connection;
    private boolean keepAlive;
    /** Whether a request has arrived completely and its body waits to be parsed. */
    private boolean parsing;
    /** The query in flight; null if none. If the connection closes, its client has disconnected. */
    private Query query;

    /** Whether the connection is about to close, so that no further request is read. */
    private boolean closing;
    /** Whether any response has been written on this connection. */
    private boolean responded;

    private final DiscardedInput discardedInput = new DiscardedInput();
    private final RequestTimeout timeout;

    /** Whether the timeout was restarted for a request that has begun to arrive. */
    private boolean requestBegun;
    /** When the first request was sent, if it waited to be read; otherwise {@code Long.MAX_VALUE}. */
    private long requestedAtUs;

    ClientConnection(ClientAcceptor acceptor) {
        this.acceptor = acceptor;
        memory = acceptor.openMemoryAccount(this);
        request = new IncomingRequest(memory, this::sendContinue);
        timeout = new RequestTimeout(acceptor, this::requestTimedOut);
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
        timeout.stop();
        connection.halfClose();
        acceptor.closeAfterLinger(this);
    }

    /** Starts the timeout for the next request at the given time. */
    void awaitRequest(long sinceUs) {
        requestBegun = false;
        timeout.startForRequest(sinceUs);
    }

    /** Whether nothing is in flight and another request is allowed. */
    private boolean isAwaitingRequest() {
        return query == null && !parsing && !closing;
    }

    /** Whether a request is being received or parsed. */
    private boolean isReceiving() {
        return parsing || (isAwaitingRequest() && !request.isAtBoundary());
    }

    /** Whether nothing is in flight and no part of the next request has been read. */
    private boolean isIdle() {
        return isAwaitingRequest() && request.isAtBoundary();
    }

    Connection connection() {
        return connection;
    }

    @Override
    public void bytesReceived(RingBuffer in) {
        acceptor.markBusy(this);
        guard(() -> {
            while (isAwaitingRequest() && in.size() > 0) {
                if (request.read(in)) {
                    requestComplete();
                }
            }
            accountForBuffers(in);
        });
        if ((query != null || parsing) && in.size() >= ProtocolLimits.MAX_UNREAD_BYTES) {
            // If a client pipelines more than this, its close stays hidden behind the unread bytes,
            // and attempts would be sent for a client that has disconnected.
            abandonQuery();
            respondAndClose(ClientResponse.plainText(400, "too much was sent before an answer"));
        }
        if (closing && discardedInput.discard(in)) {
            connection.stopReading();
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

    private interface Step {
        void run() throws MessageRejectedException;
    }

    /** Runs a step of receiving a request, and responds to a request that fails in it. */
    private void guard(Step step) {
        try {
            step.run();
        } catch (MessageRejectedException e) {
            LOG.log(Level.FINE, "request_rejected", "reason", e.getMessage());
            respondAndClose(ClientResponse.plainText(e.status, e.getMessage()));
        } catch (RuntimeException e) {
            // An internal error must not leave the client without a response, and must not be
            // reported as a rejection.
            LOG.logFailure(Level.SEVERE, "request_failed", e);
            abandonQuery();
            respondAndClose(ClientResponse.plainText(500, "a fault of the router"));
        }
    }

    private void abandonQuery() {
        if (query != null) {
            Query abandoned = query;
            query = null;
            acceptor.clientGone(abandoned);
        }
    }

    /** Charges the buffers of the connection, which a peer can make grow without completing a request. */
    private void accountForBuffers(RingBuffer in) throws MessageRejectedException {
        long bytes = in.capacity() + request.bufferedBytes();
        if (isReceiving()) {
            memory.setReceiveBuffer(bytes);
        } else {
            memory.setInputBuffer(bytes);
        }
    }

    @Override
    public void giveWayForMemory() {
        if (isReceiving()) {
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
        if (parsing) {
            respondAndClose(ClientResponse.plainText(503, "no room for it now"));
        } else if (!isIdle()) {
            respondAndClose(ClientResponse.plainText(408, "the request took too long"));
        } else {
            acceptor.whileReadsPaused(this::closeIdle);
        }
    }

    private void closeIdle() {
        if (connection.hasUnprocessedRead()) {
            timeout.startForUnprocessedRead(); // Bytes of a request have just arrived.
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

    private void sendContinue() {
        connection.out().put("HTTP/1.1 100 Continue\r\n\r\n");
        connection.scheduleWrite();
    }

    /** Frees what was parsed from the request; the text of its lookup, if any, stays in memory. */
    private void releaseRequest(int lookupBytes) {
        request.clear();
        if (parsing) {
            parsing = false;
            acceptor.parseQueue().remove(this);
        }
        memory.received(lookupBytes);
    }

    private void requestComplete() {
        keepAlive = request.isKeepAlive();
        if (!request.isLookup()) {
            releaseRequest(0);
            respond(
                    acceptor.isReady()
                            ? ClientResponse.plainText(200, "ready")
                            : ClientResponse.plainText(503, "not ready"));
            return;
        }
        parsing = true;
        requestedAtUs = Math.min(requestedAtUs, acceptor.nowUs());
        acceptor.requestReceived(this);
        acceptor.parseQueue().submit(this);
        if (parsing) {
            timeout.startForParsing(requestedAtUs, QueryParser.budgetUs(request.headerFields()));
        }
    }

    @Override
    public int unparsedBytes() {
        return request.unparsedBytes();
    }

    @Override
    public int parseNext(int maxBytes) {
        int unparsedBefore = unparsedBytes();
        guard(() -> {
            request.parse(maxBytes);
            if (unparsedBytes() == 0) {
                admitParsed();
            }
        });
        return Math.min(maxBytes, unparsedBefore);
    }

    private void admitParsed() throws MessageRejectedException {
        Query parsed = acceptor.parse(request.headerFields(), request.json(), this, requestedAtUs);
        requestedAtUs = Long.MAX_VALUE;
        releaseRequest(parsed.text.length);
        if (!acceptor.hasCapacity(parsed)) {
            // No attempt was sent, so the client can safely retry after this rejection.
            respond(ClientResponse.plainText(503, "no room for it now"));
            resumeReadingSoon();
            return;
        }
        query = parsed;
        timeout.stop();
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
            resumeReadingSoon();
        }
    }

    /** Reads the pipelined bytes in the next turn. */
    private void resumeReadingSoon() {
        if (!closing) {
            acceptor.resumeReadingSoon(this);
        }
    }

    private void respond(ClientResponse response) {
        closing = !keepAlive || acceptor.closesAfterResponse();
        responded = true;
        response.write(connection.out(), closing);
        memory.responseBuffered(connection.out().capacity());
        connection.scheduleWrite();
        if (closing) {
            timeout.stop();
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
        timeout.stop();
        releaseRequest(0);
        memory.release();
        abandonQuery();
    }
}

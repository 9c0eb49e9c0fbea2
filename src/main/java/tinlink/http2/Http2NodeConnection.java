package tinlink.http2;

import tinlink.http2.pool.CallResult;
import tinlink.http2.pool.PooledConnection;
import tinlink.net.CloseReason;
import tinlink.net.Connection;
import tinlink.net.EventLoop;
import tinlink.net.FrameTimeout;
import tinlink.net.RingBuffer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * One HTTP/2 connection to a data node, which joins an {@link Http2Connection} and its socket. Runs on the
 * event loop's thread.
 */
final class Http2NodeConnection implements Connection.Listener, StreamListener {
    private static final Logger LOG = Logger.getLogger("tinlink.http2");
    private final Http2NodeClient nodeClient;
    final PooledConnection pooled;
    private final Http2Connection http2;
    private Connection connection;
    private EventLoop.Timer connectTimer;
    /** Closes the connection if a frame or a header block, which blocks all streams, stays incomplete. */
    private final FrameTimeout frameTimeout;

    /** Whether the connection was established. */
    private boolean wasUp;
    /** Whether any complete response has arrived on the connection. */
    private boolean anyResponse;
    /** Whether the node violated the protocol; bytes received afterwards are discarded. */
    private boolean protocolFailed;

    Http2NodeConnection(Http2NodeClient nodeClient, PooledConnection pooled, int maxResetIds) {
        this.nodeClient = nodeClient;
        this.pooled = pooled;
        http2 = new Http2Connection(bytes -> connection.out().put(bytes), this, maxResetIds);
        frameTimeout = nodeClient.newFrameTimeout(() -> close(CloseReason.PROTOCOL_ERROR));
    }

    void attach(Connection connection, EventLoop.Timer connectTimer) {
        this.connection = connection;
        this.connectTimer = connectTimer;
    }

    @Override
    public void connected() {
        nodeClient.cancelTimer(connectTimer);
        wasUp = true;
        http2.start();
        nodeClient.onConnected(this);
    }

    /** Opens a stream for the attempt, which is sent with the write of this turn. */
    void sendRequest(PartRequest request, long now) {
        request.nodeConnection = this;
        request.headerPosition = connection.scheduleWrite();
        request.sentAt = now;
        request.stream = http2.sendRequest(
                request, request.headerFields(nodeClient.authority(), now), request.body());
        connection.scheduleWrite();
        if (!request.stream.isRequestSent()) {
            nodeClient.startSendTimer(request, () -> sendDeadlinePassed(request));
        }
        if (http2.isExhausted()) {
            nodeClient.retire(this);
        }
    }

    /** A node that gives back its window late must not get the rest of a request that is out of date. */
    @Override
    public boolean maySend(Http2Stream stream) {
        return nodeClient.nowUs() < ((PartRequest) stream.call).deadline;
    }

    private void sendDeadlinePassed(PartRequest request) {
        if (!request.ended && !connection.isClosed() && !request.stream.isRequestSent()) {
            withdraw(request.stream);
            nodeClient.finish(request, CallResult.WITHDRAWN, null);
        }
    }

    /**
     * Ends a request that was not sent completely. The node may keep its stream open forever, so the
     * connection takes no new attempts and is closed once its other streams have ended.
     */
    private void withdraw(Http2Stream stream) {
        stream.abandoned = true;
        stream.withdraw();
        nodeClient.retire(this);
        nodeClient.onStreamClosed(this);
    }

    /**
     * Ends an attempt whose outcome is known otherwise.
     *
     * @param notifyNode whether to reset the stream; otherwise the stream stays open until the node ends it,
     *     and no more of the request is sent
     */
    void cancel(PartRequest request, boolean notifyNode) {
        if (notifyNode) {
            http2.cancel(request.stream);
            connection.scheduleWrite();
            nodeClient.onStreamClosed(this);
        } else if (request.stream.isRequestSent()) {
            // The attempt continues at the node and counts against the node's stream limit.
            request.stream.abandoned = true;
        } else {
            withdraw(request.stream);
        }
    }

    /** Whether a byte of the attempt's header block may have been handed to the kernel. */
    private boolean mayHaveLeft(PartRequest request) {
        return connection.mayHaveLeft(request.headerPosition + 1);
    }

    void sendPing(long number) {
        http2.sendPing(number);
        connection.scheduleWrite();
    }

    void close(CloseReason closeReason) {
        connection.close(closeReason);
    }

    @Override
    public void bytesReceived(RingBuffer in) {
        if (protocolFailed) {
            in.takeContiguous(in.size());
            return;
        }
        try {
            nodeClient.onBytes(this);
            http2.read(in);
            connection.scheduleWrite();
        } catch (Http2Exception e) {
            fail(e);
        }
        if (!protocolFailed && !connection.isClosed()) {
            frameTimeout.bytesRead(http2.completedFrames(), http2.isAtFrameBoundary());
        }
    }

    private void fail(Http2Exception e) {
        LOG.log(
                Level.FINE,
                "event=http2_protocol_error node={0} code={1} reason=\"{2}\"",
                new Object[] {nodeClient.authority(), e.code, e.getMessage()});
        nodeClient.counters().increment("http2_protocol_errors");
        // The GOAWAY is sent in this turn; bytes received later are discarded.
        protocolFailed = true;
        http2.sendGoAway(e.code);
        connection.scheduleWrite();
        nodeClient.retire(this);
        nodeClient.runSoon(() -> connection.close(CloseReason.PROTOCOL_ERROR));
    }

    // ---- Results of streams. ----

    @Override
    public void onMaxStreams(long maxStreams) {
        nodeClient.onMaxStreams(this, maxStreams);
    }

    @Override
    public void onResponse(Http2Stream stream) {
        anyResponse = true;
        finish(stream, PartRequest.resultOf(stream));
    }

    @Override
    public void onStreamReset(Http2Stream stream, boolean notProcessed, boolean malformed) {
        CallResult unprocessed = notProcessed ? CallResult.REFUSED_STREAM : CallResult.RESET;
        finish(stream, malformed ? CallResult.MALFORMED : unprocessed);
    }

    private void finish(Http2Stream stream, CallResult result) {
        if (stream.isWithdrawn()) {
            return; // It counts as closed since it was withdrawn.
        }
        PartRequest request = (PartRequest) stream.call;
        nodeClient.onStreamClosed(this);
        if (stream.abandoned) {
            return;
        }
        boolean satisfied = result == CallResult.SATISFIED;
        nodeClient.finish(request, result, satisfied ? Http2Connection.bodyText(stream) : null);
    }

    @Override
    public void onGoAway(int lastStreamId, List<Http2Stream> above) {
        nodeClient.counters().increment("http2_goaways");
        nodeClient.retire(this);
        above.forEach(stream -> finish(stream, CallResult.ABOVE_GOAWAY));
    }

    @Override
    public void onPingAck(long number) {
        nodeClient.onPingAck(this, number);
    }

    @Override
    public void connectionClosed(CloseReason closeReason) {
        nodeClient.cancelTimer(connectTimer);
        frameTimeout.stop();
        List<PartRequest> interrupted = new ArrayList<>();
        http2.openStreams().stream()
                .filter(stream -> !stream.abandoned)
                .forEach(stream -> interrupted.add((PartRequest) stream.call));
        interrupted.sort(Comparator.comparingLong(request -> request.sentAt));
        LOG.log(
                Level.FINE,
                "event=http2_connection_closed node={0} reason={1} open_calls={2}",
                new Object[] {nodeClient.authority(), closeReason, interrupted.size()});
        nodeClient.onConnectionEnded(this, wasUp, closeReason);
        for (PartRequest request : interrupted) {
            // A close by the node concerns all attempts if no response ever arrived, and else none.
            // Any other close concerns the oldest attempt.
            boolean oldest = request == interrupted.get(0);
            boolean concerned = closeReason == CloseReason.PEER_CLOSED ? !anyResponse : oldest;
            nodeClient.onInterrupted(
                    request, closeReason.toOutcome(mayHaveLeft(request), concerned));
        }
    }
}

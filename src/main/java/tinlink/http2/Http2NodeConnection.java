package tinlink.http2;

import tinlink.http2.pool.CallResult;
import tinlink.http2.pool.PooledConnection;
import tinlink.net.CloseReason;
import tinlink.net.Connection;
import tinlink.net.EventLoop;
import tinlink.net.RingBuffer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;

/** One connection to a data node over HTTP/2: the socket of an {@link Http2Connection}. */
final class Http2NodeConnection implements Connection.Listener, Http2Connection.StreamListener {
    private static final Logger LOG = Logger.getLogger("tinlink.http2");
    private final Http2NodeClient nodeClient;
    final PooledConnection pooled;
    private final Http2Connection http2;
    private Connection link;
    private EventLoop.Timer connectTimer;
    /** Runs while a frame or a header block has begun and has not come whole. */
    private EventLoop.Timer stallTimer;

    private boolean wasUp;
    private boolean anyResponse;
    private boolean protocolFailed;

    Http2NodeConnection(Http2NodeClient nodeClient, PooledConnection pooled, int maxResetIds) {
        this.nodeClient = nodeClient;
        this.pooled = pooled;
        http2 = new Http2Connection(bytes -> link.out().put(bytes), this, maxResetIds);
    }

    void attach(Connection link, EventLoop.Timer connectTimer) {
        this.link = link;
        this.connectTimer = connectTimer;
    }

    @Override
    public void connected() {
        nodeClient.cancelTimer(connectTimer);
        wasUp = true;
        http2.start();
        nodeClient.onConnected(this);
    }

    /** Its stream is opened; both go out with this turn's write. */
    void sendRequest(PartRequest request, long now) {
        request.nodeConnection = this;
        request.headerPosition = link.scheduleWrite();
        request.sentAt = now;
        request.stream = http2.sendRequest(
                request, request.headerFields(nodeClient.authority(), now), request.body());
        link.scheduleWrite();
        if (http2.isExhausted()) {
            nodeClient.retire(this);
        }
    }

    /** Given up, its outcome is known. */
    void cancel(PartRequest request, boolean notifyNode) {
        if (!notifyNode) {
            request.stream.abandoned =
                    true; // It may not be cancelled: it goes on there, and takes its place.
            return;
        }
        http2.cancel(request.stream);
        link.scheduleWrite();
        nodeClient.onStreamClosed(this);
    }

    /** Whether a byte of its header block was handed to the kernel, or may have been. */
    private boolean mayHaveLeft(PartRequest request) {
        return link.mayHaveLeft(request.headerPosition + 1);
    }

    void sendPing(long number) {
        http2.sendPing(number);
        link.scheduleWrite();
    }

    void close(CloseReason closeReason) {
        link.close(closeReason);
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
            link.scheduleWrite();
        } catch (Http2Exception e) {
            LOG.log(Level.FINE, "event=http2_broken node={0} code={1} why=\"{2}\"", new Object[] {
                nodeClient.authority(), e.code, e.getMessage()
            });
            nodeClient.counters().increment("http2_broken");
            // The goodbye leaves with this turn; nothing that comes after is looked at.
            protocolFailed = true;
            http2.sendGoAway(e.code);
            link.scheduleWrite();
            nodeClient.retire(this);
            nodeClient.runSoon(() -> link.close(CloseReason.PROTOCOL_ERROR));
        }
        if (!protocolFailed
                && !link.isClosed()
                && http2.isAtFrameBoundary() != (stallTimer == null)) {
            nodeClient.cancelTimer(stallTimer);
            stallTimer = http2.isAtFrameBoundary()
                    ? null
                    : nodeClient.startStallTimer(() -> link.close(CloseReason.PROTOCOL_ERROR));
        }
    }

    // ---- What came of streams. ----

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
        finish(
                stream,
                malformed
                        ? CallResult.MALFORMED
                        : notProcessed ? CallResult.REFUSED_STREAM : CallResult.RESET);
    }

    private void finish(Http2Stream stream, CallResult result) {
        PartRequest request = (PartRequest) stream.call;
        nodeClient.onStreamClosed(this);
        if (stream.abandoned) {
            return;
        }
        nodeClient.finish(
                request,
                result,
                result == CallResult.SATISFIED ? Http2Connection.bodyText(stream) : null);
    }

    @Override
    public void onGoAway(int lastStreamId, List<Http2Stream> above) {
        nodeClient.counters().increment("http2_goodbyes");
        nodeClient.retire(this);
        above.forEach(stream -> finish(stream, CallResult.ABOVE_GOODBYE));
    }

    @Override
    public void onPingAck(long number) {
        nodeClient.onPingAck(this, number);
    }

    @Override
    public void connectionClosed(CloseReason closeReason) {
        nodeClient.cancelTimer(connectTimer);
        nodeClient.cancelTimer(stallTimer);
        List<PartRequest> interrupted = new ArrayList<>();
        http2.openStreams().stream()
                .filter(stream -> !stream.abandoned)
                .forEach(stream -> interrupted.add((PartRequest) stream.call));
        interrupted.sort(Comparator.comparingLong(request -> request.sentAt));
        LOG.log(Level.FINE, "event=http2_ended node={0} how={1} open={2}", new Object[] {
            nodeClient.authority(), closeReason, interrupted.size()
        });
        nodeClient.onConnectionEnded(this, wasUp, closeReason);
        for (PartRequest request : interrupted) {
            boolean isConcerned = closeReason == CloseReason.PEER_CLOSED
                    ? !anyResponse
                    : request == interrupted.get(0);
            nodeClient.onInterrupted(
                    request, closeReason.toOutcome(mayHaveLeft(request), isConcerned));
        }
    }
}

package tinlink.http2;

import tinlink.http2.pool.PooledConnection;
import tinlink.http2.pool.CallResult;
import tinlink.net.Ending;
import tinlink.net.Link;
import tinlink.net.Loop;
import tinlink.net.Ring;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;

/** One connection to a data node over HTTP/2: the socket of an {@link Http2Connection}. */
final class Http2NodeConnection implements Link.Owner, Http2Connection.StreamListener {
    private static final Logger LOG = Logger.getLogger("tinlink.http2");
    private final Http2NodeClient nodeClient;
    final PooledConnection pooled;
    private final Http2Connection http2;
    private Link link;
    private Loop.Timer connectTimer;
    /** Runs while a frame or a header block has begun and has not come whole. */
    private Loop.Timer stallTimer;

    private boolean wasUp;
    private boolean anyResponse;
    private boolean protocolFailed;

    Http2NodeConnection(Http2NodeClient nodeClient, PooledConnection pooled, int maxResetIds) {
        this.nodeClient = nodeClient;
        this.pooled = pooled;
        http2 = new Http2Connection(bytes -> link.out().put(bytes), this, maxResetIds);
    }

    void attach(Link link, Loop.Timer connectTimer) {
        this.link = link;
        this.connectTimer = connectTimer;
    }

    @Override
    public void up() {
        nodeClient.cancelTimer(connectTimer);
        wasUp = true;
        http2.start();
        nodeClient.onConnected(this);
    }

    /** Its stream is opened; both go out with this turn's write. */
    void sendRequest(PartRequest request, long now) {
        request.nodeConnection = this;
        request.headerPosition = link.later();
        request.sentAt = now;
        request.stream = http2.sendRequest(request, request.headerFields(nodeClient.authority(), now), request.body());
        link.later();
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
        link.later();
        nodeClient.onStreamClosed(this);
    }

    /** Whether a byte of its header block was handed to the kernel, or may have been. */
    private boolean mayHaveLeft(PartRequest request) {
        return link.left(request.headerPosition + 1);
    }

    void sendPing(long number) {
        http2.sendPing(number);
        link.later();
    }

    void close(Ending how) {
        link.end(how);
    }

    @Override
    public void arrived(Ring in) {
        if (protocolFailed) {
            in.takeRun(in.size());
            return;
        }
        try {
            nodeClient.onBytes(this);
            http2.read(in);
            link.later();
        } catch (Http2Exception e) {
            LOG.log(Level.FINE, "event=http2_broken node={0} code={1} why=\"{2}\"", new Object[] {
                nodeClient.authority(), e.code, e.getMessage()
            });
            nodeClient.counters().add("http2_broken");
            // The goodbye leaves with this turn; nothing that comes after is looked at.
            protocolFailed = true;
            http2.sendGoAway(e.code);
            link.later();
            nodeClient.retire(this);
            nodeClient.runSoon(() -> link.end(Ending.BAD_INPUT));
        }
        if (!protocolFailed && !link.isOver() && http2.isAtFrameBoundary() != (stallTimer == null)) {
            nodeClient.cancelTimer(stallTimer);
            stallTimer = http2.isAtFrameBoundary() ? null : nodeClient.startStallTimer(() -> link.end(Ending.BAD_INPUT));
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
        finish(stream, malformed ? CallResult.MALFORMED : notProcessed ? CallResult.REFUSED_STREAM : CallResult.RESET);
    }

    private void finish(Http2Stream stream, CallResult result) {
        PartRequest request = (PartRequest) stream.call;
        nodeClient.onStreamClosed(this);
        if (stream.abandoned) {
            return;
        }
        nodeClient.finish(request, result, result == CallResult.SATISFIED ? Http2Connection.bodyText(stream) : null);
    }

    @Override
    public void onGoAway(int lastStreamId, List<Http2Stream> above) {
        nodeClient.counters().add("http2_goodbyes");
        nodeClient.retire(this);
        above.forEach(stream -> finish(stream, CallResult.ABOVE_GOODBYE));
    }

    @Override
    public void onPingAck(long number) {
        nodeClient.onPingAck(this, number);
    }

    @Override
    public void ended(Ending how) {
        nodeClient.cancelTimer(connectTimer);
        nodeClient.cancelTimer(stallTimer);
        List<PartRequest> interrupted = new ArrayList<>();
        http2.openStreams().stream()
                .filter(stream -> !stream.abandoned)
                .forEach(stream -> interrupted.add((PartRequest) stream.call));
        interrupted.sort(Comparator.comparingLong(request -> request.sentAt));
        LOG.log(Level.FINE, "event=http2_ended node={0} how={1} open={2}", new Object[] {
            nodeClient.authority(), how, interrupted.size()
        });
        nodeClient.onConnectionEnded(this, wasUp, how);
        for (PartRequest request : interrupted) {
            boolean isConcerned = how == Ending.PEER_CLOSED ? !anyResponse : request == interrupted.get(0);
            nodeClient.onInterrupted(request, how.outcome(mayHaveLeft(request), isConcerned));
        }
    }
}

package tinlink.http2;

import tinlink.decision.Outcome;
import tinlink.http2.pool.CallResult;
import tinlink.http2.pool.ConnectionPool;
import tinlink.http2.pool.PendingCall;
import tinlink.http2.pool.PooledConnection;
import tinlink.net.CloseReason;
import tinlink.net.Counters;
import tinlink.net.EventLoop;
import tinlink.net.Network;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;

/** The connections to one data node over HTTP/2: carries out the decisions of its {@link ConnectionPool}. */
public final class Http2NodeClient implements ConnectionPool.PoolHandler {
    private static final Logger LOG = Logger.getLogger("tinlink.http2");

    /** Whoever the calls come from. */
    public interface CallHandler {
        /** A descriptor for one more connection. */
        boolean mayOpenConnection();

        void connectionOpened();

        void connectionClosed();

        /** The one outcome of a call; its value where it is satisfied. */
        void callEnded(PartRequest request, Outcome outcome, String value);

        /** The node does not speak HTTP/2: by frames then. */
        void fallBackToFrames(PartRequest request);

        /** Pulls the decisions of this node at the end of the turn. */
        void decisionsPending(Http2NodeClient nodeClient);
    }

    private final EventLoop loop;
    private final Network network;
    private final CallHandler callHandler;
    private final Counters counters;
    private final ConnectionPool pool;
    private final ConnectionPool.Settings settings;
    private final Map<PooledConnection, Http2NodeConnection> connections = new HashMap<>();
    private InetSocketAddress address;

    public Http2NodeClient(
            EventLoop loop,
            Network network,
            CallHandler callHandler,
            Counters counters,
            ConnectionPool.Settings settings) {
        this.loop = loop;
        this.network = network;
        this.callHandler = callHandler;
        this.counters = counters;
        this.settings = settings;
        pool = new ConnectionPool(settings);
    }

    /**
     * Whether calls go this way now; a node that has shown that it speaks something else is asked
     * again later.
     */
    public boolean supportsHttp2() {
        pool.advanceClock(loop.nowUs());
        return pool.supportsHttp2();
    }

    public void send(PartRequest request, InetSocketAddress nodeAddress) {
        address = nodeAddress;
        touch();
        counters.increment("http2_calls");
        pool.submit(request);
    }

    /**
     * Its outcome is known.
     *
     * @param notifyNode the node should hear that it is given up
     */
    public void cancel(PartRequest request, boolean notifyNode) {
        touch();
        request.ended = true;
        if (request.isPending()) {
            pool.cancel(request);
        } else if (request.nodeConnection != null) {
            request.nodeConnection.cancel(request, notifyNode);
        }
    }

    /** It has moved or started anew: what is out is finished where it is. */
    public void nodeMoved() {
        touch();
        connections.keySet().forEach(pool::retire);
    }

    /** Nothing new may go there: what waits was never sent. */
    public void dropPending() {
        touch();
        pool.dropPending();
    }

    public void nodeRemoved() {
        touch();
        pool.nodeRemoved();
    }

    public boolean isIdle() {
        return connections.isEmpty() && pool.pending() == 0;
    }

    public int connectionCount() {
        return connections.size();
    }

    /** Closes what nothing is out on. */
    public void closeUnused() {
        for (Http2NodeConnection nodeConnection : List.copyOf(connections.values())) {
            if (nodeConnection.pooled.openStreams() == 0) {
                nodeConnection.close(CloseReason.RELEASED);
            }
        }
    }

    private void touch() {
        pool.advanceClock(loop.nowUs());
        callHandler.decisionsPending(this);
    }

    public void decide() {
        pool.advanceClock(loop.nowUs());
        while (pool.decide(this)) {
            // Each has been carried out.
        }
    }

    // ---- Decisions. ----

    @Override
    public void openConnection(PooledConnection pooled) {
        if (address == null || !callHandler.mayOpenConnection()) {
            pool.onConnectionEnded(pooled, false, CallResult.NEVER_LEFT);
            return;
        }
        Http2NodeConnection nodeConnection =
                new Http2NodeConnection(this, pooled, settings.maxPending());
        try {
            tinlink.net.Connection link = network.connect(address, nodeConnection);
            nodeConnection.attach(
                    link,
                    loop.schedule(
                            loop.nowUs() + settings.connectTimeoutUs(),
                            () -> link.close(CloseReason.CONNECT_TIMEOUT)));
            connections.put(pooled, nodeConnection);
            counters.increment("http2_connections");
            callHandler.connectionOpened();
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.WARNING, "event=http2_no_connection node=" + address, e);
            pool.onConnectionEnded(pooled, false, CallResult.NEVER_LEFT);
        }
    }

    @Override
    public void startCall(PendingCall call, PooledConnection pooled) {
        connections.get(pooled).sendRequest((PartRequest) call, loop.nowUs());
    }

    @Override
    public void endCall(PendingCall call, CallResult result) {
        finish((PartRequest) call, result, null);
    }

    @Override
    public void fallBackToFrames(PendingCall call) {
        counters.increment("http2_not_spoken");
        ((PartRequest) call).ended = true;
        callHandler.fallBackToFrames((PartRequest) call);
    }

    @Override
    public void sendPing(PooledConnection pooled, long number) {
        connections.get(pooled).sendPing(number);
    }

    @Override
    public void closeConnection(PooledConnection pooled, boolean silent) {
        connections.get(pooled).close(silent ? CloseReason.UNRESPONSIVE : CloseReason.IDLE_TIMEOUT);
    }

    @Override
    public void wakeAt(long at) {
        loop.schedule(at, this::touch);
    }

    // ---- What connections say. ----

    String authority() {
        return address.getHostString() + ":" + address.getPort();
    }

    Counters counters() {
        return counters;
    }

    void runSoon(Runnable task) {
        loop.execute(task);
    }

    void cancelTimer(EventLoop.Timer timer) {
        loop.cancel(timer);
    }

    EventLoop.Timer startStallTimer(Runnable task) {
        return loop.schedule(loop.nowUs() + settings.connectTimeoutUs(), task);
    }

    void onConnected(Http2NodeConnection nodeConnection) {
        touch();
        pool.onConnected(nodeConnection.pooled);
    }

    void onMaxStreams(Http2NodeConnection nodeConnection, long maxStreams) {
        touch();
        pool.onMaxStreams(nodeConnection.pooled, maxStreams);
    }

    void onBytes(Http2NodeConnection nodeConnection) {
        touch();
        pool.onBytes(nodeConnection.pooled);
    }

    void onPingAck(Http2NodeConnection nodeConnection, long number) {
        touch();
        pool.onPingAck(nodeConnection.pooled, number);
    }

    void retire(Http2NodeConnection nodeConnection) {
        touch();
        pool.retire(nodeConnection.pooled);
    }

    void onStreamClosed(Http2NodeConnection nodeConnection) {
        touch();
        pool.onStreamClosed(nodeConnection.pooled);
    }

    void finish(PartRequest request, CallResult result, String value) {
        counters.increment("http2_" + result.name().toLowerCase(Locale.ROOT));
        request.ended = true;
        callHandler.callEnded(request, result.outcome, value);
    }

    void onInterrupted(PartRequest request, Outcome outcome) {
        counters.increment("http2_lost");
        request.ended = true;
        callHandler.callEnded(request, outcome, null);
    }

    void onConnectionEnded(
            Http2NodeConnection nodeConnection, boolean wasUp, CloseReason closeReason) {
        touch();
        if (connections.remove(nodeConnection.pooled, nodeConnection)) {
            callHandler.connectionClosed();
        }
        pool.onConnectionEnded(
                nodeConnection.pooled,
                wasUp,
                closeReason == CloseReason.NO_DESCRIPTOR
                        ? CallResult.NEVER_LEFT
                        : CallResult.NO_CONNECTION);
    }
}

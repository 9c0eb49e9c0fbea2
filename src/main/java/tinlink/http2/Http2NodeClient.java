package tinlink.http2;

import tinlink.decision.Outcome;
import tinlink.http2.pool.CallResult;
import tinlink.http2.pool.ConnectionPool;
import tinlink.http2.pool.PendingCall;
import tinlink.http2.pool.PoolHandler;
import tinlink.http2.pool.PooledConnection;
import tinlink.net.CloseReason;
import tinlink.net.Connection;
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

/**
 * The connections to one data node over HTTP/2: carries out the decisions of its {@link ConnectionPool}.
 * Runs on the event loop's thread.
 */
public final class Http2NodeClient implements PoolHandler {
    private static final Logger LOG = Logger.getLogger("tinlink.http2");

    /** Whoever the calls come from. Called on the event loop's thread. */
    public interface CallHandler {
        /** Whether a descriptor is left for one more connection. */
        boolean mayOpenConnection();

        void connectionOpened();

        void connectionClosed();

        /** The one outcome of a call; its value where it is satisfied, else null. */
        void callEnded(PartRequest request, Outcome outcome, String value);

        /** The node does not speak HTTP/2: the call goes by frames instead. */
        void fallBackToFrames(PartRequest request);

        /** Calls {@link Http2NodeClient#decide} at the end of the turn. */
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
     * Whether calls go this way now; a node that has shown that it speaks something else is tried again
     * later.
     */
    public boolean supportsHttp2() {
        pool.advanceClock(loop.nowUs());
        return pool.supportsHttp2();
    }

    /** Submits the call; its outcome comes to the handler. */
    public void send(PartRequest request, InetSocketAddress nodeAddress) {
        address = nodeAddress;
        touch();
        counters.increment("http2_calls");
        pool.submit(request);
    }

    /**
     * Its outcome is known.
     *
     * @param notifyNode the node should hear that the call is given up
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

    /** The node is off the list: what is out is finished, nothing new goes there. */
    public void nodeRemoved() {
        touch();
        pool.onNodeRemoved();
    }

    /** It has no connection, and no call waits for one. */
    public boolean isIdle() {
        return connections.isEmpty() && pool.pendingCount() == 0;
    }

    /** Connections that are open or connecting. */
    public int connectionCount() {
        return connections.size();
    }

    /** Closes the connections that no call is out on. */
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

    /** Carries out all decisions that are due. */
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
            pool.onConnectionEnded(pooled, false, CallResult.NOT_SENT);
            return;
        }
        Http2NodeConnection nodeConnection =
                new Http2NodeConnection(this, pooled, settings.maxPending());
        try {
            Connection connection = network.connect(address, nodeConnection);
            nodeConnection.attach(
                    connection,
                    loop.schedule(
                            loop.nowUs() + settings.connectTimeoutUs(),
                            () -> connection.close(CloseReason.CONNECT_TIMEOUT)));
            connections.put(pooled, nodeConnection);
            counters.increment("http2_connections");
            callHandler.connectionOpened();
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.WARNING, "event=http2_connect_failed node=" + address, e);
            pool.onConnectionEnded(pooled, false, CallResult.NOT_SENT);
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
        counters.increment("http2_fallbacks");
        ((PartRequest) call).ended = true;
        callHandler.fallBackToFrames((PartRequest) call);
    }

    @Override
    public void sendPing(PooledConnection pooled, long number) {
        connections.get(pooled).sendPing(number);
    }

    @Override
    public void closeConnection(PooledConnection pooled, boolean unresponsive) {
        connections
                .get(pooled)
                .close(unresponsive ? CloseReason.UNRESPONSIVE : CloseReason.IDLE_TIMEOUT);
    }

    @Override
    public void wakeAt(long at) {
        loop.schedule(at, this::touch);
    }

    // ---- What happens to connections. ----

    String authority() {
        return address.getHostString() + ":" + address.getPort();
    }

    Counters counters() {
        return counters;
    }

    /** Runs it later in this turn or in the next. */
    void runSoon(Runnable task) {
        loop.execute(task);
    }

    void cancelTimer(EventLoop.Timer timer) {
        loop.cancel(timer);
    }

    /** Runs the task unless a message that has begun comes whole in time. */
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

    /** The end of a call while its connection stands, or before it had one. */
    void finish(PartRequest request, CallResult result, String value) {
        counters.increment("http2_" + result.name().toLowerCase(Locale.ROOT));
        request.ended = true;
        callHandler.callEnded(request, result.outcome, value);
    }

    /** The end of a call with its connection. */
    void onInterrupted(PartRequest request, Outcome outcome) {
        counters.increment("http2_interrupted");
        request.ended = true;
        callHandler.callEnded(request, outcome, null);
    }

    void onConnectionEnded(
            Http2NodeConnection nodeConnection, boolean wasUp, CloseReason closeReason) {
        touch();
        if (connections.remove(nodeConnection.pooled, nodeConnection)) {
            callHandler.connectionClosed();
        }
        CallResult result = closeReason == CloseReason.NO_DESCRIPTOR
                ? CallResult.NOT_SENT
                : CallResult.NO_CONNECTION;
        pool.onConnectionEnded(nodeConnection.pooled, wasUp, result);
    }
}

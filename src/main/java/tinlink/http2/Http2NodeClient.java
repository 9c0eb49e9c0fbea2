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
import tinlink.net.FrameTimeout;
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
 * The HTTP/2 connections to one data node. Carries out the decisions of the node's {@link ConnectionPool}.
 * Runs on the event loop's thread.
 */
public final class Http2NodeClient implements PoolHandler {
    private static final Logger LOG = Logger.getLogger("tinlink.http2");

    /** Receives the outcomes of attempts. Called on the event loop's thread. */
    public interface CallHandler {
        /** Whether a file descriptor is left for one more connection. */
        boolean mayOpenConnection();

        void connectionOpened();

        void connectionClosed();

        /** An attempt has ended; the value is null unless the attempt is satisfied. */
        void callEnded(PartRequest request, Outcome outcome, String value);

        /** The node does not speak HTTP/2; the caller sends the attempt over the frame protocol. */
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
    /** The address of the newest attempt, used for new connections; null before the first attempt. */
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
     * Whether attempts are sent over HTTP/2 now. A node that has shown that it does not speak HTTP/2 is tried
     * again later.
     */
    public boolean supportsHttp2() {
        pool.advanceClock(loop.nowUs());
        return pool.supportsHttp2();
    }

    /** Submits an attempt, whose outcome is passed to the handler. */
    public void send(PartRequest request, InetSocketAddress nodeAddress) {
        address = nodeAddress;
        touch();
        counters.increment("http2_calls");
        pool.submit(request);
    }

    /**
     * Ends an attempt whose outcome is known otherwise.
     *
     * @param notifyNode whether to cancel the attempt at the node
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

    /** The node has moved or was restarted; open streams finish on their connections. */
    public void nodeMoved() {
        touch();
        connections.keySet().forEach(pool::retire);
    }

    /** Ends all waiting attempts as not sent, because the node takes no new ones. */
    public void dropPending() {
        touch();
        pool.dropPending();
    }

    /** The node left the endpoint list: open streams finish, and the node gets no new attempts. */
    public void nodeRemoved() {
        touch();
        pool.onNodeRemoved();
    }

    /** Whether there is no connection and no attempt waits for one. */
    public boolean isIdle() {
        return connections.isEmpty() && pool.pendingCount() == 0;
    }

    /** The number of connections that are open or connecting. */
    public int connectionCount() {
        return connections.size();
    }

    /** Closes the connections without an open stream. */
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

    /** Carries out all due decisions of the pool. */
    public void decide() {
        pool.advanceClock(loop.nowUs());
        while (pool.decide(this)) {
            // decide() carries out one decision per call.
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

    // ---- Events of connections. ----

    String authority() {
        return address.getHostString() + ":" + address.getPort();
    }

    Counters counters() {
        return counters;
    }

    /** Runs the task later in this turn of the event loop or in the next. */
    void runSoon(Runnable task) {
        loop.execute(task);
    }

    void cancelTimer(EventLoop.Timer timer) {
        loop.cancel(timer);
    }

    /** Returns a timeout for the rest of a frame, which has to arrive within the connect timeout. */
    FrameTimeout newFrameTimeout(Runnable task) {
        return new FrameTimeout(loop, settings.connectTimeoutUs(), task);
    }

    /** Schedules the task for the time from which the rest of the request may not be sent. */
    void startSendTimer(PartRequest request, Runnable task) {
        loop.schedule(request.deadline, task);
    }

    long nowUs() {
        return loop.nowUs();
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

    /** Ends an attempt whose connection is open or that has no connection yet. */
    void finish(PartRequest request, CallResult result, String value) {
        counters.increment("http2_" + result.name().toLowerCase(Locale.ROOT));
        request.ended = true;
        callHandler.callEnded(request, result.outcome, value);
    }

    /** Ends an attempt whose connection has ended. */
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

package tinlink.http2.pool;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Decides about the connections to one node that offers HTTP/2: how many, which call goes on which, when one
 * is opened, retired, replaced or found dead, and whether the node speaks it at all.
 *
 * <p>Inputs only update what is known; {@link #decide} is pulled until it returns false. No I/O, no clock;
 * times are microseconds. Not thread-safe: all calls come from the owner's thread.
 */
public final class ConnectionPool {
    /**
     * The bounds of a pool; times in microseconds.
     *
     * @param maxConnections at a time
     * @param initialStreams that a connection which is coming up is taken to have capacity for
     * @param maxPending calls that wait at a time
     * @param maxWaitUs for how long one may wait for a stream where a connection is up
     * @param connectTimeoutUs a connection has to be up, and its first settings here, within it
     * @param idleTimeoutUs one without use is closed
     * @param pingIntervalUs one with calls out that is silent for so long is pinged, and closed after as long
     *     again
     * @param fallbackUs for how long a node is taken not to speak it
     */
    public record Settings(
            int maxConnections,
            int initialStreams,
            int maxPending,
            long maxWaitUs,
            long connectTimeoutUs,
            long idleTimeoutUs,
            long pingIntervalUs,
            long fallbackUs) {}

    private final Settings settings;
    /** Each leaves as it ends. */
    private final List<PooledConnection> connections = new ArrayList<>();
    /** Bounded; each leaves with a stream, or in time. */
    private final ArrayDeque<PendingCall> pending = new ArrayDeque<>();

    /** What inputs have made of calls; emptied by the decisions of the turn. */
    private final ArrayDeque<PendingCall> rejected = new ArrayDeque<>();

    private final ArrayDeque<PendingCall> unreachable = new ArrayDeque<>();
    private CallResult unreachableResult = CallResult.NO_CONNECTION;
    /** What the node allowed on its last connection; what is usual until it has said so. */
    private long expectedStreams;

    private long fallbackUntil = Long.MIN_VALUE;
    private long lastPing;
    private boolean nodeRemoved;
    private long now;
    /** The wake-up that has been asked for; {@link Long#MAX_VALUE} where none is. */
    private long wakeAt = Long.MAX_VALUE;

    public ConnectionPool(Settings settings) {
        this.settings = settings;
        expectedStreams = settings.initialStreams();
    }

    // ---- Inputs: calls and the node. ----

    /** Time has passed; comes before all other inputs. */
    public void advanceClock(long nowUs) {
        now = nowUs;
        wakeAt = now >= wakeAt ? Long.MAX_VALUE : wakeAt;
    }

    public void submit(PendingCall call) {
        if (pending.size() >= settings.maxPending()) {
            rejected.add(call);
        } else if (nodeRemoved) {
            unreachable.add(call);
        } else {
            call.streamDeadline = Math.min(call.deadline, now + settings.maxWaitUs());
            pending.add(call);
        }
    }

    /** Given up before it had a stream. */
    public void cancel(PendingCall call) {
        call.decided = true;
        pending.remove(call);
    }

    /** The node takes nothing new: what is pending was never sent. */
    public void dropPending() {
        endPending(CallResult.NOT_SENT);
    }

    /** The node is off the list: what is out is finished, nothing new goes there. */
    public void onNodeRemoved() {
        nodeRemoved = true;
        dropPending();
        connections.forEach(PooledConnection::retire);
    }

    private void endPending(CallResult result) {
        unreachableResult = result;
        unreachable.addAll(pending);
        pending.clear();
    }

    // ---- Inputs: connections. ----

    /** The connection is up; the node's settings are still to come. */
    public void onConnected(PooledConnection connection) {
        connection.onConnected(now);
    }

    /** The node allows so many streams on it; may be fewer than are open, and none. */
    public void onMaxStreams(PooledConnection connection, long maxStreams) {
        connection.onMaxStreams(maxStreams);
        expectedStreams = Math.max(1, Math.min(maxStreams, Integer.MAX_VALUE));
        fallbackUntil = Long.MIN_VALUE;
    }

    /** Something has come on it. */
    public void onBytes(PooledConnection connection) {
        connection.onBytes(now);
    }

    public void onPingAck(PooledConnection connection, long number) {
        connection.onPingAck(number);
    }

    /** A call on it has ended. */
    public void onStreamClosed(PooledConnection connection) {
        connection.onStreamClosed(now);
    }

    /** No new calls: its node said GOAWAY, has moved or started anew, or its ids are used up. */
    public void retire(PooledConnection connection) {
        connection.retire();
    }

    /**
     * It has ended. Danger: a node that takes connections and does not speak HTTP/2 would cost every call a
     * connect; one whose machine is merely away must not pass for such a node.
     *
     * @param wasUp it had come up
     * @param result of a call that has nowhere to go now
     */
    public void onConnectionEnded(PooledConnection connection, boolean wasUp, CallResult result) {
        connection.onClosed();
        connections.remove(connection);
        if (wasUp && !connection.settingsReceived()) {
            fallbackUntil = now + settings.fallbackUs();
        } else if (!wasUp && connections.isEmpty()) {
            endPending(result);
        }
    }

    // ---- State. ----

    /** False for a while after the node has shown that it speaks something else. */
    public boolean supportsHttp2() {
        return now >= fallbackUntil;
    }

    /** Calls that wait for a stream. */
    public int pendingCount() {
        return pending.size();
    }

    // ---- Decisions. ----

    /** Carries out one decision. @return false where there is none */
    public boolean decide(PoolHandler handler) {
        if (!rejected.isEmpty()) {
            end(rejected.poll(), CallResult.NO_CAPACITY, handler);
            return true;
        }
        if (!unreachable.isEmpty()) {
            end(unreachable.poll(), unreachableResult, handler);
            return true;
        }
        if (!supportsHttp2() && !pending.isEmpty()) {
            handler.fallBackToFrames(takePending());
            return true;
        }
        for (PooledConnection connection : connections) {
            if (maintain(connection, handler)) {
                return true;
            }
        }
        if (!pending.isEmpty() && (startNext(handler) || openIfNeeded(handler))) {
            return true;
        }
        return expirePending(handler) || askForWakeUp(handler);
    }

    private PendingCall takePending() {
        PendingCall call = pending.poll();
        call.decided = true;
        return call;
    }

    private static void end(PendingCall call, CallResult result, PoolHandler handler) {
        if (!call.decided) {
            call.decided = true;
            handler.endCall(call, result);
        }
    }

    private boolean maintain(PooledConnection connection, PoolHandler handler) {
        boolean isUnused = connection.isUnused(now);
        if (isUnused || connection.isUnresponsive(now)) {
            handler.closeConnection(connection, !isUnused);
            return true;
        }
        if (connection.isPingDue(now)) {
            connection.onPingSent(++lastPing, now);
            handler.sendPing(connection, lastPing);
            return true;
        }
        return false;
    }

    /** On the fullest connection that has capacity, so that the others fall idle and are closed. */
    private boolean startNext(PoolHandler handler) {
        PooledConnection fullest = null;
        for (PooledConnection connection : connections) {
            if (connection.hasCapacity()
                    && (fullest == null || connection.openStreams() > fullest.openStreams())) {
                fullest = connection;
            }
        }
        if (fullest == null) {
            return false;
        }
        PendingCall call = takePending();
        fullest.onStreamOpened(now);
        handler.startCall(call, fullest);
        return true;
    }

    /** One more, if those that are coming up would not have capacity for all that are pending. */
    private boolean openIfNeeded(PoolHandler handler) {
        // Danger: a node that allows no streams at all would be met with connection after
        // connection.
        boolean isRefused = connections.stream().anyMatch(PooledConnection::allowsNoStreams);
        if (nodeRemoved
                || expectedCapacity() >= pending.size()
                || activeConnections() >= settings.maxConnections()
                || isRefused) {
            return false;
        }
        PooledConnection connection = new PooledConnection(settings, now);
        connections.add(connection);
        handler.openConnection(connection);
        return true;
    }

    private long expectedCapacity() {
        long comingUp =
                connections.stream().filter(PooledConnection::isComingUp).count();
        return comingUp * Math.min(expectedStreams, settings.initialStreams());
    }

    private long activeConnections() {
        return connections.stream().filter(each -> !each.isRetiring()).count();
    }

    private boolean isAnyReady() {
        return connections.stream().anyMatch(PooledConnection::isReady);
    }

    private boolean expirePending(PoolHandler handler) {
        boolean isReady = isAnyReady();
        for (PendingCall call : pending) {
            if (now >= call.deadline || (isReady && now >= call.streamDeadline)) {
                pending.remove(call);
                end(call, CallResult.NO_CAPACITY, handler);
                return true;
            }
        }
        return false;
    }

    private boolean askForWakeUp(PoolHandler handler) {
        boolean isReady = isAnyReady();
        long dueAt = Long.MAX_VALUE;
        for (PendingCall call : pending) {
            dueAt = Math.min(dueAt, isReady ? call.streamDeadline : call.deadline);
        }
        for (PooledConnection connection : connections) {
            dueAt = Math.min(dueAt, connection.nextDueAt());
        }
        if (dueAt >= wakeAt) {
            return false;
        }
        wakeAt = dueAt;
        handler.wakeAt(dueAt);
        return true;
    }
}

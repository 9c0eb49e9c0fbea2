package tinlink.http2.pool;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Manages the connections to one node that offers HTTP/2: how many are open, which connection takes an
 * attempt, when a connection is opened, retired, replaced or considered dead, and whether the node speaks
 * HTTP/2 at all.
 *
 * <p>Inputs only update the state; the owner then calls {@link #decide} until it returns false. The pool does
 * no I/O and reads no clock. Times are microseconds. Not thread-safe: all calls come from the owner's thread.
 */
public final class ConnectionPool {
    /** How often a connection may be tried within {@link Settings#maxWaitUs()} while connects fail. */
    private static final int CONNECTS_PER_WAIT = 4;

    /**
     * The limits of a pool; times are microseconds.
     *
     * @param maxConnections the maximum number of connections that are not retiring
     * @param initialStreams the number of streams expected of a connection that is being established; a
     *     lower limit that the node sent on an earlier connection replaces the number
     * @param maxPending the maximum number of waiting attempts
     * @param maxWaitUs the time that an attempt may wait for a stream if a connection is ready
     * @param connectTimeoutUs the time within which a connection has to be established, and again the time
     *     within which the node's first settings have to arrive
     * @param idleTimeoutUs the time after which an unused connection is closed
     * @param pingIntervalUs the silence after which a connection with open streams is pinged; the connection
     *     is closed if the ping stays unanswered for the same time
     * @param fallbackUs the time for which a node is assumed not to speak HTTP/2
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
    /** All connections that have not ended. */
    private final List<PooledConnection> connections = new ArrayList<>();
    /** The waiting attempts, oldest first; at most {@link Settings#maxPending()}. */
    private final ArrayDeque<PendingCall> pending = new ArrayDeque<>();

    /** Attempts to end with {@link CallResult#NO_CAPACITY}; emptied by {@link #decide}. */
    private final ArrayDeque<PendingCall> rejected = new ArrayDeque<>();

    /** Attempts to end with {@link #unreachableResult}; emptied by {@link #decide}. */
    private final ArrayDeque<PendingCall> unreachable = new ArrayDeque<>();

    /** The result of all attempts in {@link #unreachable}. */
    private CallResult unreachableResult = CallResult.NO_CONNECTION;
    /** The last stream limit from the node, at least 1; {@link Settings#initialStreams()} before that. */
    private long expectedStreams;

    /** The time until which the node is assumed not to speak HTTP/2. */
    private long fallbackUntil = Long.MIN_VALUE;
    /** The time until which no further connection is opened, because the last connect failed. */
    private long connectAgainAt = Long.MIN_VALUE;
    /** The number of the last ping that was sent; unique over all connections of the pool. */
    private long lastPing;

    private boolean nodeRemoved;
    private long now;
    /** The time of the scheduled wake-up; {@link Long#MAX_VALUE} if there is none. */
    private long wakeAt = Long.MAX_VALUE;

    public ConnectionPool(Settings settings) {
        this.settings = settings;
        expectedStreams = settings.initialStreams();
    }

    // ---- Inputs: attempts and the node. ----

    /** Sets the current time; called before all other inputs. */
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

    /** Cancels an attempt that has no stream yet. */
    public void cancel(PendingCall call) {
        call.decided = true;
        pending.remove(call);
    }

    /** Ends all waiting attempts as not sent, because the node takes no new ones. */
    public void dropPending() {
        endPending(CallResult.NOT_SENT);
    }

    /** The node left the endpoint list: open streams finish, and the node gets no new attempts. */
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

    /** The connection is established; the node's settings have not arrived yet. */
    public void onConnected(PooledConnection connection) {
        connection.onConnected(now);
    }

    /** The node has sent its stream limit, which may be 0 or below the number of open streams. */
    public void onMaxStreams(PooledConnection connection, long maxStreams) {
        connection.onMaxStreams(maxStreams);
        expectedStreams = Math.max(1, Math.min(maxStreams, Integer.MAX_VALUE));
        fallbackUntil = Long.MIN_VALUE;
    }

    /** Bytes have arrived on the connection. */
    public void onBytes(PooledConnection connection) {
        connection.onBytes(now);
    }

    public void onPingAck(PooledConnection connection, long number) {
        connection.onPingAck(number);
    }

    /** A stream of the connection has ended. */
    public void onStreamClosed(PooledConnection connection) {
        connection.onStreamClosed(now);
    }

    /**
     * Stops new attempts on the connection: the node sent GOAWAY, has moved or was restarted, or all stream
     * ids are used.
     */
    public void retire(PooledConnection connection) {
        connection.retire();
    }

    /**
     * The connection has ended. A node that accepts connections but does not speak HTTP/2 would cost each
     * attempt a connect, so {@link #supportsHttp2} is false for a while. A node that merely can't be reached
     * must not be taken for such a node.
     *
     * <p>A connect that fails changes nothing about the attempts that wait for the other connections. Without
     * a delay the next decision would be to connect again, and {@link #decide} would never return false if
     * connects fail at once, as they do while the process has no file descriptor left.
     *
     * @param wasUp whether the connection had been established
     * @param result the result of waiting attempts if no connection is left that could take them
     */
    public void onConnectionEnded(PooledConnection connection, boolean wasUp, CallResult result) {
        connection.onClosed();
        connections.remove(connection);
        if (wasUp && !connection.settingsReceived()) {
            fallbackUntil = now + settings.fallbackUs();
        } else if (!wasUp) {
            connectAgainAt = now + Math.max(1, settings.maxWaitUs() / CONNECTS_PER_WAIT);
            if (!isAnyUsable()) {
                endPending(result);
            }
        }
    }

    // ---- State. ----

    /** False for {@link Settings#fallbackUs()} after the node has shown that it does not speak HTTP/2. */
    public boolean supportsHttp2() {
        return now >= fallbackUntil;
    }

    /** The number of attempts that wait for a stream. */
    public int pendingCount() {
        return pending.size();
    }

    // ---- Decisions. ----

    /** Carries out one decision. @return false if nothing is left to decide */
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
        boolean unused = connection.isUnused(now);
        if (unused || connection.isUnresponsive(now)) {
            handler.closeConnection(connection, !unused);
            return true;
        }
        if (connection.isPingDue(now)) {
            connection.onPingSent(++lastPing, now);
            handler.sendPing(connection, lastPing);
            return true;
        }
        return false;
    }

    /** Starts an attempt on the fullest connection with capacity, so that the others become idle. */
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

    /** Opens a connection if those being established lack capacity for all waiting attempts. */
    private boolean openIfNeeded(PoolHandler handler) {
        // Without this check a node that allows no streams would get one connection after another.
        boolean refused = connections.stream().anyMatch(PooledConnection::allowsNoStreams);
        if (nodeRemoved
                || expectedCapacity() >= pending.size()
                || activeConnections() >= settings.maxConnections()
                || isConnectDelayed()
                || refused) {
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
        return connections.stream()
                .filter(connection -> !connection.isRetiring())
                .count();
    }

    private boolean isAnyReady() {
        return connections.stream().anyMatch(PooledConnection::isReady);
    }

    /** Whether any connection takes attempts, now or once it is established. */
    private boolean isAnyUsable() {
        return connections.stream()
                .anyMatch(connection -> connection.isReady() || connection.isComingUp());
    }

    private boolean isConnectDelayed() {
        return now < connectAgainAt && isAnyUsable();
    }

    private boolean expirePending(PoolHandler handler) {
        boolean anyReady = isAnyReady();
        for (PendingCall call : pending) {
            if (now >= call.deadline || (anyReady && now >= call.streamDeadline)) {
                pending.remove(call);
                end(call, CallResult.NO_CAPACITY, handler);
                return true;
            }
        }
        return false;
    }

    private boolean askForWakeUp(PoolHandler handler) {
        boolean anyReady = isAnyReady();
        long dueAt = Long.MAX_VALUE;
        for (PendingCall call : pending) {
            dueAt = Math.min(dueAt, anyReady ? call.streamDeadline : call.deadline);
        }
        for (PooledConnection connection : connections) {
            dueAt = Math.min(dueAt, connection.nextDueAt());
        }
        if (!pending.isEmpty() && isConnectDelayed()) {
            dueAt = Math.min(dueAt, connectAgainAt);
        }
        if (dueAt >= wakeAt) {
            return false;
        }
        wakeAt = dueAt;
        handler.wakeAt(dueAt);
        return true;
    }
}

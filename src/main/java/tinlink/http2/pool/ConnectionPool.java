package tinlink.http2.pool;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * What is decided about the connections to one node that offers HTTP/2: how many, which call goes
 * on which, when one is opened, retired, replaced or found dead, and whether the node speaks it at
 * all. Inputs only update what is known; {@link #decide} is pulled until it says false. No I/O.
 * Times are microseconds.
 */
public final class ConnectionPool {
    /** What decisions are carried out with. */
    public interface PoolHandler {
        void openConnection(PooledConnection pooled);

        void startCall(PendingCall call, PooledConnection pooled);

        /** Never placed. */
        void endCall(PendingCall call, CallResult result);

        /** By the other protocol: the node does not speak this one. */
        void fallBackToFrames(PendingCall call);

        void sendPing(PooledConnection pooled, long number);

        /**
         * Closes a connection.
         *
         * @param silent it has answered nothing; else it is not needed any more, and nothing is out
         *     on it
         */
        void closeConnection(PooledConnection pooled, boolean silent);

        void wakeAt(long at);
    }

    /**
     * The bounds of a pool, times in microseconds.
     *
     * @param maxConnections at a time
     * @param initialStreams that a connection which is coming up is taken to have room for
     * @param maxPending calls that wait at a time
     * @param maxWaitUs for how long one may wait for a stream where a connection is up
     * @param connectTimeoutUs a connection has to be up, and its first settings here, within it
     * @param idleTimeoutUs one without use is closed
     * @param pingIntervalUs one with calls out that says nothing for so long is asked, and closed after as
     *     long again
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
    /** Bounded; each leaves with a place, or in time. */
    private final ArrayDeque<PendingCall> pending = new ArrayDeque<>();

    private final ArrayDeque<PendingCall> rejected = new ArrayDeque<>();
    private final ArrayDeque<PendingCall> unreachable = new ArrayDeque<>();
    private CallResult unreachableResult = CallResult.NO_CONNECTION;
    private long expectedStreams;
    private long fallbackUntil = Long.MIN_VALUE;
    private long lastPing;
    private boolean nodeRemoved;
    private long now;
    private long nextWakeAt = Long.MAX_VALUE;

    public ConnectionPool(Settings settings) {
        this.settings = settings;
        expectedStreams = settings.initialStreams();
    }

    // ---- Inputs. ----

    public void advanceClock(long nowUs) {
        now = nowUs;
        nextWakeAt = now >= nextWakeAt ? Long.MAX_VALUE : nextWakeAt;
    }

    public void submit(PendingCall call) {
        if (pending.size() >= settings.maxPending()) {
            rejected.add(call);
            return;
        }
        if (nodeRemoved) {
            unreachable.add(call);
            return;
        }
        call.streamDeadline = Math.min(call.deadline, now + settings.maxWaitUs());
        pending.add(call);
    }

    /** Given up before it had a place. */
    public void cancel(PendingCall call) {
        call.ended = true;
        pending.remove(call);
    }

    /** The connection is up; its settings are still to come. */
    public void onConnected(PooledConnection pooled) {
        if (pooled.state == PooledConnection.State.CONNECTING) {
            pooled.state = PooledConnection.State.UP;
            pooled.lastBytesAt = now;
            pooled.lastUsedAt = now;
            pooled.stateSince = now;
        }
    }

    /** The node allows so many streams on it; may be fewer than are open, and none. */
    public void onMaxStreams(PooledConnection pooled, long maxStreams) {
        pooled.maxStreams = maxStreams;
        pooled.settingsReceived = true;
        expectedStreams = Math.max(1, Math.min(maxStreams, Integer.MAX_VALUE));
        fallbackUntil = Long.MIN_VALUE;
    }

    public void onBytes(PooledConnection pooled) {
        pooled.lastBytesAt = now;
    }

    public void onPingAck(PooledConnection pooled, long number) {
        if (number == pooled.pendingPing) {
            pooled.pendingPing = 0;
        }
    }

    /** A call on it is over. */
    public void onStreamClosed(PooledConnection pooled) {
        pooled.openStreams--;
        pooled.lastUsedAt = now;
    }

    /** No new calls: its node says goodbye, has moved or started anew, or its ids are used up. */
    public void retire(PooledConnection pooled) {
        if (pooled.state != PooledConnection.State.CLOSED) {
            pooled.state = PooledConnection.State.RETIRING;
        }
    }

    /**
     * It has ended. Danger: a node that takes connections and does not speak HTTP/2 would cost
     * every call a connect; one whose machine is merely away must not pass for such a node.
     *
     * @param wasUp it had come up
     * @param result of a call that has nowhere to go now
     */
    public void onConnectionEnded(PooledConnection pooled, boolean wasUp, CallResult result) {
        pooled.state = PooledConnection.State.CLOSED;
        connections.remove(pooled);
        if (wasUp && !pooled.settingsReceived) {
            fallbackUntil = now + settings.fallbackUs();
        } else if (!wasUp && connections.isEmpty()) {
            unreachableResult = result;
            unreachable.addAll(pending);
            pending.clear();
        }
    }

    /** The node takes nothing new: what waits was never sent. */
    public void dropPending() {
        unreachableResult = CallResult.NEVER_LEFT;
        unreachable.addAll(pending);
        pending.clear();
    }

    /** The node is off the list: what is out is finished, nothing new goes there. */
    public void nodeRemoved() {
        nodeRemoved = true;
        dropPending();
        connections.forEach(this::retire);
    }

    public boolean supportsHttp2() {
        return now >= fallbackUntil;
    }

    public List<PooledConnection> connections() {
        return List.copyOf(connections);
    }

    public int pending() {
        return pending.size();
    }

    // ---- Decisions. ----

    public boolean decide(PoolHandler handler) {
        if (!rejected.isEmpty()) {
            endCall(handler, rejected.poll(), CallResult.FULL);
            return true;
        }
        if (!unreachable.isEmpty()) {
            endCall(handler, unreachable.poll(), unreachableResult);
            return true;
        }
        if (!supportsHttp2() && !pending.isEmpty()) {
            PendingCall call = pending.poll();
            call.ended = true;
            handler.fallBackToFrames(call);
            return true;
        }
        for (PooledConnection pooled : connections) {
            if (maintainConnection(pooled, handler)) {
                return true;
            }
        }
        if (!pending.isEmpty() && (startNextCall(handler) || openIfNeeded(handler))) {
            return true;
        }
        return expireOrWake(handler);
    }

    private static void endCall(PoolHandler handler, PendingCall call, CallResult result) {
        if (!call.ended) {
            call.ended = true;
            handler.endCall(call, result);
        }
    }

    private boolean maintainConnection(PooledConnection pooled, PoolHandler handler) {
        boolean handshakeTimedOut = pooled.state == PooledConnection.State.UP
                && !pooled.settingsReceived
                && now >= pooled.stateSince + settings.connectTimeoutUs();
        boolean isDead =
                pooled.pendingPing > 0 && now >= pooled.pingSentAt + settings.pingIntervalUs();
        boolean isUnused = pooled.openStreams == 0
                && (pooled.state == PooledConnection.State.RETIRING
                        || (pooled.state == PooledConnection.State.UP
                                && now >= pooled.lastUsedAt + settings.idleTimeoutUs()));
        if (handshakeTimedOut || isDead || isUnused) {
            handler.closeConnection(pooled, !isUnused);
            return true;
        }
        if (pooled.openStreams > 0
                && pooled.pendingPing == 0
                && now
                        >= Math.max(pooled.lastBytesAt, pooled.pingSentAt)
                                + settings.pingIntervalUs()) {
            pooled.pendingPing = ++lastPing;
            pooled.pingSentAt = now;
            handler.sendPing(pooled, pooled.pendingPing);
            return true;
        }
        return false;
    }

    /** The fullest connection that has room, so that the others fall idle and are closed. */
    private boolean startNextCall(PoolHandler handler) {
        PooledConnection best = null;
        for (PooledConnection pooled : connections) {
            if (pooled.hasCapacity()
                    && pooled.pendingPing == 0
                    && (best == null || pooled.openStreams > best.openStreams)) {
                best = pooled;
            }
        }
        if (best == null) {
            return false;
        }
        PendingCall call = pending.poll();
        call.ended = true;
        best.openStreams++;
        best.lastUsedAt = now;
        handler.startCall(call, best);
        return true;
    }

    /** One more, if those that are coming up would not have room for all that wait. */
    private boolean openIfNeeded(PoolHandler handler) {
        long expectedCapacity = 0;
        int activeConnections = 0;
        for (PooledConnection pooled : connections) {
            boolean isComingUp = pooled.state == PooledConnection.State.CONNECTING
                    || (pooled.state == PooledConnection.State.UP && !pooled.settingsReceived);
            expectedCapacity +=
                    isComingUp ? Math.min(expectedStreams, settings.initialStreams()) : 0;
            activeConnections += pooled.state == PooledConnection.State.RETIRING ? 0 : 1;
        }
        if (nodeRemoved
                || expectedCapacity >= pending.size()
                || activeConnections >= settings.maxConnections()) {
            return false;
        }
        // Danger: a node that allows no streams at all would be met with connection after
        // connection.
        boolean allowsNoStreams = connections.stream()
                .anyMatch(pooled -> pooled.settingsReceived
                        && pooled.maxStreams == 0
                        && pooled.state == PooledConnection.State.UP);
        if (allowsNoStreams) {
            return false;
        }
        PooledConnection pooled = new PooledConnection();
        pooled.lastUsedAt = now;
        pooled.stateSince = now;
        connections.add(pooled);
        handler.openConnection(pooled);
        return true;
    }

    private boolean expireOrWake(PoolHandler handler) {
        boolean hasConnection = connections.stream()
                .anyMatch(pooled ->
                        pooled.settingsReceived && pooled.state == PooledConnection.State.UP);
        for (PendingCall call : pending) {
            if (now >= call.deadline || (hasConnection && now >= call.streamDeadline)) {
                pending.remove(call);
                endCall(handler, call, CallResult.FULL);
                return true;
            }
        }
        long nextDueAt = Long.MAX_VALUE;
        for (PendingCall call : pending) {
            nextDueAt = Math.min(nextDueAt, hasConnection ? call.streamDeadline : call.deadline);
        }
        for (PooledConnection pooled : connections) {
            if (pooled.state == PooledConnection.State.UP && !pooled.settingsReceived) {
                nextDueAt = Math.min(nextDueAt, pooled.stateSince + settings.connectTimeoutUs());
            }
            if (pooled.pendingPing > 0) {
                nextDueAt = Math.min(nextDueAt, pooled.pingSentAt + settings.pingIntervalUs());
            } else if (pooled.openStreams > 0) {
                nextDueAt = Math.min(
                        nextDueAt,
                        Math.max(pooled.lastBytesAt, pooled.pingSentAt)
                                + settings.pingIntervalUs());
            } else if (pooled.state == PooledConnection.State.UP) {
                nextDueAt = Math.min(nextDueAt, pooled.lastUsedAt + settings.idleTimeoutUs());
            }
        }
        if (nextDueAt < nextWakeAt) {
            nextWakeAt = nextDueAt;
            handler.wakeAt(nextDueAt);
            return true;
        }
        return false;
    }
}

package tinlink.http2.pool;

/**
 * One connection to a node, as far as the pool knows it. State only; {@link ConnectionPool} decides. Times
 * are microseconds.
 */
public final class PooledConnection {
    enum State {
        CONNECTING,
        UP,
        /** No new calls; closed once those that are out have ended. */
        RETIRING,
        CLOSED
    }

    private final ConnectionPool.Settings settings;
    State state = State.CONNECTING;
    /** Streams that the node allows; known once its settings are here. */
    private long maxStreams;

    private boolean settingsReceived;
    private int openStreams;
    private long connectedAt;
    private long lastUsedAt;
    private long lastBytesAt;
    /** The ping that is out; 0 where none is. */
    private long pendingPing;

    private long pingSentAt;

    PooledConnection(ConnectionPool.Settings settings, long now) {
        this.settings = settings;
        lastUsedAt = now;
    }

    // ---- What happens to it. ----

    void onConnected(long now) {
        if (state == State.CONNECTING) {
            state = State.UP;
            lastBytesAt = now;
            lastUsedAt = now;
            connectedAt = now;
        }
    }

    void onMaxStreams(long streams) {
        maxStreams = streams;
        settingsReceived = true;
    }

    void onBytes(long now) {
        lastBytesAt = now;
    }

    void onPingSent(long ping, long now) {
        pendingPing = ping;
        pingSentAt = now;
    }

    void onPingAck(long ping) {
        if (ping == pendingPing) {
            pendingPing = 0;
        }
    }

    void onStreamOpened(long now) {
        openStreams++;
        lastUsedAt = now;
    }

    void onStreamClosed(long now) {
        openStreams--;
        lastUsedAt = now;
    }

    void retire() {
        if (state != State.CLOSED) {
            state = State.RETIRING;
        }
    }

    void onClosed() {
        state = State.CLOSED;
    }

    // ---- What can be said of it. ----

    /** Streams that are open on it. */
    public int openStreams() {
        return openStreams;
    }

    /** The ping that is out; 0 where none is. */
    long pendingPing() {
        return pendingPing;
    }

    boolean settingsReceived() {
        return settingsReceived;
    }

    boolean isRetiring() {
        return state == State.RETIRING;
    }

    /** It is up, and the node has shown that it speaks HTTP/2. */
    boolean isReady() {
        return state == State.UP && settingsReceived;
    }

    /** It is connecting, or its node's settings are still to come. */
    boolean isComingUp() {
        return state == State.CONNECTING || isAwaitingSettings();
    }

    private boolean isAwaitingSettings() {
        return state == State.UP && !settingsReceived;
    }

    boolean allowsNoStreams() {
        return isReady() && maxStreams == 0;
    }

    /**
     * It may take one more call. Danger: what is sent before the node has shown that it speaks HTTP/2 may run
     * there, or not, by any protocol.
     */
    boolean hasCapacity() {
        return isReady() && openStreams < maxStreams && pendingPing == 0;
    }

    // ---- What is due on it. ----

    private long settingsDueAt() {
        return connectedAt + settings.connectTimeoutUs();
    }

    private long pingAckDueAt() {
        return pingSentAt + settings.pingIntervalUs();
    }

    private long pingDueAt() {
        return Math.max(lastBytesAt, pingSentAt) + settings.pingIntervalUs();
    }

    private long idleAt() {
        return lastUsedAt + settings.idleTimeoutUs();
    }

    /** Its settings, or the answer to a ping, have not come in time. */
    boolean isUnresponsive(long now) {
        return (isAwaitingSettings() && now >= settingsDueAt())
                || (pendingPing > 0 && now >= pingAckDueAt());
    }

    /** No call is out on it, and none has been for long, or none may come. */
    boolean isUnused(long now) {
        return openStreams == 0
                && (state == State.RETIRING || (state == State.UP && now >= idleAt()));
    }

    boolean isPingDue(long now) {
        return openStreams > 0 && pendingPing == 0 && now >= pingDueAt();
    }

    /** When something falls due on it; {@link Long#MAX_VALUE} for never. */
    long nextDueAt() {
        long dueAt = isAwaitingSettings() ? settingsDueAt() : Long.MAX_VALUE;
        if (pendingPing > 0) {
            return Math.min(dueAt, pingAckDueAt());
        }
        if (openStreams > 0) {
            return Math.min(dueAt, pingDueAt());
        }
        return state == State.UP ? Math.min(dueAt, idleAt()) : dueAt;
    }
}

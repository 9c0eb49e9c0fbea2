package tinlink.http2.pool;

/**
 * The pool's view of one connection to a node. Holds state only; {@link ConnectionPool} decides. Times are
 * microseconds.
 */
public final class PooledConnection {
    enum State {
        CONNECTING,
        UP,
        /** Takes no new attempts; closed once its open streams have ended. */
        RETIRING,
        CLOSED
    }

    private final ConnectionPool.Settings settings;
    State state = State.CONNECTING;
    /** The number of streams that the node allows; valid once its settings are received. */
    private long maxStreams;

    private boolean settingsReceived;
    private int openStreams;
    private long connectedAt;
    private long lastUsedAt;
    private long lastBytesAt;
    /** The number of the ping whose answer has not arrived; 0 if there is none. */
    private long pendingPing;

    private long pingSentAt;

    PooledConnection(ConnectionPool.Settings settings, long now) {
        this.settings = settings;
        lastUsedAt = now;
    }

    // ---- Events. ----

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

    // ---- State. ----

    /** The number of open streams. */
    public int openStreams() {
        return openStreams;
    }

    /** The number of the unanswered ping; 0 if there is none. */
    long pendingPing() {
        return pendingPing;
    }

    boolean settingsReceived() {
        return settingsReceived;
    }

    boolean isRetiring() {
        return state == State.RETIRING;
    }

    /** Whether the connection is up and the node's settings have shown that it speaks HTTP/2. */
    boolean isReady() {
        return state == State.UP && settingsReceived;
    }

    /** Whether the connection is being established or still awaits the node's settings. */
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
     * Whether the connection may take one more attempt. No attempt is sent before the node has shown that it
     * speaks HTTP/2: a node of another protocol could read the bytes as anything, so it would be unknown
     * whether the attempt ran. A connection takes no attempt while a ping is unanswered.
     */
    boolean hasCapacity() {
        return isReady() && openStreams < maxStreams && pendingPing == 0;
    }

    // ---- Deadlines. ----

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

    /** Whether the node's settings or the answer to a ping are overdue. */
    boolean isUnresponsive(long now) {
        return (isAwaitingSettings() && now >= settingsDueAt())
                || (pendingPing > 0 && now >= pingAckDueAt());
    }

    /** Whether no stream is open, and the connection is retiring or has been idle for the idle timeout. */
    boolean isUnused(long now) {
        return openStreams == 0
                && (state == State.RETIRING || (state == State.UP && now >= idleAt()));
    }

    boolean isPingDue(long now) {
        return openStreams > 0 && pendingPing == 0 && now >= pingDueAt();
    }

    /** The time of the next deadline; {@link Long#MAX_VALUE} if there is none. */
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

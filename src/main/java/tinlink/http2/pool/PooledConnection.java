package tinlink.http2.pool;

/** One connection to a node, as far as the pool knows it, which keeps its state here. */
public final class PooledConnection {
    enum State {
        CONNECTING,
        UP,
        RETIRING,
        CLOSED
    }

    State state = State.CONNECTING;
    /** Streams that the node allows; what is usual there until it has said so. */
    long maxStreams;

    boolean settingsReceived;
    int openStreams;
    long stateSince;
    long lastUsedAt;
    long lastBytesAt;
    /** The ping that is out, and since when; 0 where none is. */
    long pendingPing;

    long pingSentAt;

    public int openStreams() {
        return openStreams;
    }

    /**
     * Danger: what is sent before the node has shown that it speaks HTTP/2 may run there, or not,
     * by any protocol.
     */
    boolean hasCapacity() {
        return state == State.UP && settingsReceived && openStreams < maxStreams;
    }
}

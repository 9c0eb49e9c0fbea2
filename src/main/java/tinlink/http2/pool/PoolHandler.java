package tinlink.http2.pool;

/**
 * Carries out the decisions of a {@link ConnectionPool}. Called from within
 * {@link ConnectionPool#decide}.
 */
public interface PoolHandler {
    void openConnection(PooledConnection connection);

    /** Opens a stream for the call on that connection. */
    void startCall(PendingCall call, PooledConnection connection);

    /** The end of a call that was never started. */
    void endCall(PendingCall call, CallResult result);

    /** Sends the call by the other protocol: the node does not speak this one. */
    void fallBackToFrames(PendingCall call);

    void sendPing(PooledConnection connection, long number);

    /**
     * Closes the connection; {@link ConnectionPool#onConnectionEnded} follows.
     *
     * @param unresponsive it has answered nothing; else it is not needed any more, and nothing is out on it
     */
    void closeConnection(PooledConnection connection, boolean unresponsive);

    /** Pulls decisions again at that time, in microseconds. */
    void wakeAt(long at);
}

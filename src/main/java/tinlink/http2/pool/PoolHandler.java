package tinlink.http2.pool;

/**
 * Carries out the decisions of a {@link ConnectionPool}. All methods are called from within
 * {@link ConnectionPool#decide}.
 */
public interface PoolHandler {
    /**
     * Starts to connect. If that fails at once, {@link ConnectionPool#onConnectionEnded} is called before
     * this method returns.
     */
    void openConnection(PooledConnection connection);

    /** Opens a stream for the attempt on the connection. */
    void startCall(PendingCall call, PooledConnection connection);

    /** Ends an attempt that was never started. */
    void endCall(PendingCall call, CallResult result);

    /** Sends the attempt over the frame protocol, because the node does not speak HTTP/2. */
    void fallBackToFrames(PendingCall call);

    void sendPing(PooledConnection connection, long number);

    /**
     * Closes the connection; {@link ConnectionPool#onConnectionEnded} follows.
     *
     * @param unresponsive whether the node failed to answer in time; otherwise the connection is unused and
     *     has no open stream
     */
    void closeConnection(PooledConnection connection, boolean unresponsive);

    /** Schedules the next call of {@link ConnectionPool#decide}, at the given time in microseconds. */
    void wakeAt(long at);
}

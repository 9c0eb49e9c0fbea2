package tinlink.http2.pool;

/** An attempt that waits for a stream. Holds state only; {@link ConnectionPool} decides. */
public class PendingCall {
    /**
     * The time until which the attempt may wait for a connection, a stream or the node's window,
     * microseconds.
     */
    public final long deadline;

    /** The time until which the attempt waits for a stream if a connection is ready, microseconds. */
    long streamDeadline;

    /** Whether the attempt was started, ended, cancelled or passed to the other protocol. */
    boolean decided;

    protected PendingCall(long deadline) {
        this.deadline = deadline;
    }
}

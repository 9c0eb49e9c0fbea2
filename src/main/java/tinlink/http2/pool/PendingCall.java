package tinlink.http2.pool;

/** A part call that no connection has taken yet. State only. */
public class PendingCall {
    /** Until when an answer counts, microseconds. */
    final long deadline;

    /** Until when it waits for a stream where a connection is up. */
    long streamDeadline;

    /** It was started, ended or cancelled. */
    boolean decided;

    protected PendingCall(long deadline) {
        this.deadline = deadline;
    }
}

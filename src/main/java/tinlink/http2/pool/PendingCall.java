package tinlink.http2.pool;

/** A part call that no connection has taken yet. Fields only. */
public class PendingCall {
    /** Until when an answer counts. */
    final long deadline;

    long streamDeadline;
    boolean ended;

    protected PendingCall(long deadline) {
        this.deadline = deadline;
    }
}

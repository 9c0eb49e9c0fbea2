package tinlink.decision;

/** How an attempt or a health check ended. */
public enum Outcome {
    /** The data node answered the part. */
    SATISFIED(false),
    /** The data node failed at the part. */
    ERROR(false),
    /** The data node had no capacity for the part. */
    REJECTED(true),
    /** No answer came within the attempt's time limit. */
    NO_ANSWER(false),
    /** No connection could be opened. */
    NO_CONNECTION(true),
    /** The connection was lost while the attempt was in flight on it. */
    CONNECTION_LOST(false),
    /** The attempt was cancelled; the part may have run. */
    CANCELLED(false),
    /** The attempt was cancelled before it was sent. */
    NOT_SENT(true);

    /** Whether it is certain that the attempt has not run the part, and will not. */
    public final boolean neverRan;

    Outcome(boolean neverRan) {
        this.neverRan = neverRan;
    }
}

package tinlink.decision;

/** How an attempt or a health check ended. */
public enum Outcome {
    /** The part was answered. */
    SATISFIED(false),
    /** The data node failed at it. */
    ERROR(false),
    /** The data node had no capacity for it. */
    REJECTED(true),
    /** Nothing came within the limit of the attempt. */
    NO_ANSWER(false),
    /** No connection came up. */
    NO_CONNECTION(true),
    /** The connection was lost with the attempt on it. */
    CONNECTION_LOST(false),
    /** It was given up; it may have run. */
    CANCELLED(false),
    /** It was given up before it left. */
    NOT_SENT(true);

    /** Proof that the part did not run by this attempt and will not. */
    public final boolean neverRan;

    Outcome(boolean neverRan) {
        this.neverRan = neverRan;
    }
}

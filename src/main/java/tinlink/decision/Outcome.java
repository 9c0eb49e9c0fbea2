package tinlink.decision;

/** How a part call or a probe ended. */
public enum Outcome {
    SATISFIED(false),
    ERROR(false),
    REJECTED(true),
    NO_ANSWER(false),
    NO_CONNECTION(true),
    CONNECTION_LOST(false),
    CANCELLED(false),
    NOT_SENT(true);

    /** Proof that the part did not run and will not. */
    public final boolean neverRan;

    Outcome(boolean neverRan) {
        this.neverRan = neverRan;
    }
}

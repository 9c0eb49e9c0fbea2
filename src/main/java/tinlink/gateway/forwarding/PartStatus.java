package tinlink.gateway.forwarding;

import tinlink.decision.Outcome;

/**
 * All that can be known of a forwarded part, and what each means for its part call: the one place
 * that says so.
 */
public enum PartStatus {
    /** It has not left this router. */
    NEVER_LEFT(Outcome.NOT_SENT),
    /** The far router has not begun it and never will. */
    NEVER_BEGUN(Outcome.NOT_SENT),
    /**
     * The far router turned it away, or its own module did before any part call that may have run.
     */
    REFUSED(Outcome.REJECTED),
    /** It runs there; no end. */
    RUNNING(null),
    /** It has run there, and its value is here. */
    DONE(Outcome.SATISFIED),
    /** A data node there failed it; it may have run. */
    FAILED(Outcome.ERROR),
    /** Nothing came in time; it may have run, or may yet. */
    NO_ANSWER(Outcome.NO_ANSWER),
    /**
     * It left, and nobody can tell any more. Danger: taken for a lost connection, one cut of a line
     * would pass for the death of every node behind it, and the module would let lookups go one
     * part at a time.
     */
    MAY_HAVE_RUN(Outcome.CANCELLED);

    /** Null for one that is no end. */
    public final Outcome outcome;

    PartStatus(Outcome outcome) {
        this.outcome = outcome;
    }
}

package tinlink.gateway.forwarding;

import tinlink.decision.Outcome;

/**
 * All that can be known of a forwarded part, and what each means for its attempt: the one place that says so.
 * Constants stand in the order of their codes.
 */
public enum PartStatus {
    /** It has not left this router. */
    NOT_SENT(0, Outcome.NOT_SENT),
    /** The remote router has not started it and never will. */
    NOT_STARTED(1, Outcome.NOT_SENT),
    /**
     * The remote router rejected it, or its own decisions did before any attempt that may have run.
     */
    REJECTED(2, Outcome.REJECTED),
    /** It runs there; no end. */
    RUNNING(3, null),
    /** It has run there, and its value is here. */
    COMPLETED(4, Outcome.SATISFIED),
    /** A data node there failed it; it may have run. */
    FAILED(5, Outcome.ERROR),
    /** Nothing came in time; it may have run, or may yet. */
    NO_ANSWER(6, Outcome.NO_ANSWER),
    /**
     * It left, and nobody can tell any more. Danger: taken for a lost connection, one cut of a link would
     * pass for the death of every node behind it, and the decisions would let lookups go one part at a time.
     */
    MAY_HAVE_RUN(7, Outcome.CANCELLED);

    private static final PartStatus[] BY_CODE = values();
    /** How the protocol between routers numbers it. */
    public final int code;
    /** Null for one that is no end. */
    public final Outcome outcome;

    PartStatus(int code, Outcome outcome) {
        this.code = code;
        this.outcome = outcome;
    }

    /** The status of that code; null where there is none. */
    public static PartStatus ofCode(int code) {
        return code < 0 || code >= BY_CODE.length ? null : BY_CODE[code];
    }
}

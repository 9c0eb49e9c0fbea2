package tinlink.gateway.forwarding;

import tinlink.decision.Outcome;

/**
 * The status of a forwarded part and the outcome that each status gives to the part's attempt. The constants
 * are in the order of their codes.
 */
public enum PartStatus {
    /** The part was not sent by the forwarding router. */
    NOT_SENT(0, Outcome.NOT_SENT),
    /** The remote router has not started the part and never will. */
    NOT_STARTED(1, Outcome.NOT_SENT),
    /**
     * The remote router rejected the part, on arrival or before it made any attempt that may have run.
     */
    REJECTED(2, Outcome.REJECTED),
    /** The part is running on the remote router. */
    RUNNING(3, null),
    /** The part has run on the remote router, and its value is available. */
    COMPLETED(4, Outcome.SATISFIED),
    /** A data node of the remote site failed to execute the part; the part may have run. */
    FAILED(5, Outcome.ERROR),
    /** No answer came in time; the part may have run or may still run. */
    NO_ANSWER(6, Outcome.NO_ANSWER),
    /**
     * The part was sent, and whether it ran can no longer be found out. The outcome is not that of a lost
     * connection: else one cut of a link would count as the failure of every data node behind the link, and
     * the router would abandon lookups one part at a time.
     */
    MAY_HAVE_RUN(7, Outcome.CANCELLED);

    private static final PartStatus[] BY_CODE = values();
    /** The code of the status in the protocol between routers. */
    public final int code;
    /** The outcome of the part's attempt; null while the part is running. */
    public final Outcome outcome;

    PartStatus(int code, Outcome outcome) {
        this.code = code;
        this.outcome = outcome;
    }

    /** The status with the given code; null if the code is unknown. */
    public static PartStatus ofCode(int code) {
        return code < 0 || code >= BY_CODE.length ? null : BY_CODE[code];
    }
}

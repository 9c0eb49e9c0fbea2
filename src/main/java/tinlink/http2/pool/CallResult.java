package tinlink.http2.pool;

import tinlink.decision.Outcome;

/**
 * All ways in which a part call over HTTP/2 can end while its connection stands, and what each means: the one
 * place that answers whether it may have run. Never: only where the node has said so in the protocol's words,
 * or no byte of it has left. What the end of a connection means stands in {@link tinlink.net.CloseReason}.
 */
public enum CallResult {
    /** No connection could be opened for it: no descriptor is left. */
    NOT_SENT(Outcome.NOT_SENT),
    /** Its stream lies above the last one that a GOAWAY names (RFC 9113, 6.8). */
    ABOVE_GOAWAY(Outcome.NOT_SENT),
    /** RST_STREAM with REFUSED_STREAM (RFC 9113, 8.7). */
    REFUSED_STREAM(Outcome.REJECTED),
    /**
     * No connection took it in the time that it may wait: the node's streams are all in use, or it allows
     * none.
     */
    NO_CAPACITY(Outcome.REJECTED),
    /** No connection came up. */
    NO_CONNECTION(Outcome.NO_CONNECTION),
    /** Answered in order with a value. */
    SATISFIED(Outcome.SATISFIED),
    /** Answered in order: rejected, with a status that promises that it did not run. */
    REJECTED(Outcome.REJECTED),
    /** Answered in order with any other status. */
    FAILED(Outcome.ERROR),
    /** Any other RST_STREAM: it may have run. */
    RESET(Outcome.ERROR),
    /** Its answer did not fit the protocol. */
    MALFORMED(Outcome.ERROR);

    public final Outcome outcome;

    CallResult(Outcome outcome) {
        this.outcome = outcome;
    }
}

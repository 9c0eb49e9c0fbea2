package tinlink.http2.pool;

import tinlink.decision.Outcome;

/**
 * The ways in which an attempt over HTTP/2 can end before it has a connection or while its connection is
 * open, each with its outcome. This is the only place that decides whether such an attempt may have run. An
 * attempt counts as not run only if the node has said so by means of the protocol, or if no byte of the
 * attempt was sent. The outcome of an attempt whose connection ends is defined in
 * {@link tinlink.net.CloseReason}.
 */
public enum CallResult {
    /**
     * The client sent nothing: the process has no file descriptor left, the connect call failed, or the node
     * takes no new attempts.
     */
    NOT_SENT(Outcome.NOT_SENT),
    /** The stream id is above the last stream id of a GOAWAY (RFC 9113, 6.8). */
    ABOVE_GOAWAY(Outcome.NOT_SENT),
    /** The node sent RST_STREAM with REFUSED_STREAM (RFC 9113, 8.7). */
    REFUSED_STREAM(Outcome.REJECTED),
    /**
     * No stream became available within the time that the attempt may wait: all streams of the node are in
     * use, the node allows none, or no connection became ready. Also if too many attempts wait already.
     */
    NO_CAPACITY(Outcome.REJECTED),
    /**
     * The rest of the request was not sent in time, since the node's window was closed; the node may have
     * acted on what it received.
     */
    WITHDRAWN(Outcome.CANCELLED),
    /** No connection could be established. */
    NO_CONNECTION(Outcome.NO_CONNECTION),
    /** The node sent a valid response with a value. */
    SATISFIED(Outcome.SATISFIED),
    /** The node sent a valid response that rejects the attempt, which promises that it did not run. */
    REJECTED(Outcome.REJECTED),
    /** The node sent a valid response that states an error or has any other status. */
    FAILED(Outcome.ERROR),
    /** The node sent any other RST_STREAM; the attempt may have run. */
    RESET(Outcome.ERROR),
    /** The response violates the protocol. */
    MALFORMED(Outcome.ERROR);

    public final Outcome outcome;

    CallResult(Outcome outcome) {
        this.outcome = outcome;
    }
}

package tinlink.net;

import tinlink.decision.Outcome;

/**
 * Why a connection was closed, and what each reason means for an attempt that was in flight on it.
 */
public enum CloseReason {
    /** The connection attempt was refused or failed. */
    CONNECT_REFUSED,
    /** The connection was not established within the connect timeout. */
    CONNECT_TIMEOUT,
    /** The process had no file descriptor left for the connection. */
    NO_DESCRIPTOR,
    /** The other side closed the connection in an orderly way. */
    PEER_CLOSED,
    /** A read failed: the other side or the network broke the connection. */
    READ_FAILED,
    /** A write failed. */
    WRITE_FAILED,
    /** The other side sent bytes that violate the protocol. */
    PROTOCOL_ERROR,
    /** The data node reported that it could not use a frame that the router sent. */
    FRAME_REJECTED,
    /** The router closed the connection because it was idle. */
    IDLE_TIMEOUT,
    /** The router closed the connection because the decision module asked for a new one. */
    RELEASED,
    /** The router closed the connection because requests sent on it went unanswered. */
    UNRESPONSIVE,
    /** The router closed the connection because the other side is no longer listed or has moved. */
    ENDPOINT_REMOVED,
    /**
     * The router closed the connection after the last answer, or because the router is stopping.
     */
    COMPLETED,
    /** The router closed the connection after an internal error. */
    INTERNAL_ERROR;

    /**
     * Returns the outcome of an attempt that was in flight on the closed connection.
     *
     * <p>An attempt that is wrongly reported as not run may be repeated and take effect twice, so
     * an attempt whose frame may have left is not reported as not sent. Attempts that only shared
     * the connection must not count as failures either: otherwise a data node that lost one answer,
     * or closed a connection between two requests, would look as if it were failing.
     *
     * @param mayHaveLeft whether the last byte of the attempt's frame was handed to the kernel, or
     *     may have been
     * @param concernsAttempt whether the close refers to this attempt, rather than to another one on
     *     the same connection
     */
    public Outcome toOutcome(boolean mayHaveLeft, boolean concernsAttempt) {
        Outcome sharedConnectionOutcome = mayHaveLeft ? Outcome.CANCELLED : Outcome.NOT_SENT;
        return switch (this) {
            case NO_DESCRIPTOR -> Outcome.NOT_SENT;
            case CONNECT_REFUSED, CONNECT_TIMEOUT -> Outcome.NO_CONNECTION;
            case READ_FAILED, WRITE_FAILED ->
                mayHaveLeft ? Outcome.CONNECTION_LOST : Outcome.NO_CONNECTION;
            case PEER_CLOSED ->
                !concernsAttempt
                        ? sharedConnectionOutcome
                        : mayHaveLeft ? Outcome.CONNECTION_LOST : Outcome.NO_CONNECTION;
            case PROTOCOL_ERROR, FRAME_REJECTED ->
                mayHaveLeft && concernsAttempt ? Outcome.ERROR : sharedConnectionOutcome;
            case IDLE_TIMEOUT,
                    RELEASED,
                    UNRESPONSIVE,
                    ENDPOINT_REMOVED,
                    COMPLETED,
                    INTERNAL_ERROR -> mayHaveLeft ? Outcome.CONNECTION_LOST : Outcome.NOT_SENT;
        };
    }
}

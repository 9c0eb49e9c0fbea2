package tinlink.net;

import tinlink.decision.Outcome;

/**
 * Why a connection was closed, and what each reason means for an attempt that was in flight on it.
 */
public enum CloseReason {
    /** The connect was refused or failed. */
    CONNECT_REFUSED,
    /** The connect did not come up in time. */
    CONNECT_TIMEOUT,
    /** No descriptor was left for it. */
    NO_DESCRIPTOR,
    /** The other side closed it in order. */
    PEER_CLOSED,
    /** The other side or the network broke it; a read failed. */
    READ_FAILED,
    /** A write failed. */
    WRITE_FAILED,
    /** What came in is not of the protocol. */
    PROTOCOL_ERROR,
    /** The data node could not use a frame of ours and said so. */
    FRAME_REJECTED,
    /** We closed it: it stood idle. */
    IDLE_TIMEOUT,
    /** We closed it: the module asked for a new one. */
    RELEASED,
    /** We closed it: what was sent on it went unanswered. */
    UNRESPONSIVE,
    /** We closed it: the other side is no longer listed, or has moved. */
    ENDPOINT_REMOVED,
    /** We closed it after the last answer, or as the router stops. */
    COMPLETED,
    /** An internal error. */
    INTERNAL_ERROR;

    /**
     * Danger: an attempt taken for one that never ran may have its effect twice. And calls that
     * only shared the connection, taken for calls that failed, make a node look dying that has lost
     * one answer, or has closed a connection between two.
     *
     * @param mayHaveLeft the last byte of its frame was handed to the kernel, or may have been
     * @param concernsCall it is this call that the close speaks of, not one that only shared the
     *     connection
     */
    public Outcome toOutcome(boolean mayHaveLeft, boolean concernsCall) {
        Outcome bystanderOutcome = mayHaveLeft ? Outcome.CANCELLED : Outcome.NOT_SENT;
        return switch (this) {
            case NO_DESCRIPTOR -> Outcome.NOT_SENT;
            case CONNECT_REFUSED, CONNECT_TIMEOUT -> Outcome.NO_CONNECTION;
            case READ_FAILED, WRITE_FAILED ->
                mayHaveLeft ? Outcome.CONNECTION_LOST : Outcome.NO_CONNECTION;
            case PEER_CLOSED ->
                !concernsCall
                        ? bystanderOutcome
                        : mayHaveLeft ? Outcome.CONNECTION_LOST : Outcome.NO_CONNECTION;
            case PROTOCOL_ERROR, FRAME_REJECTED ->
                mayHaveLeft && concernsCall ? Outcome.ERROR : bystanderOutcome;
            case IDLE_TIMEOUT,
                    RELEASED,
                    UNRESPONSIVE,
                    ENDPOINT_REMOVED,
                    COMPLETED,
                    INTERNAL_ERROR -> mayHaveLeft ? Outcome.CONNECTION_LOST : Outcome.NOT_SENT;
        };
    }
}

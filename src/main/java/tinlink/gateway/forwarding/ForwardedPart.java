package tinlink.gateway.forwarding;

/** The forwarding router's state of a part that it forwards to another site. */
public class ForwardedPart {
    enum State {
        /** The part waits for a credit of the remote router. */
        QUEUED,
        /** The part was sent on its channel. */
        IN_FLIGHT,
        /** The part's channel was cut, and the remote router has not reported the part's status yet. */
        UNRESOLVED,
        ENDED
    }

    /** The time until which an answer is accepted, in microseconds. */
    public final long deadline;

    public final int cell;
    /** Whether the part may safely run twice. */
    public final boolean idempotent;

    State state = State.QUEUED;
    GatewayChannel channel;
    /** The number of the part on its channel; numbers increase. */
    long number;

    long queueDeadline;
    /** When the part's channel was first cut while the part was in flight; 0 if it was not. */
    long unresolvedSince;

    boolean routerRestarted;

    protected ForwardedPart(long deadline, int cell, boolean idempotent) {
        this.deadline = deadline;
        this.cell = cell;
        this.idempotent = idempotent;
    }

    /** Whether the part still waits for a credit and has not been sent on any channel. */
    public boolean isQueued() {
        return state == State.QUEUED;
    }

    /** Whether the part's channel was cut in flight, so that the part's status had to be queried. */
    public boolean wasUnresolved() {
        return unresolvedSince > 0;
    }

    /** Whether the remote router has restarted since the part was sent to it. */
    public boolean routerRestarted() {
        return routerRestarted;
    }

    public long number() {
        return number;
    }

    /** The channel on which the part was sent; null while the part is queued. */
    public GatewayChannel channel() {
        return channel;
    }
}

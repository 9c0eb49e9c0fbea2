package tinlink.gateway.forwarding;

/** A part on its way to another site, as the router that forwards it knows it. State only. */
public class ForwardedPart {
    enum State {
        /** It waits for a credit of the remote router's. */
        QUEUED,
        /** It was sent on its channel. */
        IN_FLIGHT,
        /** Its channel was cut; the remote router has not reported yet what became of it. */
        UNRESOLVED,
        ENDED
    }

    /** Until when an answer counts here, microseconds. */
    public final long deadline;

    public final int cell;
    /** A second run does no harm. */
    public final boolean idempotent;

    State state = State.QUEUED;
    GatewayChannel channel;
    /** Its number on its channel; they only rise. */
    long number;

    long queueDeadline;
    /** When its channel was first cut; 0 where it has not been. */
    long unresolvedSince;

    boolean routerRestarted;

    protected ForwardedPart(long deadline, int cell, boolean idempotent) {
        this.deadline = deadline;
        this.cell = cell;
        this.idempotent = idempotent;
    }

    /** It has not been sent on any channel. */
    public boolean isQueued() {
        return state == State.QUEUED;
    }

    /** Its channel was cut while it was in flight, and nobody could tell at once whether it ran. */
    public boolean wasUnresolved() {
        return unresolvedSince > 0;
    }

    /** The router that it was sent to has started anew since. */
    public boolean routerRestarted() {
        return routerRestarted;
    }

    public long number() {
        return number;
    }

    /** Null while it is queued. */
    public GatewayChannel channel() {
        return channel;
    }
}

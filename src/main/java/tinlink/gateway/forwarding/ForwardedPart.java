package tinlink.gateway.forwarding;

/**
 * A part on its way to another site, as the near router knows it. Fields only; the deciding class keeps its
 * state here.
 */
public class ForwardedPart {
    enum State {
        /** For a credit of the far router's. */
        QUEUED,
        /** On its line. */
        IN_FLIGHT,
        /** Its line was cut; the far router has not said yet what became of it. */
        UNRESOLVED,
        ENDED
    }

    /** Until when an answer counts here. */
    public final long deadline;

    public final int cell;
    /** A second run does no harm. */
    public final boolean idempotent;

    State state = State.QUEUED;
    GatewayChannel channel;
    /** Its number on its lane; they only rise. */
    long number;

    long queueDeadline;
    long unresolvedSince;
    boolean routerRestarted;

    protected ForwardedPart(long deadline, int cell, boolean idempotent) {
        this.deadline = deadline;
        this.cell = cell;
        this.idempotent = idempotent;
    }

    /** It has not been handed to a line. */
    public boolean isQueued() {
        return state == State.QUEUED;
    }

    /** Its line was cut while it was out, and nobody could tell at once whether it ran. */
    public boolean wasUnresolved() {
        return unresolvedSince > 0;
    }

    /** The router that it went to has started anew since. */
    public boolean routerRestarted() {
        return routerRestarted;
    }

    public long number() {
        return number;
    }

    public GatewayChannel channel() {
        return channel;
    }
}

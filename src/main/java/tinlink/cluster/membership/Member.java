package tinlink.cluster.membership;

import java.util.LinkedHashSet;
import java.util.Set;

/** This router's view of another router; changes on the event loop's thread. */
public final class Member {
    Incarnation incarnation;
    long refutationCount;
    MemberState state;
    String address;
    /** When the member entered its state, in microseconds of this router's clock. */
    long stateSinceUs;
    /**
     * Routers that suspect the member, at most {@link SuspicionTimers#MAX_CONFIRMATIONS} besides the first.
     * Emptied once the member is found alive or its state changes.
     */
    final Set<String> suspectedBy = new LinkedHashSet<>();
    /**
     * The latest other process found with the same start count; null for none. The handler is notified when
     * the value changes.
     */
    Incarnation duplicate;

    Member(
            Incarnation incarnation,
            long refutationCount,
            MemberState state,
            String address,
            long stateSinceUs) {
        this.incarnation = incarnation;
        this.refutationCount = refutationCount;
        this.state = state;
        this.address = address;
        this.stateSinceUs = stateSinceUs;
    }

    /** Returns the newest known incarnation of the router. */
    public Incarnation incarnation() {
        return incarnation;
    }

    /** Returns the router's name. */
    public String router() {
        return incarnation.router();
    }

    /** Returns the state of the newest known incarnation. */
    public MemberState state() {
        return state;
    }

    /** Returns how often the incarnation has refuted a claim about itself. */
    public long refutationCount() {
        return refutationCount;
    }

    /** Returns the address that the router advertises, prefixed with its name. */
    public String address() {
        return address;
    }

    /** Returns when the member entered its state, in microseconds of this router's clock. */
    public long stateSinceUs() {
        return stateSinceUs;
    }

    /** Returns another process of this router with the same start count; null for none. */
    public Incarnation duplicate() {
        return duplicate;
    }

    /** @param suspectingRouter a router that suspects this member; empty for none */
    Rumor toRumor(String suspectingRouter) {
        return new Rumor(incarnation, refutationCount, state, address, suspectingRouter);
    }
}

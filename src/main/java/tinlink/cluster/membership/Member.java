package tinlink.cluster.membership;

import java.util.LinkedHashSet;
import java.util.Set;

/** What this router knows of another one; changes on the event loop's thread. */
public final class Member {
    Incarnation incarnation;
    long refutationCount;
    MemberState state;
    String address;
    /** Since when it has been in that state. */
    long stateSinceUs;
    /**
     * Who has found it silent of late; emptied as it is found alive, bounded by the confirmations awaited.
     */
    final Set<String> suspectedBy = new LinkedHashSet<>();
    /** Another process that says it is this very start; notified once for each. */
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

    /** The newest that is known. */
    public Incarnation incarnation() {
        return incarnation;
    }

    /** Its name. */
    public String router() {
        return incarnation.router();
    }

    /** Whether it answers, as far as is known. */
    public MemberState state() {
        return state;
    }

    /** How often it has refuted what was said of this incarnation. */
    public long refutationCount() {
        return refutationCount;
    }

    /** Where it is reached, as it says itself; with its name. */
    public String address() {
        return address;
    }

    /** Since when it has been in its state; microseconds of this router's clock. */
    public long stateSinceUs() {
        return stateSinceUs;
    }

    /** Another process that says it is this very start of this router; null where there is none. */
    public Incarnation duplicate() {
        return duplicate;
    }

    /** @param accuser the router that has found it silent; empty where none has */
    Rumor rumor(String accuser) {
        return new Rumor(incarnation, refutationCount, state, address, accuser);
    }
}

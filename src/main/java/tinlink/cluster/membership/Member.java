package tinlink.cluster.membership;

import java.util.LinkedHashSet;
import java.util.Set;

/** What this router holds of another one. */
public final class Member {
    Incarnation incarnation;
    long refutationCount;
    MemberState state;
    String address;
    /** When it came to stand so. */
    long stateSinceUs;
    /**
     * Who has found it silent of late; emptied as it is found alive, bounded by the confirmations
     * asked for.
     */
    final Set<String> suspectedBy = new LinkedHashSet<>();
    /** Two processes say that they are this start of this router; said once for each pair. */
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

    public Incarnation incarnation() {
        return incarnation;
    }

    public String router() {
        return incarnation.router();
    }

    public MemberState state() {
        return state;
    }

    public long refutationCount() {
        return refutationCount;
    }

    /** Where it is reached. */
    public String address() {
        return address;
    }

    /** Microseconds of this router's clock. */
    public long stateSinceUs() {
        return stateSinceUs;
    }

    /** Another process that says it is this very start of this router; null where there is none. */
    public Incarnation duplicate() {
        return duplicate;
    }

    Rumor rumor(String suspectedBy) {
        return new Rumor(incarnation, refutationCount, state, address, suspectedBy);
    }
}

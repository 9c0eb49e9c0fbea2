package tinlink.cluster.membership;

/**
 * What one router tells others of a third.
 *
 * @param incarnation whom it is of
 * @param refutationCount raised by that incarnation alone, to supersede what is said of it
 * @param state what is said of it
 * @param address where it is reached, as it says itself; with its name
 * @param suspectedBy the router that has found it silent; empty where none has
 */
public record Rumor(
        Incarnation incarnation,
        long refutationCount,
        MemberState state,
        String address,
        String suspectedBy) {}

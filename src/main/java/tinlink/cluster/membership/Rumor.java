package tinlink.cluster.membership;

/**
 * What one router tells others of a third.
 *
 * @param refutationCount raised by that incarnation alone, to outdo what is said of it
 * @param address where it is reached, as it says itself; an address with a port
 * @param suspectedBy who has found it silent; the name of the one who says so, empty where nobody has
 */
public record Rumor(
        Incarnation incarnation,
        long refutationCount,
        MemberState state,
        String address,
        String suspectedBy) {}

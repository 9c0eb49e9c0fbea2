package tinlink.cluster.membership;

/**
 * A claim about the state of a router, which routers pass on to each other.
 *
 * @param incarnation the process that the claim is about
 * @param refutationCount incremented by that process alone, so that its own claim supersedes those of others
 * @param state the claimed state
 * @param address the address that the process advertises, prefixed with its router's name
 * @param suspectedBy a router that suspects the process; empty for none
 */
public record Rumor(
        Incarnation incarnation,
        long refutationCount,
        MemberState state,
        String address,
        String suspectedBy) {}

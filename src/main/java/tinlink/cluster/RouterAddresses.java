package tinlink.cluster;

import tinlink.cluster.membership.Member;
import tinlink.cluster.membership.Membership;

import java.util.Map;

/**
 * The addresses at which this router reaches others. The addresses of members are prefixed with the router's
 * name: a router may have different addresses as seen from different networks, so an address configured here
 * takes precedence over the advertised one. Event loop's thread only.
 */
final class RouterAddresses {
    private static final char SEPARATOR = '@';

    private final Map<String, String> configured;
    private final Membership membership;

    /** @param configured host and port by router; read again at each use */
    RouterAddresses(Map<String, String> configured, Membership membership) {
        this.configured = configured;
        this.membership = membership;
    }

    /** Returns the address with the router's name as prefix, as membership messages carry it. */
    static String withRouterName(String router, String address) {
        return router + SEPARATOR + address;
    }

    /** Returns host and port for an address in the form of {@link #withRouterName}. */
    String resolve(String memberAddress) {
        int separator = memberAddress.lastIndexOf(SEPARATOR);
        return configured.getOrDefault(
                memberAddress.substring(0, Math.max(0, separator)),
                memberAddress.substring(separator + 1));
    }

    /** Returns host and port of a router; null if it is neither configured nor a member. */
    String addressOf(String router) {
        Member member = membership.member(router);
        String address = configured.get(router);
        return address != null ? address : member == null ? null : resolve(member.address());
    }
}

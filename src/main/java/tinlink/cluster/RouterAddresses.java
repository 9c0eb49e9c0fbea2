package tinlink.cluster;

import tinlink.cluster.membership.Member;
import tinlink.cluster.membership.Membership;

import java.util.Map;

/**
 * Where routers are reached. Members carry a router's name with its address, since the same router may be
 * reached at different ones from different places: what is configured here wins over what it says of itself.
 * Event loop's thread only.
 */
final class RouterAddresses {
    private static final char SEPARATOR = '@';

    private final Map<String, String> configured;
    private final Membership membership;

    /** @param configured by router, host and port; read anew at each use */
    RouterAddresses(Map<String, String> configured, Membership membership) {
        this.configured = configured;
        this.membership = membership;
    }

    /** The address as members tell it each other. */
    static String withRouterName(String router, String address) {
        return router + SEPARATOR + address;
    }

    /** Host and port by which to reach what {@link #withRouterName} has made. */
    String resolve(String memberAddress) {
        int separator = memberAddress.lastIndexOf(SEPARATOR);
        return configured.getOrDefault(
                memberAddress.substring(0, Math.max(0, separator)),
                memberAddress.substring(separator + 1));
    }

    /** Host and port of a router; null where it is neither configured nor a member. */
    String addressOf(String router) {
        Member member = membership.member(router);
        String address = configured.get(router);
        return address != null ? address : member == null ? null : resolve(member.address());
    }
}

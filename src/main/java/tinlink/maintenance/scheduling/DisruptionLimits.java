package tinlink.maintenance.scheduling;

import tinlink.cluster.consensus.LineCodec;

import java.util.List;

/**
 * What has to be left while machines are away.
 *
 * @param minReplicas sound holders that each card block keeps
 * @param minZoneShare share of its data nodes, and of its routers, that each zone keeps; and each site
 * @param warmUpUs how long a machine that came back has to have been sound before it counts
 * @param grantTimeoutUs how long a grant may wait to be begun
 * @param agingStepUs after so long a request counts as one step more urgent
 * @param maxTasks ended pieces that are remembered
 * @param maxEntries pieces in hand
 */
public record DisruptionLimits(
        int minReplicas,
        double minZoneShare,
        double minSiteShare,
        long warmUpUs,
        long grantTimeoutUs,
        long agingStepUs,
        int maxTasks,
        int maxEntries) {
    /** Before any have been agreed on: machines may become known, nothing else. */
    static final DisruptionLimits UNSET = new DisruptionLimits(0, 0, 0, 1, 1, 1, 0, 1 << 14);

    String encode() {
        return LineCodec.encode(
                "bounds",
                minReplicas,
                minZoneShare,
                minSiteShare,
                warmUpUs,
                grantTimeoutUs,
                agingStepUs,
                maxTasks,
                maxEntries);
    }

    static DisruptionLimits decode(List<String> fields) {
        return new DisruptionLimits(
                Integer.parseInt(fields.get(1)),
                Double.parseDouble(fields.get(2)),
                Double.parseDouble(fields.get(3)),
                Long.parseLong(fields.get(4)),
                Long.parseLong(fields.get(5)),
                Long.parseLong(fields.get(6)),
                Integer.parseInt(fields.get(7)),
                Integer.parseInt(fields.get(8)));
    }

    /** A share is rounded up. Of a site one is always kept: none is lost. */
    int minimum(FailureDomain domain, int total) {
        return switch (domain.kind()) {
            case BLOCK -> minReplicas;
            case VOTERS -> total / 2 + 2; // A majority, and one to spare.
            case ZONE_NODES, ZONE_ROUTERS -> share(minZoneShare, total);
            case SITE_NODES, SITE_ROUTERS -> Math.max(1, share(minSiteShare, total));
        };
    }

    private static int share(double share, int total) {
        return (int) Math.ceil(share * total - 1e-9);
    }
}

package tinlink.maintenance;

import tinlink.maintenance.scheduling.DisruptionLimits;

import java.util.Map;

/**
 * The maintenance settings of one router. Times are microseconds.
 *
 * @param initialLimits the limits at the first start of a fleet; afterwards those in the replicated log apply
 * @param watchersPerMachine the number of routers that watch one machine
 * @param probeIntervalUs the interval between two probes of one data node
 * @param probeFailureThreshold the number of consecutive failed probes that make a data node unhealthy
 * @param reportExpiryUs how long the leader uses a report
 * @param reportIntervalUs the interval between two reports to the leader
 */
public record MaintenanceSettings(
        Location location,
        DisruptionLimits initialLimits,
        int watchersPerMachine,
        long probeIntervalUs,
        int probeFailureThreshold,
        long reportExpiryUs,
        long reportIntervalUs) {
    /**
     * The location of a router.
     *
     * @param zone the router's zone
     * @param sites site names by zone; a zone without an entry is a site of its own
     */
    public record Location(String zone, Map<String, String> sites) {
        /** The router's own site. */
        String site() {
            return siteOf(zone);
        }

        String siteOf(String otherZone) {
            return sites.getOrDefault(otherZone, otherZone);
        }
    }
}

package tinlink.maintenance;

import tinlink.maintenance.scheduling.DisruptionLimits;

import java.util.Map;

/**
 * The settings of maintenance in one router. Times are microseconds.
 *
 * @param initialLimits for the first start of a fleet; later the ones agreed on hold
 * @param watchersPerMachine routers that watch one machine
 * @param probeIntervalUs between two probes of one data node
 * @param probeFailureThreshold failed probes in a row make it unhealthy
 * @param reportExpiryUs how long a report counts
 * @param reportIntervalUs between two reports to the leader
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
     * Where a router stands.
     *
     * @param zone the router's
     * @param sites by zone; a zone that is not named is a site of its own
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

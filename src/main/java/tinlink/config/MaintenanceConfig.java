package tinlink.config;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The settings of maintenance, including the capacity that must remain in service while machines
 * are in maintenance, from the file that NODE_WORK or {@code --work} names.
 */
public final class MaintenanceConfig {
    /** The site of each zone, by zone name. */
    public final Map<String, String> siteByZone = new LinkedHashMap<>();

    public final int minServingPerCell;
    public final double minZoneShare;
    public final double minSiteShare;
    public final long slowStartUs;
    public final long grantExpiryUs;
    public final long agingUs;
    public final int maxEndedTasks;
    public final int maxTasks;
    public final int observerCount;
    public final long healthCheckIntervalUs;
    public final int missesToFail;
    public final long observationExpiryUs;
    public final long reportIntervalUs;
    public final long startupWaitUs;
    /** The address at which operators connect; null if they may not connect. */
    public final InetSocketAddress controlAddress;

    public final String controlToken;
    public final long controlTimeoutUs;

    MaintenanceConfig(String file) {
        this(ConfigFile.of(file));
    }

    /** Whether this router applies the policy versions that the cluster agrees on. */
    public final boolean followsAgreedPolicy;

    private MaintenanceConfig(ConfigFile file) {
        ConfigFile siteEntries = file.object("sites");
        for (String site : siteEntries.keys()) {
            GatewayConfig.checkedName(siteEntries, site, site);
            for (String zone : siteEntries.texts(site)) {
                if (siteByZone.put(FlatSettings.plainName(zone), site) != null) {
                    throw siteEntries.invalid(
                            site, "has a zone that another site has too: " + zone);
                }
            }
        }
        ConfigFile bounds = file.object("bounds");
        minServingPerCell = bounds.integer("holders", 1, 0, 64);
        minZoneShare = bounds.number("zone_share", 0.5, 0, 1);
        minSiteShare = bounds.number("site_share", 0.5, 0, 1);
        slowStartUs = bounds.micros("warm_ms", 10_000, 0, 86_400_000);
        grantExpiryUs = bounds.micros("begin_ms", 30_000, 100, 86_400_000);
        agingUs = bounds.micros("aging_ms", 3_600_000, 100, 1e10);
        maxEndedTasks = bounds.integer("kept", 1000, 10, 100_000);
        maxTasks = bounds.integer("most", 4096, 10, 100_000);
        ConfigFile watch = file.object("watch");
        observerCount = watch.integer("routers", 3, 1, 15);
        healthCheckIntervalUs = watch.micros("probe_ms", 1000, 50, 60_000);
        missesToFail = watch.integer("misses", 3, 1, 20);
        observationExpiryUs = watch.micros("old_ms", 5000, 100, 600_000);
        reportIntervalUs = watch.micros("report_ms", 500, 20, 60_000);
        if (observationExpiryUs < 3 * reportIntervalUs) {
            throw watch.invalid(
                    "old_ms",
                    "is under three times report_ms: observations expire before the next");
        }
        followsAgreedPolicy = file.flag("policy", false);
        startupWaitUs = file.micros("await_ms", 3000, 0, 60_000);
        ConfigFile control = file.object("control");
        controlAddress = control.has("listen")
                ? GatewayConfig.checkedAddress(control, "listen", control.text("listen"))
                : null;
        if (controlAddress != null && !controlAddress.getAddress().isLoopbackAddress()) {
            throw control.invalid("listen", "is not on loopback");
        }
        controlToken = control.text("token", "");
        if (controlAddress != null && controlToken.length() < 16) {
            throw control.invalid("token", "is missing or under 16 characters");
        }
        controlTimeoutUs = control.micros("answer_ms", 5000, 100, 60_000);
        file.rejectUnknownKeys();
    }
}

package tinlink.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * The cluster settings of this router, including the members that are known at the start, from the
 * file that NODE_PEERS or {@code --peers} names.
 */
public final class ClusterConfig {
    public final String cluster;
    public final String router;
    public final String zone;
    public final InetSocketAddress listen;
    /**
     * The address at which other routers reach this router; empty if that is the listen address.
     */
    public final String advertisedAddress;

    public final Path dataDirectory;
    /** The address of each other router, as reached from this router, by router name. */
    public final Map<String, String> peers = new LinkedHashMap<>();

    public final Set<String> voters;
    public final Map<String, byte[]> keys;
    public final String activeKeyId;
    public final long probeIntervalUs;
    public final int indirectProbeCount;
    public final long heartbeatUs;
    public final long handshakeUs;
    public final long idleUs;
    public final int maxMembers;
    /**
     * The maximum number of simultaneous connections from routers that have not authenticated yet.
     */
    public final int maxUnauthenticatedConnections;

    public final long maxDiskBytes;
    public final int snapshotInterval;

    /** @param name the router's configured name, used if the file gives none */
    ClusterConfig(String file, String name) {
        this(ConfigFile.of(file), name);
    }

    private ClusterConfig(ConfigFile file, String name) {
        cluster = GatewayConfig.checkedName(file, "cluster", file.text("cluster"));
        router = GatewayConfig.checkedName(file, "router", file.text("router", name));
        zone = GatewayConfig.checkedName(file, "zone", file.text("zone"));
        listen = GatewayConfig.checkedAddress(file, "listen", file.text("listen"));
        advertisedAddress = file.text("at", "");
        if (!advertisedAddress.isEmpty()) {
            GatewayConfig.checkedAddress(file, "at", advertisedAddress);
        }
        dataDirectory = Path.of(file.text("folder"));
        ConfigFile peerEntries = file.object("peers");
        for (String peer : peerEntries.keys()) {
            GatewayConfig.checkedName(peerEntries, peer, peer);
            String peerAddress = peerEntries.text(peer);
            GatewayConfig.checkedAddress(peerEntries, peer, peerAddress);
            // One file may serve all routers. Its entry for this router is skipped, since a router
            // never connects to itself.
            if (!peer.equals(router)) {
                peers.put(peer, peerAddress);
            }
        }
        voters = new LinkedHashSet<>(file.texts("voters"));
        if (voters.size() != 3 && voters.size() != 5 && voters.size() != 7) {
            throw file.invalid("voters", "is no list of 3, 5 or 7 distinct names");
        }
        for (String voter : voters) {
            if (!voter.equals(router) && !peers.containsKey(voter)) {
                throw file.invalid("voters", "names a router that 'peers' does not: " + voter);
            }
        }
        keys = GatewayConfig.keys(file.object("keys"));
        activeKeyId = file.text("use_key");
        if (!keys.containsKey(activeKeyId)) {
            throw file.invalid("use_key", "is none of 'keys': " + activeKeyId);
        }
        probeIntervalUs = file.micros("round_ms", 500, 20, 60_000);
        indirectProbeCount = file.integer("helpers", 3, 0, 16);
        heartbeatUs = file.micros("beat_ms", 250, 20, 10_000);
        handshakeUs = file.micros("handshake_ms", 1000, 50, 60_000);
        idleUs = file.micros("idle_ms", 30_000, 100, 3_600_000);
        maxMembers = file.integer("most", 256, 3, 4096);
        maxUnauthenticatedConnections = file.integer("strangers", 16, 1, 4096);
        maxDiskBytes = file.integer("disk_mb", 64, 1, 4096) * 1024L * 1024;
        snapshotInterval = file.integer("lines", 2000, 10, 1_000_000);
        file.rejectUnknownKeys();
    }
}

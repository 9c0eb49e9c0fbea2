package tinlink.config;

import tinlink.decision.LookupClass;
import tinlink.net.JsonReader;
import tinlink.net.MessageRejectedException;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Level;

/**
 * What a router is started with: the file named by NODE_CONFIG, and NODE_NAME, NODE_LISTEN and
 * NODE_DISCOVERY, which win over it. Everything is checked here; a message names the key at fault.
 *
 * <p>At a reload the file is read and checked again as a whole. Of what it says only the address of
 * discovery is taken over by a router that serves.
 */
public final class RouterConfig {
    public final String name;
    public final InetSocketAddress listen;
    public final InetSocketAddress discovery;
    /** What the file itself says of it. */
    private final String fileDiscovery;

    private final Map<String, String> environment;
    public final int maxDescriptors;
    public final double memoryMb;
    /** Bytes that bodies which are being read may hold together. */
    public final long maxBodyBytesInFlight;
    /** Whether discovery pushes changes; if not, the module says when to poll. */
    public final boolean isDiscoveryPushed;

    public final long seed;
    public final Level logLevel;
    /**
     * The list of data nodes as this router most recently had it, in discovery's form; may be
     * empty.
     */
    public final Map<?, ?> cachedEndpoints;

    public final DecisionConfig decision;
    /** The longest hard deadline. */
    public final long maxDeadlineUs;

    public final LookupSettings lookups;
    public final NodeConnectionSettings nodeConnections;
    /** No policy may allow more in flight here. */
    public final int maxInFlightOfPolicy;
    /** Among which the shards are divided. */
    public final int cells;

    public final EndpointNames endpointNames;
    /** The longest Retry-After that clients are given; 0 where they are given none. */
    public final long maxRetryAfterUs;
    /** Data nodes over HTTP/2; null where there are none. */
    public final Http2Config http2;
    /** The links with other sites; null where there are none. */
    public final GatewayConfig gateway;

    /** The cluster of routers, and maintenance of machines; null, both, where they are off. */
    public final ClusterConfig cluster;

    public final MaintenanceConfig maintenance;

    /** What a lookup is checked against. */
    public record LookupSettings(
            Map<String, LookupClass> lookupClasses, int shardCount, int maxInFlight) {}

    /**
     * What connections to data nodes need; after {@code idleUs} without use a node's machine closes
     * one.
     */
    public record NodeConnectionSettings(
            long connectTimeoutUs, long idleTimeoutUs, int callsPerConnection, boolean canCancel) {}

    /** What the names in the list of data nodes stand for, in the settings' order. */
    public record EndpointNames(List<String> zones, List<String> kinds) {}

    public RouterConfig(Map<String, String> environment) {
        this(environment, null);
    }

    /** The same sources, read and checked again. */
    public RouterConfig reload() {
        return new RouterConfig(environment, this);
    }

    private RouterConfig(Map<String, String> environment, RouterConfig previous) {
        this.environment = environment;
        String file = environment.get("NODE_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new InvalidInputException("environment: 'NODE_CONFIG' is missing");
        }
        Map<?, ?> tree = readTree(file);
        FlatSettings topLevel = FlatSettings.ofTree(
                "config",
                Map.of(
                        "name",
                        orEmpty(tree, "name"),
                        "listen",
                        orEmpty(tree, "listen"),
                        "discovery",
                        orEmpty(tree, "discovery"),
                        "seed",
                        orEmpty(tree, "seed"),
                        "limits",
                        orEmpty(tree, "limits")));
        name = environment.getOrDefault("NODE_NAME", topLevel.text("name", "router"));
        listen = parseAddress(
                topLevel,
                "listen",
                environment.getOrDefault("NODE_LISTEN", topLevel.text("listen", "")));
        // Danger: NODE_DISCOVERY is of the start. Were it to win over a file that has changed
        // since, a reload
        // would never leave an address that is about to close.
        fileDiscovery = topLevel.text("discovery", "");
        discovery = previous == null
                ? parseAddress(
                        topLevel,
                        "discovery",
                        environment.getOrDefault("NODE_DISCOVERY", fileDiscovery))
                : fileDiscovery.equals(previous.fileDiscovery)
                        ? previous.discovery
                        : parseAddress(topLevel, "discovery", fileDiscovery);
        logLevel = level(environment.getOrDefault("NODE_LOG", "INFO"));
        // What is made of a body while it is read is up to 16 times as large; half the heap is for
        // the rest.
        memoryMb = topLevel.number("limits.memory_mb", 192);
        maxBodyBytesInFlight =
                (long) Math.min(Runtime.getRuntime().maxMemory() / 32.0, memoryMb * (1 << 20) / 96);
        if (maxBodyBytesInFlight <= 0) {
            throw topLevel.invalid("limits.memory_mb", "is no memory to serve with");
        }
        maxDescriptors = atLeast(topLevel, "limits.sockets", 1024, 64);
        cachedEndpoints = tree.get("known") instanceof Map<?, ?> map ? map : Map.of();
        if (!(tree.get("settings") instanceof Map<?, ?> settings)) {
            throw new InvalidInputException("config: 'settings' is missing");
        }
        FlatSettings flatSettings = FlatSettings.ofTree("config: settings", settings);
        if (!flatSettings.text("family", "fanout").equals("fanout")) {
            throw flatSettings.invalid(
                    "family", "is not served: " + flatSettings.text("family", ""));
        }
        int count = atLeast(flatSettings, "profiles.count", 0, 1);
        seed = seed(topLevel);
        decision = new DecisionConfig(seed, flatSettings);
        Map<String, LookupClass> lookupClasses = new LinkedHashMap<>();
        long longestDeadlineUs = 0;
        for (int i = 0; i < count; i++) {
            lookupClasses.put(
                    requiredText(flatSettings, "profiles." + i + ".name"),
                    decision.lookupClasses[i]);
            longestDeadlineUs = Math.max(longestDeadlineUs, decision.lookupClasses[i].deadlineUs);
            if (decision.lookupClasses[i].secondStepParts > 0) {
                throw flatSettings.invalid(
                        "familyInfo.followUp",
                        "asks for a second step, which is not served on sockets");
            }
        }
        maxDeadlineUs = longestDeadlineUs;
        lookups = new LookupSettings(
                lookupClasses,
                flatSettings.count("familyInfo.slabs", 1, 1),
                atLeast(flatSettings, "limits.openCap", decision.maxInFlight, 1));
        maxInFlightOfPolicy = Math.max(
                lookups.maxInFlight(),
                flatSettings.integer("limits.mostOpen", lookups.maxInFlight()));
        long connectUs = positive(flatSettings, "limits.connectTimeoutMs", 250_000);
        nodeConnections = new NodeConnectionSettings(
                connectUs,
                positive(flatSettings, "limits.connIdleMs", 30_000_000),
                atLeast(flatSettings, "limits.streamsPerConn", 1, 1),
                flatSettings.flag("limits.cancel"));
        endpointNames =
                new EndpointNames(flatSettings.items("localities"), flatSettings.items("models"));
        isDiscoveryPushed = flatSettings.text("discovery", "pushed").equals("pushed");
        maxRetryAfterUs = decision.maxRetryAfterUs;
        cells = flatSettings.count("familyInfo.sets", 1, 1);
        String gatewayFile = environment.getOrDefault("NODE_GATEWAY", "");
        String http2File = environment.getOrDefault("NODE_HTTP2", "");
        http2 = http2File.isEmpty() ? null : new Http2Config(http2File);
        gateway = gatewayFile.isEmpty() ? null : new GatewayConfig(gatewayFile, name);
        String peersFile = environment.getOrDefault("NODE_PEERS", "");
        String workFile = environment.getOrDefault("NODE_WORK", "");
        if (peersFile.isEmpty() != workFile.isEmpty()) {
            throw new InvalidInputException(
                    "environment: 'NODE_PEERS' and 'NODE_WORK' go together");
        }
        cluster = peersFile.isEmpty() ? null : new ClusterConfig(peersFile, name);
        maintenance = workFile.isEmpty() ? null : new MaintenanceConfig(workFile);
    }

    private static Object orEmpty(Map<?, ?> tree, String key) {
        Object value = tree.get(key);
        return value == null ? "" : value;
    }

    private static Map<?, ?> readTree(String file) {
        try {
            if (JsonReader.parse(Files.readString(Path.of(file))) instanceof Map<?, ?> map) {
                return map;
            }
            throw new InvalidInputException("config: it is no JSON object");
        } catch (IOException e) {
            throw new InvalidInputException(
                    "environment: 'NODE_CONFIG' can't be read: " + e.getMessage());
        } catch (MessageRejectedException e) {
            throw new InvalidInputException("config: " + e.getMessage());
        }
    }

    private static Level level(String name) {
        try {
            return Level.parse(name);
        } catch (IllegalArgumentException e) {
            throw new InvalidInputException(
                    "environment: 'NODE_LOG' is no level of java.util.logging: " + name);
        }
    }

    private static long seed(FlatSettings topLevel) {
        try {
            return Long.parseUnsignedLong(topLevel.text("seed", "0"), 16);
        } catch (NumberFormatException e) {
            throw topLevel.invalid("seed", "is not up to 16 hex digits");
        }
    }

    private static int atLeast(FlatSettings flatSettings, String path, int defaultValue, int min) {
        int value = flatSettings.integer(path, defaultValue);
        if (value < min) {
            throw flatSettings.invalid(path, "is under " + min + ": " + value);
        }
        return value;
    }

    private static long positive(FlatSettings flatSettings, String path, long defaultUs) {
        long valueUs = flatSettings.micros(path, defaultUs);
        if (valueUs <= 0) {
            throw flatSettings.invalid(path, "is no time to wait: " + valueUs + " us");
        }
        return valueUs;
    }

    private static String requiredText(FlatSettings flatSettings, String path) {
        if (!flatSettings.has(path)) {
            throw flatSettings.invalid(path, "is missing");
        }
        return flatSettings.text(path, "");
    }

    private static InetSocketAddress parseAddress(
            FlatSettings flatSettings, String path, String text) {
        try {
            return parseAddress(text);
        } catch (IllegalArgumentException e) {
            throw flatSettings.invalid(path, "is no address with a port: " + text);
        }
    }

    /** HOST:PORT, the host a number: there is no name service here. */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0 || !text.substring(0, colon).matches("[0-9.]+|\\[[0-9a-fA-F:.]+\\]")) {
            throw new IllegalArgumentException(text);
        }
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}

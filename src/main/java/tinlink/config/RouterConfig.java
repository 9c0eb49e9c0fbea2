package tinlink.config;

import tinlink.decision.LookupClass;
import tinlink.net.JsonReader;
import tinlink.net.MessageRejectedException;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Level;

/**
 * The configuration of a router: the file that NODE_CONFIG names, and NODE_NAME, NODE_LISTEN and
 * NODE_DISCOVERY, which override the file. The constructor checks all settings; a {@link
 * ConfigException} names the source and key of an invalid setting.
 *
 * <p>On reload the file is read and checked again as a whole. A running router then applies only
 * the address of discovery and the gateway's keys.
 */
public final class RouterConfig {
    private static final String ENVIRONMENT = "environment";
    private static final String CONFIG = "config";
    private static final List<String> TOP_LEVEL_KEYS =
            List.of("name", "listen", "discovery", "seed", "limits");

    /**
     * The largest part of the process's memory that counts as its heap; the rest holds code, classes and
     * threads.
     */
    private static final double HEAP_SHARE_OF_MEMORY = 1.0 / 3;

    /** The part of the heap that clients' requests may retain together. */
    private static final double REQUEST_HEAP_SHARE = 3.0 / 8;
    /** The part of the heap that one object of discovery may take. */
    private static final double ENDPOINT_LIST_HEAP_SHARE = 1.0 / 4;
    /** The heap for each byte that one object of discovery may be long. */
    private static final int HEAP_BYTES_PER_LIST_BYTE = 32;

    public final String name;
    public final InetSocketAddress listen;
    public final InetSocketAddress discovery;
    /** The address of discovery in the file, before NODE_DISCOVERY overrides it. */
    private final String fileDiscovery;

    private final Map<String, String> environment;
    public final int maxDescriptors;
    public final double memoryMb;
    /** The heap that the requests of all clients may retain together, in bytes. */
    public final long maxRequestHeapBytes;
    /** The maximum length of one object that discovery sends, in bytes. */
    public final long maxEndpointListBytes;
    /** The heap that one object of discovery may take while it is parsed, in bytes. */
    public final long maxEndpointListHeapBytes;
    /** Whether discovery pushes changes; otherwise the decision module determines when to poll. */
    public final boolean isDiscoveryPushed;

    public final long seed;
    public final Level logLevel;
    /**
     * The most recent list of data nodes that the router had, in discovery's format; may be empty.
     */
    public final Map<?, ?> cachedEndpoints;

    public final DecisionConfig decision;
    /** The longest deadline of any lookup class, in microseconds. */
    public final long maxDeadlineUs;

    public final LookupSettings lookups;
    public final NodeConnectionSettings nodeConnections;
    /** The upper bound for the maximum in flight that a policy may set. */
    public final int maxInFlightOfPolicy;
    /** The number of cells among which the shards are divided. */
    public final int cells;

    public final EndpointNames endpointNames;
    /** The longest Retry-After that clients are sent, in microseconds; 0 if none is sent. */
    public final long maxRetryAfterUs;
    /** The HTTP/2 settings of data nodes; null if no data node is reached over HTTP/2. */
    public final Http2Config http2;
    /** The connections to other sites; null if there are none. */
    public final GatewayConfig gateway;
    /** The cluster of routers; null if it is disabled, as is {@code maintenance} then. */
    public final ClusterConfig cluster;

    public final MaintenanceConfig maintenance;

    /**
     * The settings against which a lookup is checked.
     *
     * @param lookupClasses the lookup classes by name
     * @param maxInFlight the maximum number of lookups and parts in flight
     */
    public record LookupSettings(
            Map<String, LookupClass> lookupClasses, int shardCount, int maxInFlight) {}

    /**
     * The settings of connections to data nodes.
     *
     * @param idleTimeoutUs the idle time after which the data node's machine closes a connection
     */
    public record NodeConnectionSettings(
            long connectTimeoutUs, long idleTimeoutUs, int callsPerConnection, boolean canCancel) {}

    /** The zone and kind names in the list of data nodes, in the order of the settings. */
    public record EndpointNames(List<String> zones, List<String> kinds) {}

    /** @throws ConfigException naming the invalid setting */
    public RouterConfig(Map<String, String> environment) {
        this(environment, null);
    }

    /**
     * Reads and checks the same sources again.
     *
     * @throws ConfigException naming the invalid setting
     */
    public RouterConfig reload() {
        return new RouterConfig(environment, this);
    }

    private RouterConfig(Map<String, String> environment, RouterConfig previous) {
        this.environment = environment;
        Map<?, ?> tree = readTree(environment.get("NODE_CONFIG"));
        FlatSettings topLevel = topLevel(tree);
        name = environment.getOrDefault("NODE_NAME", topLevel.text("name", "router"));
        listen = address(
                topLevel,
                "listen",
                environment.getOrDefault("NODE_LISTEN", topLevel.text("listen", "")));
        fileDiscovery = topLevel.text("discovery", "");
        discovery = discovery(topLevel, previous);
        logLevel = level(environment.getOrDefault("NODE_LOG", "INFO"));
        memoryMb = topLevel.number("limits.memory_mb", 192);
        long heapBytes = heapBytes(topLevel, memoryMb);
        maxRequestHeapBytes = (long) (heapBytes * REQUEST_HEAP_SHARE);
        maxEndpointListHeapBytes = (long) (heapBytes * ENDPOINT_LIST_HEAP_SHARE);
        maxEndpointListBytes = heapBytes / HEAP_BYTES_PER_LIST_BYTE;
        maxDescriptors = atLeast(topLevel, "limits.sockets", 1024, 64);
        cachedEndpoints = tree.get("known") instanceof Map<?, ?> map ? map : Map.of();
        FlatSettings settings = settings(tree);
        int classCount = atLeast(settings, "profiles.count", 0, 1);
        seed = seed(topLevel);
        decision = new DecisionConfig(seed, settings);
        Map<String, LookupClass> lookupClasses = lookupClasses(settings, classCount, decision);
        maxDeadlineUs = Arrays.stream(decision.lookupClasses)
                .mapToLong(lookupClass -> lookupClass.deadlineUs)
                .max()
                .orElse(0);
        lookups = new LookupSettings(
                lookupClasses,
                settings.count("familyInfo.slabs", 1, 1),
                atLeast(settings, "limits.openCap", decision.maxInFlight, 1));
        maxInFlightOfPolicy = Math.max(
                lookups.maxInFlight(), settings.integer("limits.mostOpen", lookups.maxInFlight()));
        nodeConnections = nodeConnections(settings);
        endpointNames = new EndpointNames(settings.items("localities"), settings.items("models"));
        isDiscoveryPushed = settings.text("discovery", "pushed").equals("pushed");
        maxRetryAfterUs = decision.maxRetryAfterUs;
        cells = settings.count("familyInfo.sets", 1, 1);
        String gatewayFile = environment.getOrDefault("NODE_GATEWAY", "");
        String http2File = environment.getOrDefault("NODE_HTTP2", "");
        http2 = http2File.isEmpty() ? null : new Http2Config(http2File);
        gateway = gatewayFile.isEmpty() ? null : new GatewayConfig(gatewayFile, name);
        String clusterFile = environment.getOrDefault("NODE_PEERS", "");
        String maintenanceFile = environment.getOrDefault("NODE_WORK", "");
        if (clusterFile.isEmpty() != maintenanceFile.isEmpty()) {
            throw new ConfigException(ENVIRONMENT, "", "'NODE_PEERS' and 'NODE_WORK' go together");
        }
        cluster = clusterFile.isEmpty() ? null : new ClusterConfig(clusterFile, name);
        maintenance = maintenanceFile.isEmpty() ? null : new MaintenanceConfig(maintenanceFile);
    }

    // ---- Reading the file. ----

    private static Map<?, ?> readTree(String file) {
        if (file == null || file.isEmpty()) {
            throw new ConfigException(ENVIRONMENT, "NODE_CONFIG", "is missing");
        }
        try {
            if (JsonReader.parse(Files.readString(Path.of(file))) instanceof Map<?, ?> map) {
                return map;
            }
            throw new ConfigException(CONFIG, "", "it is no JSON object");
        } catch (IOException e) {
            throw new ConfigException(
                    ENVIRONMENT, "NODE_CONFIG", "can't be read: " + e.getMessage());
        } catch (MessageRejectedException e) {
            throw new ConfigException(CONFIG, "", e.getMessage());
        }
    }

    private static FlatSettings topLevel(Map<?, ?> tree) {
        Map<String, Object> values = new LinkedHashMap<>();
        for (String key : TOP_LEVEL_KEYS) {
            Object value = tree.get(key);
            values.put(key, value == null ? "" : value);
        }
        return FlatSettings.ofTree(CONFIG, values);
    }

    private static FlatSettings settings(Map<?, ?> tree) {
        if (!(tree.get("settings") instanceof Map<?, ?> map)) {
            throw new ConfigException(CONFIG, "settings", "is missing");
        }
        FlatSettings settings = FlatSettings.ofTree(CONFIG + ": settings", map);
        if (!settings.text("family", "fanout").equals("fanout")) {
            throw settings.invalid("family", "is not served: " + settings.text("family", ""));
        }
        return settings;
    }

    // ---- Reading single settings. ----

    /**
     * Returns the address of discovery.
     *
     * <p>NODE_DISCOVERY applies at startup only; a reload takes an address that has changed in the
     * file. If the variable overrode the changed file, a reload could never leave an address that
     * is about to close.
     */
    private InetSocketAddress discovery(FlatSettings topLevel, RouterConfig previous) {
        if (previous == null) {
            return address(
                    topLevel,
                    "discovery",
                    environment.getOrDefault("NODE_DISCOVERY", fileDiscovery));
        }
        return fileDiscovery.equals(previous.fileDiscovery)
                ? previous.discovery
                : address(topLevel, "discovery", fileDiscovery);
    }

    /** Returns the heap that the limits of messages are shares of, in bytes. */
    private static long heapBytes(FlatSettings topLevel, double memoryMb) {
        long shareOfMemory = (long) (memoryMb * (1 << 20) * HEAP_SHARE_OF_MEMORY);
        long bytes = Math.min(Runtime.getRuntime().maxMemory(), shareOfMemory);
        if (bytes < HEAP_BYTES_PER_LIST_BYTE) {
            throw topLevel.invalid("limits.memory_mb", "is too small to serve any lookup");
        }
        return bytes;
    }

    private static Map<String, LookupClass> lookupClasses(
            FlatSettings settings, int count, DecisionConfig decision) {
        Map<String, LookupClass> byName = new LinkedHashMap<>();
        for (int i = 0; i < count; i++) {
            byName.put(
                    requiredText(settings, "profiles." + i + ".name"), decision.lookupClasses[i]);
            if (decision.lookupClasses[i].secondStepParts > 0) {
                throw settings.invalid(
                        "familyInfo.followUp",
                        "asks for a second step, which is not served on sockets");
            }
        }
        return byName;
    }

    private static NodeConnectionSettings nodeConnections(FlatSettings settings) {
        return new NodeConnectionSettings(
                positive(settings, "limits.connectTimeoutMs", 250_000),
                positive(settings, "limits.connIdleMs", 30_000_000),
                atLeast(settings, "limits.streamsPerConn", 1, 1),
                settings.flag("limits.cancel"));
    }

    private static Level level(String name) {
        try {
            return Level.parse(name);
        } catch (IllegalArgumentException e) {
            throw new ConfigException(
                    ENVIRONMENT, "NODE_LOG", "is no level of java.util.logging: " + name);
        }
    }

    private static long seed(FlatSettings topLevel) {
        try {
            return Long.parseUnsignedLong(topLevel.text("seed", "0"), 16);
        } catch (NumberFormatException e) {
            throw topLevel.invalid("seed", "is not up to 16 hex digits");
        }
    }

    private static int atLeast(FlatSettings settings, String path, int defaultValue, int min) {
        int value = settings.integer(path, defaultValue);
        if (value < min) {
            throw settings.invalid(path, "is under " + min + ": " + value);
        }
        return value;
    }

    private static long positive(FlatSettings settings, String path, long defaultUs) {
        long valueUs = settings.micros(path, defaultUs);
        if (valueUs <= 0) {
            throw settings.invalid(path, "is no positive time: " + valueUs + " us");
        }
        return valueUs;
    }

    private static String requiredText(FlatSettings settings, String path) {
        if (!settings.has(path)) {
            throw settings.invalid(path, "is missing");
        }
        return settings.text(path, "");
    }

    private static InetSocketAddress address(FlatSettings settings, String path, String text) {
        try {
            return parseAddress(text);
        } catch (IllegalArgumentException e) {
            throw settings.invalid(path, "is no address with a port: " + text);
        }
    }

    /**
     * Parses HOST:PORT, where HOST is a numeric IP address: the router doesn't resolve names.
     *
     * @throws IllegalArgumentException if the text is not such an address
     */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0 || !text.substring(0, colon).matches("[0-9.]+|\\[[0-9a-fA-F:.]+\\]")) {
            throw new IllegalArgumentException(text);
        }
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}

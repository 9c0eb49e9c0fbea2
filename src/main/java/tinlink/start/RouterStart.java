package tinlink.start;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.logging.Level;
import java.util.stream.IntStream;
import tinlink.decision.Index;
import tinlink.net.BadMessage;
import tinlink.net.JsonReader;

/**
 * What a router is started with: the file named by NODE_CONFIG, and NODE_NAME, NODE_LISTEN and NODE_DISCOVERY,
 * which win over it. Everything is checked here; a message names the key at fault.
 */
public final class RouterStart {
    public final String name;
    public final InetSocketAddress listen;
    public final InetSocketAddress discovery;
    public final int descriptors;
    public final long seed;
    public final Level logLevel;
    /** The list of data nodes as this router most recently had it, in discovery's form; may be empty. */
    public final Map<?, ?> known;
    public final ModuleStart built;

    // What a lookup is checked against.
    public final List<String> indexNames;
    public final int shards;
    public final int openCap;
    // What connections to data nodes need.
    public final long connectUs;
    public final long idleUs;
    public final int callsPerLink;
    public final int bundleMax;
    public final boolean mayCancel;
    // What the list's names stand for.
    public final List<String> zones;
    public final List<String> kinds;
    public final boolean pushed;

    public RouterStart(Map<String, String> env) {
        String file = env.get("NODE_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new BadInput("environment: 'NODE_CONFIG' is missing");
        }
        Map<?, ?> tree = tree(file);
        Figures top = Figures.ofTree("config", Map.of("name", or(tree, "name"), "listen", or(tree, "listen"),
                "discovery", or(tree, "discovery"), "seed", or(tree, "seed"), "limits", or(tree, "limits")));
        name = env.getOrDefault("NODE_NAME", top.text("name", "router"));
        listen = address(top, "listen", env.getOrDefault("NODE_LISTEN", top.text("listen", "")));
        discovery = address(top, "discovery", env.getOrDefault("NODE_DISCOVERY", top.text("discovery", "")));
        logLevel = level(env.getOrDefault("NODE_LOG", "INFO"));
        descriptors = least(top, "limits.sockets", 1024, 64);
        known = tree.get("known") instanceof Map<?, ?> map ? map : Map.of();
        if (!(tree.get("settings") instanceof Map<?, ?> settings)) {
            throw new BadInput("config: 'settings' is missing");
        }
        Figures f = Figures.ofTree("config: settings", settings);
        if (!f.text("family", "fanout").equals("fanout")) {
            throw f.bad("family", "is not served: " + f.text("family", ""));
        }
        int count = least(f, "profiles.count", 0, 1);
        seed = seed(top);
        built = new ModuleStart(seed, f);
        indexNames = IntStream.range(0, count)
                .mapToObj(i -> named(f, "profiles." + i + ".name")).toList();
        for (Index x : built.indexes) {
            if (x.secondStep > 0) {
                throw f.bad("familyInfo.followUp", "asks for a second step, which is not served on sockets");
            }
        }
        shards = least(f, "familyInfo.slabs", 1, 1);
        openCap = least(f, "limits.openCap", 1000, 1);
        connectUs = Math.max(1000, f.micros("limits.connectTimeoutMs", 250_000));
        idleUs = Math.max(connectUs, f.micros("limits.connIdleMs", 30_000_000));
        callsPerLink = least(f, "limits.streamsPerConn", 1, 1);
        bundleMax = least(f, "familyInfo.bundleMax", 1, 1);
        mayCancel = f.flag("limits.cancel");
        zones = f.items("localities");
        kinds = f.items("models");
        pushed = f.text("discovery", "pushed").equals("pushed");
    }

    private static Object or(Map<?, ?> tree, String key) {
        Object value = tree.get(key);
        return value == null ? "" : value;
    }

    private static Map<?, ?> tree(String file) {
        try {
            if (JsonReader.of(Files.readString(Path.of(file))) instanceof Map<?, ?> map) {
                return map;
            }
            throw new BadInput("config: it is no JSON object");
        } catch (IOException e) {
            throw new BadInput("environment: 'NODE_CONFIG' can't be read: " + e.getMessage());
        } catch (BadMessage e) {
            throw new BadInput("config: " + e.getMessage());
        }
    }

    private static Level level(String name) {
        try {
            return Level.parse(name);
        } catch (IllegalArgumentException e) {
            throw new BadInput("environment: 'NODE_LOG' is no level of java.util.logging: " + name);
        }
    }

    private static long seed(Figures top) {
        try {
            return Long.parseUnsignedLong(top.text("seed", "0"), 16);
        } catch (NumberFormatException e) {
            throw top.bad("seed", "is not up to 16 hex digits");
        }
    }

    private static int least(Figures f, String path, int absent, int least) {
        int value = f.whole(path, absent);
        if (value < least) {
            throw f.bad(path, "is under " + least + ": " + value);
        }
        return value;
    }

    private static String named(Figures f, String path) {
        if (!f.has(path)) {
            throw f.bad(path, "is missing");
        }
        return f.text(path, "");
    }

    private static InetSocketAddress address(Figures f, String path, String text) {
        try {
            return address(text);
        } catch (IllegalArgumentException e) {
            throw f.bad(path, "is no address with a port: " + text);
        }
    }

    /** HOST:PORT, the host a number: there is no name service here. */
    public static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0 || !text.substring(0, colon).matches("[0-9.]+|\\[[0-9a-fA-F:.]+\\]")) {
            throw new IllegalArgumentException(text);
        }
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}

package tinlink.start;

import tinlink.decision.Index;
import tinlink.net.MessageRejectedException;
import tinlink.net.JsonReader;

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
public final class RouterStart {
    public final String name;
    public final InetSocketAddress listen;
    public final InetSocketAddress discovery;
    /** What the file itself says of it. */
    private final String discoveryInFile;

    private final Map<String, String> env;
    public final int descriptors;
    public final double memoryMb;
    /** Bodies that are being read may be so long together. */
    public final long mostReading;
    /** Whether discovery tells changes on its own; if not, the module says when to ask. */
    public final boolean pushed;

    public final long seed;
    public final Level logLevel;
    /**
     * The list of data nodes as this router most recently had it, in discovery's form; may be
     * empty.
     */
    public final Map<?, ?> known;

    public final ModuleStart built;
    /** The longest hard deadline. */
    public final long longestUs;

    public final Lookups lookups;
    public final Links links;
    /** No policy may let more be in hand here. */
    public final int mostOpen;
    /** Among which the shards are dealt out. */
    public final int cells;

    public final Names names;
    /** Clients are told to come back no later; 0 where they are told nothing. */
    public final long mostComeBackUs;
    /** Data nodes over HTTP/2; null where there are none. */
    public final Http2Start http2;
    /** The links with other sites; null where there are none. */
    public final GatewayStart gateway;

    /** Routers that know each other, and work on machines; null, both, where they are off. */
    public final PeersStart peers;

    public final WorkStart work;

    /** What a lookup is checked against. */
    public record Lookups(Map<String, Index> indexes, int shards, int openCap) {}

    /**
     * What connections to data nodes need; after {@code idleUs} without use a node's machine closes
     * one.
     */
    public record Links(long connectUs, long idleUs, int callsPerLink, boolean mayCancel) {}

    /** What the names in the list of data nodes stand for, in the settings' order. */
    public record Names(List<String> zones, List<String> kinds) {}

    public RouterStart(Map<String, String> env) {
        this(env, null);
    }

    /** What the file says now. */
    public RouterStart again() {
        return new RouterStart(env, this);
    }

    private RouterStart(Map<String, String> env, RouterStart before) {
        this.env = env;
        String file = env.get("NODE_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new BadInput("environment: 'NODE_CONFIG' is missing");
        }
        Map<?, ?> tree = tree(file);
        Figures top = Figures.ofTree(
                "config",
                Map.of(
                        "name",
                        or(tree, "name"),
                        "listen",
                        or(tree, "listen"),
                        "discovery",
                        or(tree, "discovery"),
                        "seed",
                        or(tree, "seed"),
                        "limits",
                        or(tree, "limits")));
        name = env.getOrDefault("NODE_NAME", top.text("name", "router"));
        listen = address(top, "listen", env.getOrDefault("NODE_LISTEN", top.text("listen", "")));
        // Danger: NODE_DISCOVERY is of the start. Were it to win over a file that has changed
        // since, a reload
        // would never leave an address that is about to close.
        discoveryInFile = top.text("discovery", "");
        discovery = before == null
                ? address(top, "discovery", env.getOrDefault("NODE_DISCOVERY", discoveryInFile))
                : discoveryInFile.equals(before.discoveryInFile)
                        ? before.discovery
                        : address(top, "discovery", discoveryInFile);
        logLevel = level(env.getOrDefault("NODE_LOG", "INFO"));
        // What is made of a body while it is read is up to 16 times as large; half the heap is for
        // the rest.
        memoryMb = top.number("limits.memory_mb", 192);
        mostReading =
                (long) Math.min(Runtime.getRuntime().maxMemory() / 32.0, memoryMb * (1 << 20) / 96);
        if (mostReading <= 0) {
            throw top.bad("limits.memory_mb", "is no memory to serve with");
        }
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
        Map<String, Index> indexes = new LinkedHashMap<>();
        long longest = 0;
        for (int i = 0; i < count; i++) {
            indexes.put(named(f, "profiles." + i + ".name"), built.indexes[i]);
            longest = Math.max(longest, built.indexes[i].hardUs);
            if (built.indexes[i].secondStep > 0) {
                throw f.bad(
                        "familyInfo.followUp",
                        "asks for a second step, which is not served on sockets");
            }
        }
        longestUs = longest;
        lookups = new Lookups(
                indexes,
                f.count("familyInfo.slabs", 1, 1),
                least(f, "limits.openCap", built.openCap, 1));
        mostOpen = Math.max(lookups.openCap(), f.whole("limits.mostOpen", lookups.openCap()));
        long connectUs = positive(f, "limits.connectTimeoutMs", 250_000);
        links = new Links(
                connectUs,
                positive(f, "limits.connIdleMs", 30_000_000),
                least(f, "limits.streamsPerConn", 1, 1),
                f.flag("limits.cancel"));
        names = new Names(f.items("localities"), f.items("models"));
        pushed = f.text("discovery", "pushed").equals("pushed");
        mostComeBackUs = built.mostComeBackUs;
        cells = f.count("familyInfo.sets", 1, 1);
        String gatewayFile = env.getOrDefault("NODE_GATEWAY", "");
        String http2File = env.getOrDefault("NODE_HTTP2", "");
        http2 = http2File.isEmpty() ? null : new Http2Start(http2File);
        gateway = gatewayFile.isEmpty() ? null : new GatewayStart(gatewayFile, name);
        String peersFile = env.getOrDefault("NODE_PEERS", "");
        String workFile = env.getOrDefault("NODE_WORK", "");
        if (peersFile.isEmpty() != workFile.isEmpty()) {
            throw new BadInput("environment: 'NODE_PEERS' and 'NODE_WORK' go together");
        }
        peers = peersFile.isEmpty() ? null : new PeersStart(peersFile, name);
        work = workFile.isEmpty() ? null : new WorkStart(workFile);
    }

    private static Object or(Map<?, ?> tree, String key) {
        Object value = tree.get(key);
        return value == null ? "" : value;
    }

    private static Map<?, ?> tree(String file) {
        try {
            if (JsonReader.parse(Files.readString(Path.of(file))) instanceof Map<?, ?> map) {
                return map;
            }
            throw new BadInput("config: it is no JSON object");
        } catch (IOException e) {
            throw new BadInput("environment: 'NODE_CONFIG' can't be read: " + e.getMessage());
        } catch (MessageRejectedException e) {
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

    private static long positive(Figures f, String path, long absentUs) {
        long us = f.micros(path, absentUs);
        if (us <= 0) {
            throw f.bad(path, "is no time to wait: " + us + " us");
        }
        return us;
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
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}

package tinlink.config;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The settings of the connections to other sites, from the file that NODE_GATEWAY or {@code
 * --gateway} names.
 */
public final class GatewayConfig {
    private static final int MIN_KEY_BYTES = 16;
    /**
     * On a connection between sites a text has a one-byte length; half of that range is enough for
     * a name.
     */
    private static final String NAME_PATTERN = "[A-Za-z0-9_.-]{1,64}";

    public final String site;
    public final String router;
    /** The address at which routers of other sites connect; null if none may connect. */
    public final InetSocketAddress listen;

    public final Set<String> acceptedSites;
    /** Keys by id. Outgoing connections use the key with the id {@code activeKeyId}. */
    public final Map<String, byte[]> keys = new LinkedHashMap<>();

    public final String activeKeyId;
    public final long heartbeatUs;
    public final long handshakeUs;
    public final long recoveryRampUs;
    public final int maxInboundParts;
    public final int maxCachedOutcomes;
    public final long maxCachedOutcomeBytes;
    public final int maxInboundConnections;
    public final int maxQueuedParts;
    public final List<RemoteRouter> remoteRouters = new ArrayList<>();

    /** A router of another site; all its addresses lead to the same process. */
    public record RemoteRouter(String site, String router, List<InetSocketAddress> addresses) {}

    /** @param name the router's configured name, used if the file gives none */
    GatewayConfig(String file, String name) {
        this(ConfigFile.of(file), name);
    }

    private GatewayConfig(ConfigFile file, String name) {
        site = checkedName(file, "site", file.text("site"));
        router = checkedName(file, "router", file.text("router", name));
        listen = file.has("listen") ? checkedAddress(file, "listen", file.text("listen")) : null;
        acceptedSites = Set.copyOf(file.texts("accepts"));
        keys.putAll(keys(file.object("keys")));
        activeKeyId = file.text("use_key");
        if (!keys.containsKey(activeKeyId)) {
            throw file.invalid("use_key", "is none of 'keys': " + activeKeyId);
        }
        heartbeatUs = file.micros("heartbeat_ms", 250, 10, 60_000);
        handshakeUs = file.micros("handshake_ms", 1000, 50, 60_000);
        recoveryRampUs = file.micros("recover_ms", 2000, 0, 60_000);
        maxQueuedParts = file.integer("waiting", 64, 0, 4096);
        ConfigFile inbound = file.object("takes");
        maxInboundParts = inbound.integer("parts", 256, 1, 4096);
        maxCachedOutcomes = inbound.integer("remembered", 2048, 1, 1 << 20);
        maxCachedOutcomeBytes = 1024L * inbound.integer("remembered_kb", 1024, 64, 1 << 20);
        maxInboundConnections = inbound.integer("lines", 32, 1, 1024);
        Set<String> seenRouters = new HashSet<>();
        for (ConfigFile siteEntry : file.objects("sites")) {
            String remoteSite = checkedName(siteEntry, "site", siteEntry.text("site"));
            if (remoteSite.equals(site)) {
                throw siteEntry.invalid("site", "is this router's own: " + remoteSite);
            }
            for (ConfigFile routerEntry : siteEntry.objects("routers")) {
                List<InetSocketAddress> addresses = new ArrayList<>();
                for (String addressText : routerEntry.texts("lines")) {
                    addresses.add(checkedAddress(routerEntry, "lines", addressText));
                }
                if (addresses.isEmpty() || addresses.size() > 16) {
                    throw routerEntry.invalid("lines", "is no list of 1 to 16 addresses");
                }
                String remoteRouter =
                        checkedName(routerEntry, "router", routerEntry.text("router"));
                if (!seenRouters.add(remoteSite + "/" + remoteRouter)) {
                    throw routerEntry.invalid("router", "is there twice: " + remoteRouter);
                }
                remoteRouters.add(new RemoteRouter(remoteSite, remoteRouter, addresses));
            }
        }
        file.rejectUnknownKeys();
    }

    static String checkedName(ConfigFile file, String key, String name) {
        if (!name.matches(NAME_PATTERN)) {
            throw file.invalid(
                    key, "is no name of 1 to 64 letters, digits, '_', '.' or '-': " + name);
        }
        return name;
    }

    static InetSocketAddress checkedAddress(ConfigFile file, String key, String text) {
        try {
            return RouterConfig.parseAddress(text);
        } catch (IllegalArgumentException e) {
            throw file.invalid(key, "is no address with a port: " + text);
        }
    }

    static Map<String, byte[]> keys(ConfigFile keyRing) {
        Map<String, byte[]> all = new LinkedHashMap<>();
        for (String id : keyRing.keys()) {
            all.put(checkedName(keyRing, id, id), key(keyRing, id));
        }
        return all;
    }

    /**
     * Reads a key in hex. The message about an invalid key leaves the key out, since messages are
     * logged.
     */
    private static byte[] key(ConfigFile file, String id) {
        byte[] key = new byte[0];
        try {
            key = HexFormat.of().parseHex(file.text(id));
        } catch (IllegalArgumentException e) {
            // Reported below, like a key that is too short.
        }
        if (key.length < MIN_KEY_BYTES) {
            throw file.invalid(id, "is no key of at least " + MIN_KEY_BYTES + " bytes in hex");
        }
        return key;
    }
}

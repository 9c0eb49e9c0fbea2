package tinlink.emulator;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One site: its data nodes and discovery, and the files that its routers are started with. */
public final class EmulatedSite {
    /**
     * What a site is made of.
     *
     * @param settings of a router, as JSON: what its configuration has under that key
     */
    public record Plan(
            String name,
            List<Integer> cells,
            EmulatedNode.ServiceModel work,
            String settings,
            long seed) {}

    public final String name;
    public final List<EmulatedNode> nodes = new ArrayList<>();
    public final EmulatedDiscovery discovery;
    private final Plan plan;

    public EmulatedSite(EmulatorLoop emulatorLoop, RunLog runLog, Plan plan) throws IOException {
        this.plan = plan;
        name = plan.name();
        discovery = new EmulatedDiscovery(emulatorLoop);
        long seed = plan.seed();
        for (int cell : plan.cells()) {
            EmulatedNode n = new EmulatedNode(
                    emulatorLoop,
                    runLog,
                    name + "-" + cell + "-" + nodes.size(),
                    cell,
                    plan.work(),
                    seed++);
            nodes.add(n);
            discovery.publish(n, name, "in_service");
        }
    }

    /** A router of another site, as it is reached from here. */
    public record RemoteRouterLinks(String site, String router, List<InetSocketAddress> links) {}

    /**
     * Writes a router's two files into a folder.
     *
     * @param http2 keys of deploy/http2.json5, for a router that serves its nodes by it; may be
     *     empty
     * @param gateway keys of deploy/gateway.json5 beside the names, keys and sites; may be empty
     * @return its environment
     */
    public Map<String, String> router(
            Path folder,
            String router,
            String listen,
            String gatewayListen,
            long seed,
            String keys,
            String gateway,
            String http2,
            List<String> accepts,
            List<RemoteRouterLinks> far) {
        Map<String, List<String>> sites = new LinkedHashMap<>();
        for (RemoteRouterLinks f : far) {
            sites.computeIfAbsent(f.site(), s -> new ArrayList<>())
                    .add("{router: '" + f.router()
                            + "', lines: "
                            + f.links().stream()
                                    .map(a -> "'127.0.0.1:" + a.getPort() + "'")
                                    .toList()
                            + "}");
        }
        List<String> all = new ArrayList<>();
        sites.forEach((s, routers) -> all.add("{site: '" + s + "', routers: " + routers + "}"));
        try {
            Path config = Files.writeString(
                    folder.resolve(router + ".json"),
                    "{\"name\":\"" + router
                            + "\",\"listen\":\"" + listen + "\",\"discovery\":\"127.0.0.1:"
                            + discovery.address().getPort()
                            + "\",\"seed\":\"" + Long.toHexString(seed)
                            + "\",\"limits\":{\"sockets\":1024,"
                            + "\"memory_mb\":192},\"settings\":" + plan.settings() + "}");
            Path links = Files.writeString(
                    folder.resolve(router + "-gateway.json5"),
                    "{site: '" + name
                            + "', router: '" + router + "', listen: '" + gatewayListen + "',\n"
                            + keys + ",\n"
                            + (gateway.isEmpty() ? "" : gateway + ",\n")
                            + "accepts: "
                            + accepts.stream().map(s -> "'" + s + "'").toList() + ",\nsites: " + all
                            + "}\n");
            Map<String, String> env = new LinkedHashMap<>(Map.of(
                    "NODE_CONFIG",
                    config.toString(),
                    "NODE_GATEWAY",
                    links.toString(),
                    "NODE_LOG",
                    "WARNING"));
            if (!http2.isEmpty()) {
                env.put(
                        "NODE_HTTP2",
                        Files.writeString(
                                        folder.resolve(router + "-http2.json5"), "{" + http2 + "}")
                                .toString());
            }
            return env;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}

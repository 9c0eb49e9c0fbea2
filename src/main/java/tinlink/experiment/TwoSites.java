package tinlink.experiment;

import tinlink.config.RouterConfig;
import tinlink.emulator.EmulatedClient;
import tinlink.emulator.EmulatedLink;
import tinlink.emulator.EmulatedNode;
import tinlink.emulator.EmulatedSite;
import tinlink.emulator.EmulatorLoop;
import tinlink.emulator.RunLog;
import tinlink.router.Router;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Two whole sites on loopback: data nodes, discovery, routers that are real ones, and the lines
 * between them.
 */
public final class TwoSites implements AutoCloseable {
    /**
     * What two sites are made of.
     *
     * @param cells of each site, by its name
     * @param lines from each router to each of the other
     *     site's
     * @param http2 keys of each router's http2 file, as JSON5; empty: data nodes are served by
     *     frames
     * @param gateway further keys of each router's gateway file, as JSON5; may be empty
     * @param firstPort where the first router listens; 0 for any
     */
    public record Plan(
            Map<String, List<Integer>> cells,
            int allCells,
            int routers,
            int lines,
            EmulatedLink.LinkConditions there,
            EmulatedLink.LinkConditions back,
            EmulatedNode.ServiceModel work,
            String limits,
            String profiles,
            String info,
            String gateway,
            String http2,
            int firstPort,
            long seed) {}

    /** One router and what belongs to it. */
    public final class RunningRouter implements LoadGenerator.LookupTarget {
        public final String name;
        public final EmulatedSite site;
        public final EmulatedClient clients;
        Map<String, String> env;
        private final int port;
        private Router router;
        private Thread thread;

        private RunningRouter(String name, EmulatedSite site, int port) {
            this.name = name;
            this.site = site;
            this.port = port;
            clients = new EmulatedClient(emulatorLoop, null);
        }

        @Override
        public String name() {
            return name;
        }

        @Override
        public List<Integer> localCells() {
            return site.nodes.stream().map(x -> x.cell).distinct().toList();
        }

        @Override
        public List<Integer> remoteCells() {
            List<Integer> near = localCells();
            return sites.values().stream()
                    .filter(s -> s != site)
                    .flatMap(s -> s.nodes.stream())
                    .map(x -> x.cell)
                    .distinct()
                    .filter(c -> !near.contains(c))
                    .toList();
        }

        @Override
        public void send(
                LoadGenerator.LookupRecord a, Consumer<EmulatedClient.LookupResponse> hears) {
            clients.send(a.ask, hears);
        }

        /** Starts it, anew if it had run before; returns once clients can connect. */
        public void start() throws IOException, InterruptedException {
            RouterConfig from = new RouterConfig(env);
            Router r = new Router(from, from.decision.module);
            thread = new Thread(
                    () -> {
                        try {
                            r.run();
                        } catch (IOException e) {
                            throw new UncheckedIOException(e);
                        }
                    },
                    name);
            thread.setDaemon(true);
            thread.start();
            r.awaitListening();
            router = r;
            clients.connectTo(r.address());
            lines.forEach((ends, line) -> {
                if (ends.contains(">" + name + "#")) {
                    try {
                        line.target(r.gatewayAddress());
                    } catch (IOException e) {
                        throw new UncheckedIOException(e);
                    }
                }
            });
        }

        /** As a kill of its process: all its connections break. */
        public void kill() throws InterruptedException {
            router.stopNow();
            thread.join();
        }

        /** In order, as at a SIGTERM; returns when it is over. */
        public void stop() throws InterruptedException {
            router.stopAndWait();
        }

        public void reload() {
            router.reload();
        }

        /** Drains it for maintenance, or ends the drain. */
        public void drain(boolean draining) {
            router.setDraining(draining);
        }

        /** Whether a drain for maintenance waits for nothing any more. */
        public boolean drained() {
            return router.workInFlight() == 0;
        }

        /** Whether it reaches cells of another site. */
        public boolean joined() {
            return router.remoteCells() > 0;
        }

        public InetSocketAddress address() throws IOException {
            return router.address();
        }

        public InetSocketAddress gatewayAddress() throws IOException {
            return router.gatewayAddress();
        }

        public Path gatewayFile() {
            return Path.of(env.get("NODE_GATEWAY"));
        }

        /** By name, as they are now. */
        public long count(String counter) {
            return router.gatewayCount(counter);
        }
    }

    /** Limits of a router as emulated sites have them, as JSON. */
    public static final String LIMITS = "\"tryLimit\":3,\"secondCopies\":true,\"cancel\":true,"
            + "\"retryAfter\":true,\"maxRetryAfterMs\":1000,\"openCap\":2000,\"connectTimeoutMs\":250,"
            + "\"connIdleMs\":30000,\"streamsPerConn\":100";

    public static final String KEYS =
            "keys: {k1: '00112233445566778899aabbccddeeff'}, use_key: 'k1'";
    public final EmulatorLoop emulatorLoop = new EmulatorLoop();
    public final RunLog runLog = new RunLog(1 << 20);
    public final Map<String, EmulatedSite> sites = new LinkedHashMap<>();
    /** By name: the first letter of the site, and a number. */
    public final Map<String, RunningRouter> routers = new LinkedHashMap<>();
    /** By its ends and number, "e1>w2#0". */
    public final Map<String, EmulatedLink> lines = new TreeMap<>();

    private final Path folder;

    public TwoSites(Plan plan) throws IOException, InterruptedException {
        folder = Files.createTempDirectory("tinlink-sites");
        long seed = plan.seed();
        List<String> names = new ArrayList<>(plan.cells().keySet());
        int port = plan.firstPort();
        for (String name : names) {
            EmulatedSite site = new EmulatedSite(
                    emulatorLoop,
                    runLog,
                    new EmulatedSite.Plan(
                            name,
                            plan.cells().get(name),
                            plan.work(),
                            settings(plan, names, name),
                            seed += 1000));
            sites.put(name, site);
            for (int i = 1; i <= plan.routers(); i++) {
                String r = name.substring(0, 1) + i;
                routers.put(r, new RunningRouter(r, site, port));
                port += port > 0 ? 1 : 0;
            }
        }
        for (RunningRouter near : routers.values()) {
            List<EmulatedSite.RemoteRouterLinks> far = new ArrayList<>();
            for (RunningRouter f : routers.values()) {
                if (f.site != near.site) {
                    List<InetSocketAddress> at = new ArrayList<>();
                    for (int i = 0; i < plan.lines(); i++) {
                        EmulatedLink line = emulatorLoop.call(() -> line(plan));
                        lines.put(near.name + ">" + f.name + "#" + i, line);
                        at.add(line.address());
                    }
                    far.add(new EmulatedSite.RemoteRouterLinks(f.site.name, f.name, at));
                }
            }
            near.env = near.site.router(
                    folder,
                    near.name,
                    "127.0.0.1:" + near.port,
                    "127.0.0.1:0",
                    seed++,
                    KEYS,
                    plan.gateway(),
                    plan.http2(),
                    names.stream().filter(n -> !n.equals(near.site.name)).toList(),
                    far);
        }
        for (RunningRouter r : routers.values()) {
            r.start();
        }
    }

    private long lineSeed;

    private EmulatedLink line(Plan plan) {
        try {
            return new EmulatedLink(
                    emulatorLoop, plan.there(), plan.back(), plan.seed() + 77 * ++lineSeed);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String settings(Plan plan, List<String> names, String name) {
        return "{\"family\":\"fanout\",\"discovery\":\"pushed\",\"groupSize\":" + plan.routers()
                + ",\"zone\":"
                + names.indexOf(name) + ",\"stepMs\":5,\"localities\":["
                + String.join(",", names.stream().map(n -> "\"" + n + "\"").toList())
                + "],\"models\":[\"m\"],"
                + "\"familyInfo\":{\"sets\":" + plan.allCells() + ",\"slabs\":" + plan.allCells()
                + ",\"reach\":1,"
                + "\"bundleMax\":4,\"callMs\":1," + plan.info() + "},\"profiles\":["
                + plan.profiles()
                + "],\"limits\":{" + plan.limits()
                + "},\"rules\":{\"startCapacity\":0.2,\"coldMs\":0,"
                + "\"fallMultiple\":4,\"fallMs\":3000},\"charges\":{\"crossZone\":0.02}}";
    }

    /**
     * Waits until each router reaches all cells, its own and the other site's; false if it takes
     * too long.
     */
    public boolean joined(long mostMs) throws InterruptedException {
        for (long i = 0; i < mostMs / 10; i++) {
            if (routers.values().stream().allMatch(RunningRouter::joined)) {
                return true;
            }
            Thread.sleep(10);
        }
        return false;
    }

    @Override
    public void close() {
        routers.values().forEach(r -> r.router.stopNow());
        emulatorLoop.close();
    }
}

package tinlink.experiment.processes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import tinlink.emulator.EmulatedFleet;
import tinlink.emulator.EmulatedLink;
import tinlink.emulator.EmulatedNode;
import tinlink.emulator.EmulatorLoop;
import tinlink.emulator.RunLog;

import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Routers in processes of their own, and around them what is emulated here: data nodes, a discovery
 * for each, clients, and a line a direction between any two of them, so that each fault can be set
 * alone.
 */
public final class Fleet implements AutoCloseable {
    /**
     * What a fleet is made of.
     *
     * @param zones nodes and routers are dealt out among them in turn; the first half are one site,
     *     the rest another
     * @param bounds keys of work.json5's bounds, as JSON5
     * @param policy routers go by changes of policy; the last of them is a machine that can hold
     *     less
     */
    public record Plan(
            int routers,
            int voters,
            int blocks,
            int holders,
            int zones,
            String bounds,
            boolean policy,
            long seed) {
        public Plan(
                int routers,
                int voters,
                int blocks,
                int holders,
                int zones,
                String bounds,
                long seed) {
            this(routers, voters, blocks, holders, zones, bounds, false, seed);
        }
    }

    /**
     * A router's answer to an operator.
     *
     * @param status 0 where nobody answered
     */
    public record ControlResponse(int status, JsonNode body) {
        public String message() {
            return body.path("said").asText();
        }
    }

    public static final String TOKEN = "for-tests-on-loopback-only";
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String KEYS =
            "keys: {k1: '00112233445566778899aabbccddeeff'}, use_key: 'k1'";
    public final EmulatorLoop emulatorLoop = new EmulatorLoop();
    public final RunLog runLog = new RunLog(1 << 20);
    /** What operators and faults do to its machines. */
    public final MachineHistory history = new MachineHistory();

    public final EmulatedFleet emulated;
    /** By name. */
    public final Map<String, RouterProcess> routers = new LinkedHashMap<>();

    public final Map<String, ClientGroup> clientGroups = new LinkedHashMap<>();
    /**
     * What one router says to another, by both names as "r1>r2"; who was called answers on a line
     * of its own.
     */
    public final Map<String, EmulatedLink> links = new TreeMap<>();

    public final Path folder;
    private final Plan plan;

    public Fleet(Plan plan) throws IOException {
        this.plan = plan;
        folder = Files.createTempDirectory("tinlink-processes");
        List<EmulatedFleet.NodePlacement> spots = new ArrayList<>();
        for (int b = 0; b < plan.blocks(); b++) {
            for (int h = 0; h < plan.holders(); h++) {
                spots.add(new EmulatedFleet.NodePlacement("n" + b + "-" + h, b, zone(b + h)));
            }
        }
        emulated = new EmulatedFleet(
                emulatorLoop,
                runLog,
                spots,
                new EmulatedNode.ServiceModel(4, 64, 3000, 0.4),
                new EmulatedLink.LinkConditions(200, 200, 0),
                plan.seed());
        List<String> names =
                IntStream.range(0, plan.routers()).mapToObj(i -> "r" + i).toList();
        for (String a : names) {
            for (String b : names) {
                if (!a.equals(b)) {
                    links.put(a + ">" + b, emulated.newLink());
                }
            }
        }
        for (int i = 0; i < names.size(); i++) {
            addRouter(names.get(i), i, names);
        }
    }

    public String zone(int n) {
        return "z" + n % plan.zones();
    }

    /** The site of a zone: the first half of the zones is one. */
    public String site(String zone) {
        return Integer.parseInt(zone.substring(1)) < (plan.zones() + 1) / 2 ? "s0" : "s1";
    }

    public String zoneOf(RouterProcess c) {
        return zone(Integer.parseInt(c.name.substring(1)));
    }

    private void addRouter(String name, int number, List<String> names) throws IOException {
        Path own = Files.createDirectories(folder.resolve(name));
        EmulatedFleet.RouterView view = emulated.addRouterView();
        Path config = Files.writeString(
                own.resolve("config.json"),
                "{\"name\":\"" + name
                        + "\",\"listen\":\"127.0.0.1:0\",\"discovery\":\""
                        + EmulatedFleet.address(view.toDiscovery.address()) + "\",\"seed\":\""
                        + Long.toHexString(plan.seed() * 31 + number)
                        + "\",\"limits\":{\"sockets\":1024,"
                        + "\"memory_mb\":192},\"settings\":"
                        + settings(plan.policy() && number == names.size() - 1)
                        + "}");
        List<String> others = new ArrayList<>();
        for (String o : names) {
            if (!o.equals(name)) {
                others.add(o + ": '"
                        + EmulatedFleet.address(links.get(name + ">" + o).address()) + "'");
            }
        }
        Path peers = Files.writeString(
                own.resolve("peers.json5"),
                "{cluster: 'lab', zone: '" + zone(number)
                        + "', listen: '127.0.0.1:0', folder: '" + own.resolve("disk")
                        + "',\npeers: {"
                        + String.join(", ", others) + "},\nvoters: ['"
                        + String.join("', '", names.subList(0, plan.voters())) + "'],\n" + KEYS
                        + ", round_ms: 250, beat_ms: 200, idle_ms: 10000}\n");
        Map<String, List<String>> sites = new TreeMap<>();
        IntStream.range(0, plan.zones())
                .mapToObj(this::zone)
                .forEach(z ->
                        sites.computeIfAbsent(site(z), s -> new ArrayList<>()).add("'" + z + "'"));
        Path work = Files.writeString(
                own.resolve("work.json5"),
                "{sites: " + sites.toString().replace('=', ':')
                        + ",\nbounds: {" + plan.bounds() + "},\npolicy: " + plan.policy()
                        + ",\nwatch: {probe_ms: 250, misses: 2, old_ms: 1500, "
                        + "report_ms: 200}, await_ms: 2000,\ncontrol: {listen: '127.0.0.1:0', token: '"
                        + TOKEN
                        + "', answer_ms: 2000}}\n");
        RouterProcess c = new RouterProcess(
                name,
                own,
                Map.of(
                        "NODE_CONFIG",
                        config.toString(),
                        "NODE_PEERS",
                        peers.toString(),
                        "NODE_WORK",
                        work.toString(),
                        "NODE_LOG",
                        "INFO"));
        routers.put(name, c);
        clientGroups.put(
                name,
                new ClientGroup(
                        this, c, IntStream.range(0, plan.blocks()).boxed().toList()));
    }

    private String settings(boolean small) {
        List<String> zones = IntStream.range(0, plan.zones())
                .mapToObj(z -> "\"" + zone(z) + "\"")
                .toList();
        return "{\"family\":\"fanout\",\"discovery\":\"pushed\",\"groupSize\":" + plan.routers()
                + ",\"zone\":0,\"stepMs\":5,\"localities\":" + zones + ",\"models\":[\"m\"],"
                + "\"familyInfo\":{\"sets\":" + plan.blocks() + ",\"slabs\":" + plan.blocks()
                + ",\"reach\":1,\"bundleMax\":4,\"callMs\":1,\"completeFrom\":[1,1,1],"
                + "\"minShare\":[0.3,1,1],\"incompleteWorth\":[0.5,0,0]},\"profiles\":["
                + profile("find", "pure", 0) + "," + profile("pay", "token", 1500) + ","
                + profile("once", "side_effect", 0)
                + "],\"limits\":{\"tryLimit\":3,\"secondCopies\":true,"
                + "\"cancel\":true,\"retryAfter\":true,\"maxRetryAfterMs\":1000,\"openCap\":"
                + (small ? 1000 : 2000) + ","
                + "\"connectTimeoutMs\":250,\"connIdleMs\":30000,\"streamsPerConn\":100},"
                + "\"rules\":{\"startCapacity\":0.2,\"coldMs\":0,\"fallMultiple\":4,\"fallMs\":3000},"
                + "\"charges\":{\"crossZone\":0.0}}";
    }

    private static String profile(String name, String effect, long windowMs) {
        return "{\"name\":\"" + name + "\",\"effect\":\"" + effect
                + "\",\"onTimeMs\":1000,\"deadlineMs\":" + ClientGroup.BUDGET_MS + ",\"windowMs\":"
                + windowMs + ",\"worth\":1,\"lateWorth\":0.3}";
    }

    // ---- Its routers. ----

    /** Starts all that don't run, and waits until they serve. */
    public void startAll() throws IOException, InterruptedException {
        List<RouterProcess> some =
                routers.values().stream().filter(c -> !c.isUp()).toList();
        for (RouterProcess c : some) {
            c.start();
        }
        for (RouterProcess c : some) {
            connectPeers(c);
        }
        for (RouterProcess c : some) {
            c.awaitServing(30_000);
            connectClients(c);
        }
    }

    public void start(RouterProcess c) throws IOException, InterruptedException {
        c.start();
        connectPeers(c);
        c.awaitServing(30_000);
        connectClients(c);
    }

    /** Others reach it at its new address. */
    private void connectPeers(RouterProcess c) throws IOException, InterruptedException {
        c.awaitListening(30_000);
        if (c.peerAddress() != null) {
            links.forEach((ends, l) -> {
                if (ends.endsWith(">" + c.name)) {
                    l.target(c.peerAddress());
                }
            });
        }
    }

    private void connectClients(RouterProcess c) throws IOException {
        if (c.clientAddress() == null) {
            throw new IllegalStateException(c.name + " has ended:\n" + c.output());
        }
        clientGroups.get(c.name).connectTo(c.clientAddress());
    }

    /** Cuts what the first says to the second, and what was on its way. */
    public void cut(String a, String b) {
        links.get(a + ">" + b).blackhole(true, true);
    }

    public void cutBoth(String a, String b) {
        cut(a, b);
        cut(b, a);
    }

    public void heal(String a, String b) {
        links.get(a + ">" + b).heal();
    }

    public void healAll() {
        links.values().forEach(EmulatedLink::heal);
    }

    /** All lines between routers of which one is of these and one is not. */
    public void isolate(Predicate<RouterProcess> some) {
        for (RouterProcess a : routers.values()) {
            for (RouterProcess b : routers.values()) {
                if (some.test(a) && !some.test(b)) {
                    cutBoth(a.name, b.name);
                }
            }
        }
    }

    public Collection<RouterProcess> running() {
        return routers.values().stream().filter(c -> c.isUp() && !c.isPaused()).toList();
    }

    /** Who leads, by the word of most that are asked; null where none is known. */
    public RouterProcess leader() {
        Map<String, Integer> votes = new TreeMap<>();
        for (RouterProcess c : running()) {
            String l = send(c, Map.of("do", "router")).body().path("leader").asText();
            if (!l.isEmpty()) {
                votes.merge(l, 1, Integer::sum);
            }
        }
        return votes.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .map(e -> routers.get(e.getKey()))
                .orElse(null);
    }

    /** Waits until all that run know one leader and count as routers that may serve. */
    public void awaitAgreed(long mostMs) throws InterruptedException {
        await(mostMs, "all know one leader", () -> {
            List<JsonNode> all = running().stream()
                    .map(c -> send(c, Map.of("do", "router")).body())
                    .toList();
            return all.stream()
                            .allMatch(b -> b.path("known").asBoolean()
                                    && !b.path("leader").asText().isEmpty())
                    && all.stream()
                                    .map(b -> b.path("leader").asText())
                                    .distinct()
                                    .count()
                            == 1;
        });
    }

    /**
     * Looks until it is so. @throws IllegalStateException after that time, naming what was waited
     * for
     */
    public static void await(long mostMs, String what, Condition is) throws InterruptedException {
        long end = System.nanoTime() + 1_000_000 * mostMs;
        while (!is.isMet()) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException("waited " + mostMs + " ms for: " + what);
            }
            Thread.sleep(50);
        }
    }

    /** What is waited for. */
    public interface Condition {
        boolean isMet() throws InterruptedException;
    }

    // ---- Operators' words. ----

    /** Says it to that router's control address. */
    public static ControlResponse send(RouterProcess c, Map<String, ?> what) {
        return send(c, TOKEN, what);
    }

    public static ControlResponse send(RouterProcess c, String token, Map<String, ?> what) {
        InetSocketAddress at = c.controlAddress();
        if (at == null || !c.isUp() || c.isPaused()) {
            return new ControlResponse(0, JSON.createObjectNode());
        }
        try {
            HttpURLConnection h = (HttpURLConnection)
                    new URL("http://127.0.0.1:" + at.getPort() + "/work").openConnection();
            h.setConnectTimeout(1000);
            h.setReadTimeout(4000);
            h.setRequestProperty("Authorization", "Bearer " + token);
            h.setDoOutput(true);
            h.getOutputStream().write(JSON.writeValueAsBytes(what));
            int status = h.getResponseCode();
            try (InputStream in = status < 400 ? h.getInputStream() : h.getErrorStream()) {
                return new ControlResponse(
                        status,
                        JSON.readTree(new String(in.readAllBytes(), StandardCharsets.UTF_8)));
            }
        } catch (IOException e) {
            return new ControlResponse(0, JSON.createObjectNode());
        }
    }

    /** A machine's state in a request, by that router; empty where it does not know. */
    public static String state(RouterProcess c, String request, String machine) {
        for (JsonNode m : send(c, Map.of("do", "show", "id", request))
                .body()
                .path("request")
                .path("machines")) {
            if (m.path("machine").asText().equals(machine)) {
                return m.path("state").asText();
            }
        }
        return "";
    }

    /** Ends all children by their own ids, and what is emulated. */
    @Override
    public void close() throws IOException {
        for (RouterProcess c : routers.values()) {
            try {
                c.kill();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        emulatorLoop.close();
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path p : all.sorted(java.util.Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(p);
            }
        }
    }
}

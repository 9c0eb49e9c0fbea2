package tinlink.experiment.scale;

import tinlink.emulator.EmulatedFleet;
import tinlink.emulator.EmulatedLink;
import tinlink.emulator.EmulatedNode;
import tinlink.emulator.EmulatorLoop;
import tinlink.emulator.RunLog;
import tinlink.experiment.processes.RouterProcess;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** Hollow routers in a few processes, real ones each in its own, and what they find around them. */
final class ControlFleet implements AutoCloseable {
    private static final long MOST_START_MS = 90_000;
    private static final long MOST_ACQUAINTED_MS = 60_000;
    private static final long LOOK_EVERY_MS = 50;
    private static final long LOOK_SELDOM_MS = 1000;
    /** For one alone as deploy/balancer.toml has it; for many, so much each. */
    private static final int ALONE_HEAP_MB = 64;

    private static final int SHARED_HEAP_MB = 12;

    final ControlPlan plan;
    private final Path folder;
    private final ControlFiles files;
    private final HollowNodes nodes;
    private final List<HollowProcess> processes = new ArrayList<>();
    private final Map<String, HollowProcess> byRouter = new LinkedHashMap<>();
    private final Map<String, RouterProcess> real = new LinkedHashMap<>();
    private final EmulatorLoop emulatorLoop = new EmulatorLoop();
    /** Routers that are down on purpose. */
    private final List<String> down = new ArrayList<>();

    private Map<String, String> voters = new LinkedHashMap<>();
    private int leastAlive;
    private long acquaintedMs;

    ControlFleet(ControlPlan plan) throws IOException {
        this.plan = plan;
        folder = Files.createTempDirectory("tinlink-scale");
        files = new ControlFiles(plan, folder);
        nodes = new HollowNodes(plan.nodes());
    }

    /** Starts all of them and waits until all know each other. */
    void start() throws IOException, InterruptedException {
        plan.voterNames().forEach(v -> voters.put(v, "127.0.0.1:1"));
        for (String v : plan.voterNames()) {
            process(List.of(v), ALONE_HEAP_MB);
        }
        voters = open(processes);
        for (HollowProcess p : processes) {
            p.ask(join());
        }
        until("a leader", () -> !leader().isEmpty());
        List<HollowProcess> ordinary = new ArrayList<>();
        for (String name : plan.aloneNames()) {
            ordinary.add(process(List.of(name), ALONE_HEAP_MB));
        }
        List<String> shared = plan.sharedNames();
        int count = (shared.size() + plan.perProcess() - 1) / plan.perProcess();
        for (int i = 0; i < count; i++) {
            List<String> some =
                    shared.subList(shared.size() * i / count, shared.size() * (i + 1) / count);
            ordinary.add(process(some, ALONE_HEAP_MB + SHARED_HEAP_MB * some.size()));
        }
        open(ordinary);
        for (HollowProcess p : ordinary) {
            p.ask(join());
            until(
                    "the routers of " + p.names.get(0),
                    () -> figures(p, false).routers.stream().allMatch(r -> r.known));
        }
        startReal();
        until(
                "all are enrolled",
                () -> states().stream().allMatch(s -> s.enrolled == plan.routers()));
        awaitAcquainted();
    }

    /** Rumours take minutes where many have started at once: what is known after a bounded time has to do. */
    private void awaitAcquainted() throws IOException, InterruptedException {
        long from = System.nanoTime();
        long end = from + 1_000_000 * MOST_ACQUAINTED_MS;
        do {
            Thread.sleep(LOOK_SELDOM_MS);
            leastAlive = states().stream().mapToInt(s -> s.alive).min().orElse(0);
        } while (leastAlive < plan.routers() && System.nanoTime() < end);
        acquaintedMs = (System.nanoTime() - from) / 1_000_000;
    }

    /** Routers held to be alive by the one that knows fewest, once all were enrolled. */
    int leastAlive() {
        return leastAlive;
    }

    /** How long that was waited for. */
    long acquaintedMs() {
        return acquaintedMs;
    }

    private HollowProcess process(List<String> names, int heapMb) throws IOException {
        HollowProcess p = new HollowProcess(names, heapMb, folder.resolve(names.get(0) + ".log"));
        processes.add(p);
        names.forEach(n -> byRouter.put(n, p));
        return p;
    }

    /** @return by router, where others reach it */
    private Map<String, String> open(List<HollowProcess> some) throws IOException {
        for (HollowProcess p : some) {
            Map<String, Object> routers = new LinkedHashMap<>();
            for (String name : p.names) {
                routers.put(name, files.write(name, voters, "127.0.0.1:1"));
            }
            p.send(Map.of("do", "open", "routers", routers, "nodes", nodes.list()));
        }
        Map<String, String> addresses = new LinkedHashMap<>();
        for (HollowProcess p : some) {
            p.answer()
                    .properties()
                    .forEach(a -> addresses.put(a.getKey(), a.getValue().asText()));
        }
        return addresses;
    }

    private Map<String, Object> join() {
        return Map.of("do", "join", "voters", voters);
    }

    private void startReal() throws IOException, InterruptedException {
        EmulatedFleet around = new EmulatedFleet(
                emulatorLoop,
                new RunLog(1),
                List.of(),
                new EmulatedNode.ServiceModel(1, 1, 1000, 0.4),
                new EmulatedLink.LinkConditions(0, 0, 0),
                plan.seed());
        for (String name : plan.realNames()) {
            String discovery =
                    EmulatedFleet.address(around.addRouterView().toDiscovery.address());
            RouterProcess child = new RouterProcess(
                    name, folder.resolve(name), files.write(name, voters, discovery));
            real.put(name, child);
            child.start();
        }
        for (RouterProcess child : real.values()) {
            child.awaitListening(MOST_START_MS);
        }
    }

    int processCount() {
        return processes.size() + real.size() + 1;
    }

    Collection<RouterProcess> real() {
        return real.values();
    }

    private static HollowProcess.Figures figures(HollowProcess p, boolean collect)
            throws IOException {
        p.sendFigures(collect);
        return p.figures();
    }

    /** Of all hollow routers at nearly the same moment. */
    Map<HollowProcess, HollowProcess.Figures> figures(boolean collect) throws IOException {
        for (HollowProcess p : processes) {
            p.sendFigures(collect);
        }
        Map<HollowProcess, HollowProcess.Figures> all = new LinkedHashMap<>();
        for (HollowProcess p : processes) {
            all.put(p, p.figures());
        }
        return all;
    }

    List<HollowState> states() throws IOException {
        return figures(false).values().stream().flatMap(f -> f.routers.stream()).toList();
    }

    /** Who leads by its own word; empty where nobody does. */
    String leader() throws IOException {
        for (String v : plan.voterNames()) {
            if (!down.contains(v)) {
                for (HollowState s : figures(byRouter.get(v), false).routers) {
                    if (s.leads) {
                        return s.name;
                    }
                }
            }
        }
        return "";
    }

    /** At the leader, as an operator would. */
    void propose(String id, String text) throws IOException {
        String leader = leader();
        if (!leader.isEmpty()) {
            byRouter.get(leader)
                    .ask(Map.of("do", "propose", "router", leader, "id", id, "text", text));
        }
    }

    /** By router that is up and takes lookups by that epoch: since when, microseconds of the shared clock. */
    Map<String, Long> taken(long epoch) throws IOException {
        for (HollowProcess p : processes) {
            p.send(Map.of("do", "taken", "epoch", epoch));
        }
        Map<String, Long> all = new LinkedHashMap<>();
        for (HollowProcess p : processes) {
            p.answer()
                    .properties()
                    .forEach(t -> all.put(t.getKey(), t.getValue().asLong()));
        }
        return all;
    }

    int hollowUp() {
        return byRouter.size() - down.size();
    }

    /** As by a kill: the others hear nothing of it. */
    void stop(String router) throws IOException {
        byRouter.get(router).ask(HollowProcess.command("stop", router));
        down.add(router);
    }

    /** Starts it again, with its folder. */
    void start(String router) throws IOException {
        byRouter.get(router).ask(HollowProcess.command("start", router));
        down.remove(router);
    }

    /** A router that has never been there joins, in the process of an ordinary one that is alone. */
    void add(String name) throws IOException {
        HollowProcess process = byRouter.get(plan.aloneNames().get(0));
        process.ask(Map.of(
                "do",
                "open",
                "routers",
                Map.of(name, files.write(name, voters, "127.0.0.1:1")),
                "nodes",
                nodes.list()));
        process.ask(join());
        byRouter.put(name, process);
    }

    /** One hollow router's state. */
    HollowState state(String name) throws IOException {
        return figures(byRouter.get(name), false).routers.stream()
                .filter(s -> s.name.equals(name))
                .findFirst()
                .orElseThrow(() -> new IOException("no such router: " + name));
    }

    /** Something that is looked at until it is so. */
    interface Condition {
        boolean holds() throws IOException;
    }

    static void until(String what, Condition condition) throws IOException, InterruptedException {
        until(what, MOST_START_MS, condition);
    }

    static void until(String what, long mostMs, Condition condition)
            throws IOException, InterruptedException {
        long end = System.nanoTime() + 1_000_000 * mostMs;
        while (!condition.holds()) {
            if (System.nanoTime() > end) {
                throw new IOException("waited " + mostMs + " ms for: " + what);
            }
            Thread.sleep(LOOK_EVERY_MS);
        }
    }

    @Override
    public void close() throws IOException {
        processes.forEach(HollowProcess::close);
        for (RouterProcess child : real.values()) {
            try {
                child.kill();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        emulatorLoop.close();
        nodes.close();
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path p : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(p);
            }
        }
    }
}

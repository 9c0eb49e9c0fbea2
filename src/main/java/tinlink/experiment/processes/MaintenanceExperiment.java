package tinlink.experiment.processes;

import tinlink.experiment.LoadGenerator;
import tinlink.experiment.LookupRules;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The experiment of work on machines: routers in processes of their own, load through all of them,
 * requests for nodes and routers at several of them, and faults to and between the processes along
 * a time line.
 */
public final class MaintenanceExperiment {
    private static final int HOLDERS = 3;
    private static final int FLOOR = 2;
    private static final double SHARE = 0.5;
    private static final int ZONES = 3;
    private static final long OUT_MS = 700;
    private static final double PER_SECOND = 15;
    /**
     * After the last fault has healed, nothing that could be granted may stand still for so long.
     */
    private static final long REST_MS = 10_000;

    private static final List<LoadGenerator.LookupKind> KINDS = List.of(
            new LoadGenerator.LookupKind("find", false, false, 0, 0.3),
            new LoadGenerator.LookupKind("pay", true, false, 1_500_000, 1),
            new LoadGenerator.LookupKind("once", false, true, 0, 1));
    private final long seed;
    private final int routers;
    private final int nodes;
    private final int faults;
    private final double seconds;
    private final Path file;
    private final Path folder;

    /** @param file faults as they were printed before; null for those of the seed */
    public MaintenanceExperiment(
            long seed, int routers, int nodes, int faults, double seconds, Path file, Path folder) {
        this.seed = seed;
        this.routers = routers;
        this.nodes = nodes;
        this.faults = faults;
        this.seconds = seconds;
        this.file = file;
        this.folder = folder;
    }

    /** Returns whether the rules were kept and nothing was stuck. */
    public boolean run() throws IOException, InterruptedException {
        Logger.getLogger("tinlink")
                .setLevel(Level.SEVERE); // Lines that go down are the purpose here.
        int voters = routers < 5 ? 3 : routers < 20 ? 5 : 7;
        Fleet.Plan plan = new Fleet.Plan(
                routers,
                voters,
                Math.max(1, nodes / HOLDERS),
                HOLDERS,
                ZONES,
                "holders: " + FLOOR + ", zone_share: " + SHARE + ", site_share: " + SHARE
                        + ", warm_ms: 300, begin_ms: 3000, aging_ms: 5000, kept: 5000, most: 5000",
                seed);
        try (Fleet fleet = new Fleet(plan)) {
            MachineHistory history = fleet.history;
            fleet.startAll();
            fleet.awaitAgreed(30_000);
            RouterProcess first = fleet.routers.get("r0");
            Fleet.await(20_000, "all machines are known", () -> {
                long known = 0;
                for (var m : Fleet.send(first, Map.of("do", "machines")).body().path("machines")) {
                    known += m.path("sound").asBoolean() ? 1 : 0;
                }
                return known == routers + fleet.emulated.nodes.size();
            });
            List<FaultInjector.Fault> line = schedule(fleet, voters);
            LoadGenerator load = new LoadGenerator(fleet.emulatorLoop, fleet.clientGroups.values());
            load.run(
                    new SplittableRandom(seed + 1),
                    "q",
                    seconds + 6,
                    PER_SECOND,
                    KINDS,
                    0,
                    ClientGroup.BUDGET_MS);
            SimulatedOperators ops = new SimulatedOperators(fleet, seed + 2);
            Thread asks = asks(fleet, ops, new SplittableRandom(seed + 3));
            FaultInjector f = new FaultInjector(fleet);
            f.run(line);
            asks.join();
            long healed = System.nanoTime();
            ops.awaitRest(REST_MS, 6 * REST_MS);
            Map<String, String> stuck = ops.open();
            double rest = (System.nanoTime() - healed) / 1e9;
            for (RouterProcess c :
                    stuck.isEmpty() ? List.<RouterProcess>of() : List.copyOf(fleet.running())) {
                System.out.println(
                        c.name + " " + Fleet.send(c, Map.of("do", "router")).body() + " "
                                + Fleet.send(c, Map.of("do", "machines")).body());
            }
            ops.end();
            load.await(Math.round(1000 * seconds) + 8000);
            Thread.sleep(
                    300); // What is sent after a final answer, or runs after a nack, would come
            // now.
            return report(fleet, plan, history, ops, f, load, line, stuck, rest);
        }
    }

    private List<FaultInjector.Fault> schedule(Fleet fleet, int voters) throws IOException {
        List<FaultInjector.Fault> line = new ArrayList<>();
        if (file != null) {
            for (String l : Files.readAllLines(file)) {
                if (!l.isBlank() && !l.startsWith("#")) {
                    line.add(FaultInjector.Fault.of(l));
                }
            }
            return line;
        }
        List<String> names = List.copyOf(fleet.routers.keySet());
        return FaultInjector.schedule(
                seed,
                names,
                names.subList(0, voters),
                List.copyOf(fleet.emulated.nodes.keySet()),
                faults,
                Math.round(1000 * seconds * 0.75));
    }

    /**
     * Requests over the time: nodes, routers, a whole block or two holders of one in the same
     * instant.
     */
    private Thread asks(Fleet fleet, SimulatedOperators ops, SplittableRandom r) {
        List<String> nodeNames = List.copyOf(fleet.emulated.nodes.keySet());
        List<String> routerNames = List.copyOf(fleet.routers.keySet());
        long everyMs = Math.max(250, Math.round(1000 * seconds * 0.6 / 24));
        Thread t = new Thread(
                () -> {
                    try {
                        for (int i = 0; i < 24; i++) {
                            Thread.sleep(everyMs / 2 + r.nextLong(everyMs));
                            String node = nodeNames.get(r.nextInt(nodeNames.size()));
                            String block = node.substring(0, node.indexOf('-'));
                            switch (r.nextInt(6)) {
                                case 0 ->
                                    ops.submit(
                                            "q" + i,
                                            List.of(routerNames.get(r.nextInt(routerNames.size()))),
                                            OUT_MS,
                                            r.nextInt(10));
                                case 1 ->
                                    ops.submit(
                                            "q" + i,
                                            nodeNames.stream()
                                                    .filter(n -> n.startsWith(block + "-"))
                                                    .toList(),
                                            OUT_MS,
                                            r.nextInt(10));
                                case 2 -> {
                                    ops.submit(
                                            "q" + i, List.of(block + "-0"), OUT_MS, r.nextInt(10));
                                    ops.submit(
                                            "q" + i + "b",
                                            List.of(block + "-1"),
                                            OUT_MS,
                                            r.nextInt(10));
                                }
                                default ->
                                    ops.submit("q" + i, List.of(node), OUT_MS, r.nextInt(10));
                            }
                            if (r.nextInt(8) == 0) {
                                ops.callOff("q" + i);
                            }
                        }
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                "asks");
        t.setDaemon(true);
        t.start();
        return t;
    }

    /** The bounds as the checks count them, which share nothing with the routers' own. */
    private static MaintenanceChecks checks(Fleet fleet, Fleet.Plan plan) {
        List<MaintenanceChecks.MachinePlacement> spots = new ArrayList<>();
        fleet.emulated
                .placements
                .values()
                .forEach(s -> spots.add(new MaintenanceChecks.MachinePlacement(
                        s.uid(), s.cell(), s.zone(), fleet.site(s.zone()), false)));
        int i = 0;
        for (RouterProcess c : fleet.routers.values()) {
            spots.add(new MaintenanceChecks.MachinePlacement(
                    c.name, -1, fleet.zoneOf(c), fleet.site(fleet.zoneOf(c)), i++ < plan.voters()));
        }
        return new MaintenanceChecks(spots, new MaintenanceChecks.Limits(FLOOR, SHARE, 4_000_000));
    }

    private boolean report(
            Fleet fleet,
            Fleet.Plan plan,
            MachineHistory history,
            SimulatedOperators ops,
            FaultInjector f,
            LoadGenerator load,
            List<FaultInjector.Fault> line,
            Map<String, String> stuck,
            double rest)
            throws IOException {
        MaintenanceChecks checks = checks(fleet, plan);
        checks.check(history.events());
        LookupRules rules = new LookupRules();
        List<LoadGenerator.LookupRecord> all = load.records(a -> true);
        fleet.emulatorLoop.run(() -> rules.check(all, fleet.runLog));
        Map<String, Integer> ends = new java.util.TreeMap<>();
        ops.ended().values().forEach(s -> ends.merge(s, 1, Integer::sum));
        int granted = (int) history.events().stream()
                .filter(e -> e.what() == MachineHistory.EventKind.TAKEN)
                .count();
        double waits = waits(history);
        List<String> broken = new ArrayList<>();
        note(broken, "below_floor", checks.belowFloor);
        note(broken, "both_out", checks.bothOut);
        note(broken, "double_grant", checks.doubleGrant);
        note(broken, "stale_acts", List.copyOf(ops.staleActs));
        note(broken, "lost", rules.lost);
        note(broken, "late", rules.late);
        note(broken, "repeated", rules.repeated);
        note(broken, "dishonest", rules.dishonest);
        note(broken, "faults", List.copyOf(ops.faults));
        note(
                broken,
                "stuck",
                List.copyOf(stuck.entrySet()).stream().map(String::valueOf).toList());
        long satisfied =
                all.stream().filter(LoadGenerator.LookupRecord::isSatisfied).count();
        long gone = all.stream().filter(a -> a.excused).count();
        List<String> report = new ArrayList<>();
        report.add(String.format(
                Locale.ROOT,
                "seed %d: %d router processes, %d voters, %d emulated nodes in %d "
                        + "blocks of %d, %d zones of two sites; floor %d, shares %.1f",
                seed,
                routers,
                plan.voters(),
                fleet.emulated.nodes.size(),
                plan.blocks(),
                HOLDERS,
                ZONES,
                FLOOR,
                SHARE));
        report.add(String.format(
                Locale.ROOT,
                "machines by end: %s; at rest %.1f s after the last fault",
                ends,
                rest));
        report.add(String.format(
                Locale.ROOT,
                "lookups: %d, satisfied %d, with a router that was taken from " + "them %d",
                all.size(),
                satisfied,
                gone));
        report.add("faults, as they may be played again with --replay:");
        line.forEach(x -> report.add("    " + x));
        broken.forEach(b -> report.add("broken: " + b));
        Files.createDirectories(folder);
        Files.write(folder.resolve("work.txt"), report);
        Files.write(
                folder.resolve("faults.txt"), line.stream().map(String::valueOf).toList());
        Files.write(
                folder.resolve("history.txt"),
                history.events().stream().map(String::valueOf).toList());
        report.forEach(System.out::println);
        int requests = (int) history.events().stream()
                .filter(e -> e.what() == MachineHistory.EventKind.ASKED)
                .map(MachineHistory.Event::request)
                .distinct()
                .count();
        System.out.printf(
                Locale.ROOT,
                "work: processes=%d requests=%d granted=%d finished=%d "
                        + "kills=%d cuts=%d "
                        + "pauses=%d below_floor=%d both_out=%d double_grant=%d "
                        + "stale_acts=%d lost=%d late=%d "
                        + "repeated=%d dishonest=%d wait_vs_serial=%.2f stuck=%d   %s%n",
                routers,
                requests,
                granted,
                ends.getOrDefault("back", 0),
                f.kills,
                f.cuts,
                f.pauses,
                checks.belowFloor.size(),
                checks.bothOut.size(),
                checks.doubleGrant.size(),
                ops.staleActs.size(),
                rules.lost.size(),
                rules.late.size(),
                rules.repeated.size(),
                rules.dishonest.size(),
                waits,
                stuck.size(),
                broken.isEmpty() ? "RULES KEPT" : "RULES BROKEN: " + String.join("; ", broken));
        return broken.isEmpty();
    }

    private static void note(List<String> broken, String what, List<String> found) {
        if (!found.isEmpty()) {
            broken.add(what + " " + found.size() + " (" + found.get(0) + ")");
        }
    }

    /**
     * The mean wait from asking to being out, over what it would have been one by one in the same
     * order, each out as long as it was: the next one begins as the one before is over, or is asked
     * for.
     */
    private static double waits(MachineHistory history) {
        Map<String, Long> asked = new HashMap<>();
        Map<String, Long> out = new HashMap<>();
        record Job(long asked, long out, long over) {}
        List<Job> jobs = new ArrayList<>();
        for (MachineHistory.Event e : history.events()) {
            String key = e.request() + "/" + e.machine();
            switch (e.what()) {
                case ASKED -> asked.put(key, e.atUs());
                case TAKEN -> out.put(key, e.atUs());
                case OVER -> {
                    if (out.containsKey(key)) {
                        jobs.add(new Job(asked.get(key), out.get(key), e.atUs()));
                    }
                }
                default -> {}
            }
        }
        jobs.sort(Comparator.comparingLong(Job::out));
        double was = 0;
        double oneByOne = 0;
        long free = Long.MIN_VALUE;
        for (Job j : jobs) {
            long begins = Math.max(free, j.asked);
            free = begins + (j.over - j.out);
            oneByOne += begins - j.asked;
            was += j.out - j.asked;
        }
        return oneByOne == 0 ? 0 : was / oneByOne;
    }
}

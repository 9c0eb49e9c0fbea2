package tinlink.experiment.processes;

import com.fasterxml.jackson.databind.JsonNode;

import org.HdrHistogram.Histogram;

import tinlink.emulator.RunLog;
import tinlink.experiment.LoadGenerator;
import tinlink.experiment.LookupRules;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The experiment of changes of policy: routers in processes of their own, load through all of them,
 * two policies one after the other again and again, and faults to and between the processes. By
 * which policy a lookup was taken is seen from the time that its first part call gives the data
 * node; when, from when it was asked and when that call came.
 */
public final class PolicyExperiment {
    private static final int ZONES = 3;
    private static final int ONE_MS = 250;
    private static final int OTHER_MS = 700;
    /** A call that comes so soon after its lookup was asked tells the policy by its time. */
    private static final long SOON_US = 40_000;
    /** Clocks' stated error, and what the emulation itself may be late by. */
    private static final long ERROR_US = 20_000 + SOON_US;

    private static final double PER_SECOND = 25;
    private static final long REST_MS = 10_000;
    private static final List<LoadGenerator.LookupKind> KINDS =
            List.of(new LoadGenerator.LookupKind("find", false, false, 0, 0.3));
    private final long seed;
    private final int routers;
    private final int changes;
    private final int faults;
    private final double seconds;
    private final String rule;
    private final Path folder;

    /** What came of one change, as operators were told. */
    private record Ended(
            String id,
            boolean other,
            String state,
            long epoch,
            long atUs,
            long tookMs,
            boolean oneDown) {}

    /** @param rule on routers that are absent: wait, withdraw or fence */
    public PolicyExperiment(
            long seed,
            int routers,
            int changes,
            int faults,
            double seconds,
            String rule,
            Path folder) {
        this.seed = seed;
        this.routers = routers;
        this.changes = changes;
        this.faults = faults;
        this.seconds = seconds;
        this.rule = rule;
        this.folder = folder;
    }

    private String text(boolean other) {
        return "{indexes: {find: {soft_ms: " + (other ? OTHER_MS : ONE_MS)
                + ", late_gain: 0}}, absent: {rule: '"
                + rule + "', wait_ms: 6000, hold_ms: 400, "
                + (rule.equals("fence") ? "lease_ms: 1500, " : "")
                + "clock_error_ms: 20}}";
    }

    /** Returns whether the rules were kept and nothing was left unsettled. */
    public boolean run() throws IOException, InterruptedException {
        Logger.getLogger("tinlink")
                .setLevel(Level.SEVERE); // Lines that go down are the purpose here.
        int voters = routers < 5 ? 3 : routers < 20 ? 5 : 7;
        Fleet.Plan plan = new Fleet.Plan(
                routers,
                voters,
                4,
                3,
                ZONES,
                "holders: 2, zone_share: 0.3, " + "site_share: 0.3",
                true,
                seed);
        try (Fleet fleet = new Fleet(plan)) {
            fleet.startAll();
            fleet.awaitAgreed(30_000);
            List<Ended> ended = new ArrayList<>();
            Set<String> open = new TreeSet<>();
            SplittableRandom r = new SplittableRandom(seed + 4);
            ended.add(change(fleet, "first", false, 30_000, r));
            Thread.sleep(1000);
            LoadGenerator load = new LoadGenerator(fleet.emulatorLoop, fleet.clientGroups.values());
            load.run(
                    new SplittableRandom(seed + 1),
                    "q",
                    seconds + 4,
                    PER_SECOND,
                    KINDS,
                    0,
                    ClientGroup.BUDGET_MS);
            List<String> names = List.copyOf(fleet.routers.keySet());
            // One router is down for a third of the time, on top of the faults of the seed.
            List<FaultInjector.Fault> line = new ArrayList<>(FaultInjector.schedule(
                    seed,
                    names.subList(0, names.size() - 1),
                    names.subList(0, voters),
                    List.copyOf(fleet.emulated.nodes.keySet()),
                    faults,
                    Math.round(1000 * seconds * 0.55)));
            line.add(new FaultInjector.Fault(
                    Math.round(1000 * seconds * 0.6),
                    FaultInjector.Kind.KILL,
                    names.get(names.size() - 1),
                    "",
                    Math.round(1000 * seconds * 0.3)));
            RouterProcess last = fleet.routers.get(names.get(names.size() - 1));
            long from = System.nanoTime();
            Thread asks = new Thread(
                    () -> {
                        try {
                            for (int i = 0; i < changes; i++) {
                                boolean down = !last.isUp();
                                Ended e = change(
                                        fleet,
                                        "c" + i,
                                        i % 2 == 0,
                                        Math.round(1000 * seconds / changes * 3),
                                        r);
                                boolean oneDown = down && !last.isUp();
                                if (e == null) {
                                    open.add("c" + i);
                                } else {
                                    ended.add(new Ended(
                                            e.id, e.other, e.state, e.epoch, e.atUs, e.tookMs,
                                            oneDown));
                                }
                                long next = Math.round(1000 * seconds * (i + 1) / changes);
                                Thread.sleep(Math.max(
                                        r.nextInt(100),
                                        next - (System.nanoTime() - from) / 1_000_000));
                            }
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                    },
                    "asks");
            asks.setDaemon(true);
            asks.start();
            FaultInjector f = new FaultInjector(fleet);
            f.run(line);
            asks.join(Math.round(2000 * seconds));
            fleet.startAll();
            long healed = System.nanoTime();
            while (!open.isEmpty() && System.nanoTime() < healed + 1_000_000 * REST_MS) {
                open.removeIf(id -> fleet.running().stream().anyMatch(c -> {
                    String s = status(c, id).path("state").asText();
                    return s.equals("in force") || s.equals("withdrawn") || s.isEmpty();
                }));
                Thread.sleep(100);
            }
            load.await(Math.round(1000 * seconds) + 6000);
            Thread.sleep(300);
            return report(fleet, f, load, line, ended, open);
        }
    }

    private static JsonNode status(RouterProcess c, String id) {
        return Fleet.send(c, Map.of("do", "policy-status", "id", id)).body().path("change");
    }

    /**
     * Proposes it, again and again anywhere, until it is told how it ended; null where that takes
     * too long.
     */
    private Ended change(Fleet fleet, String id, boolean other, long mostMs, SplittableRandom r)
            throws InterruptedException {
        long from = System.nanoTime();
        while (System.nanoTime() < from + 1_000_000 * mostMs) {
            List<RouterProcess> up = List.copyOf(fleet.running());
            if (!up.isEmpty()) {
                RouterProcess c = up.get(r.nextInt(up.size()));
                JsonNode s = status(c, id);
                String state = s.path("state").asText();
                long tookMs = (System.nanoTime() - from) / 1_000_000;
                if (state.equals("in force") || state.equals("withdrawn")) {
                    return new Ended(
                            id,
                            other,
                            state,
                            s.path("epoch").asLong(),
                            s.path("at_us").asLong(),
                            tookMs,
                            false);
                }
                if (state.isEmpty()) {
                    JsonNode now =
                            Fleet.send(c, Map.of("do", "policy-show")).body().path("in_force");
                    Fleet.send(
                            c,
                            Map.of(
                                    "do",
                                    "policy-propose",
                                    "id",
                                    id,
                                    "text",
                                    text(other),
                                    "against",
                                    now.path("epoch").asInt()));
                }
            }
            Thread.sleep(50);
        }
        return null;
    }

    /** What was taken by which policy, against when each held. */
    private static final class Seen {
        int told;
        final List<String> early = new ArrayList<>();
        final List<String> afterOld = new ArrayList<>();
        /** Windows in which both were taken, away from any instant at which a change took hold. */
        final Set<Long> mixed = new TreeSet<>();
    }

    private static Seen seen(
            List<LoadGenerator.LookupRecord> all,
            RunLog runLog,
            NavigableMap<Long, Boolean> holds) {
        Seen s = new Seen();
        Map<Long, Set<Boolean>> windows = new TreeMap<>();
        for (LoadGenerator.LookupRecord a : all) {
            for (int shard : a.ask.shards()) {
                String part = a.ask.id() + "." + shard;
                List<RunLog.Run> ran = runLog.runsOf(part);
                long waits = runLog.timeoutMsOf(part);
                Boolean other = (waits > ONE_MS && waits <= OTHER_MS && waits > OTHER_MS - 100)
                        ? Boolean.TRUE
                        : (waits <= ONE_MS && waits > ONE_MS - 60) ? Boolean.FALSE : null;
                if (ran.isEmpty()
                        || other == null
                        || ran.get(0).atUs() - a.dueUs > SOON_US
                        || ran.get(0).atUs() < a.dueUs) {
                    continue;
                }
                s.told++;
                long at = a.dueUs;
                boolean near =
                        holds.subMap(at - ERROR_US, true, at + ERROR_US, true).size() > 0;
                Map.Entry<Long, Boolean> now = holds.floorEntry(at);
                if (near || now == null) {
                    continue;
                }
                windows.computeIfAbsent(at / 100_000, w -> new HashSet<>()).add(other);
                if (!now.getValue().equals(other)) {
                    Long next = holds.higherKey(at);
                    boolean early = next != null && next - at < at - now.getKey();
                    (early ? s.early : s.afterOld)
                            .add(part + " gave " + waits + " ms, " + (at - now.getKey()) / 1000
                                    + " ms after the last change");
                }
            }
        }
        windows.forEach((w, both) -> {
            boolean near = holds.subMap((w - 1) * 100_000, true, (w + 2) * 100_000, true)
                            .size()
                    > 0;
            if (both.size() > 1 && !near) {
                s.mixed.add(w);
            }
        });
        return s;
    }

    private boolean report(
            Fleet fleet,
            FaultInjector f,
            LoadGenerator load,
            List<FaultInjector.Fault> line,
            List<Ended> ended,
            Set<String> open)
            throws IOException {
        TreeMap<Long, Boolean> holds = new TreeMap<>();
        ended.stream()
                .filter(e -> e != null && e.state.equals("in force"))
                .forEach(e -> holds.put(e.atUs, e.other));
        List<LoadGenerator.LookupRecord> all = load.records(a -> true);
        LookupRules rules = new LookupRules();
        Seen[] seen = new Seen[1];
        fleet.emulatorLoop.run(() -> {
            rules.check(all, fleet.runLog);
            seen[0] = seen(all, fleet.runLog, holds);
        });
        List<String> flipped = new ArrayList<>();
        for (Ended e : ended) {
            for (RouterProcess c : fleet.running()) {
                JsonNode s = status(c, e.id);
                if (!s.isMissingNode()
                        && !s.path("state").asText().equals("not settled")
                        && (!s.path("state").asText().equals(e.state)
                                || s.path("at_us").asLong() != e.atUs)) {
                    flipped.add(e.id + " " + e.state + " at " + e.atUs + ", " + c.name + ": " + s);
                }
            }
        }
        Histogram settle = new Histogram(600_000, 3);
        ended.forEach(e -> settle.recordValue(Math.max(1, Math.min(599_000, e.tookMs))));
        int inForce =
                (int) ended.stream().filter(e -> e.state.equals("in force")).count();
        long down = ended.stream().filter(e -> e.oneDown).count();
        long downInForce = ended.stream()
                .filter(e -> e.oneDown && e.state.equals("in force"))
                .count();
        long refused = all.stream()
                .filter(a -> a.answer != null
                        && a.answer.status() == 503
                        && a.answer.body().contains("no lookups are taken"))
                .count();
        List<String> broken = new ArrayList<>();
        note(broken, "mixed", seen[0].mixed.stream().map(String::valueOf).toList());
        note(broken, "early", seen[0].early);
        note(broken, "after_old", seen[0].afterOld);
        note(broken, "flipped", flipped);
        note(broken, "unsettled", List.copyOf(open));
        note(broken, "lost", rules.lost);
        note(broken, "late", rules.late);
        note(broken, "repeated", rules.repeated);
        note(broken, "dishonest", rules.dishonest);
        List<String> report = new ArrayList<>();
        report.add(String.format(
                Locale.ROOT,
                "seed %d: %d router processes, absent: %s, %.0f s; emulated data "
                        + "nodes; %d part calls told their policy",
                seed,
                routers,
                rule,
                seconds,
                seen[0].told));
        report.add(String.format(
                Locale.ROOT,
                "lookups %d, satisfied %d, refused for want of a policy %d, with a "
                        + "router that was taken from them %d",
                all.size(),
                all.stream().filter(LoadGenerator.LookupRecord::isSatisfied).count(),
                refused,
                all.stream().filter(a -> a.excused).count()));
        report.add(String.format(
                Locale.ROOT, "with one router down: %d of %d changes in force", downInForce, down));
        report.add("faults:");
        line.forEach(x -> report.add("    " + x));
        ended.forEach(e -> report.add("    " + e));
        broken.forEach(b -> report.add("broken: " + b));
        Files.createDirectories(folder);
        Files.write(folder.resolve("policy.txt"), report);
        report.stream().filter(l -> !l.startsWith("    Ended")).forEach(System.out::println);
        System.out.printf(
                Locale.ROOT,
                "policy: processes=%d changes=%d in_force=%d "
                        + "withdrawn=%d kills=%d cuts=%d "
                        + "pauses=%d mixed=%d early=%d after_old=%d flipped=%d unsettled=%d settle_p50_ms=%d "
                        + "settle_p99_ms=%d fenced_ms=%.0f lost=%d late=%d repeated=%d dishonest=%d   %s%n",
                routers,
                ended.size() + open.size(),
                inForce,
                ended.size() - inForce,
                f.kills,
                f.cuts,
                f.pauses,
                seen[0].mixed.size(),
                seen[0].early.size(),
                seen[0].afterOld.size(),
                flipped.size(),
                open.size(),
                settle.getValueAtPercentile(50),
                settle.getValueAtPercentile(99),
                1000 * refused / PER_SECOND,
                rules.lost.size(),
                rules.late.size(),
                rules.repeated.size(),
                rules.dishonest.size(),
                broken.isEmpty() ? "RULES KEPT" : "RULES BROKEN: " + String.join("; ", broken));
        return broken.isEmpty();
    }

    private static void note(List<String> broken, String what, List<String> found) {
        if (!found.isEmpty()) {
            broken.add(what + " " + found.size() + " (" + found.get(0) + ")");
        }
    }
}

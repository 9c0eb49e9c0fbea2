package tinlink.experiment;

import org.HdrHistogram.Histogram;

import tinlink.emulator.EmulatedLink;
import tinlink.emulator.EmulatedNode;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The experiment of the gateway: two sites of two routers, a third of the lookups with a part that
 * the other site alone holds, all three effects. Three sides of one run: without trouble; with
 * lines that are cut, silent or noisy and a far router killed; and the same trouble with no fates
 * asked.
 */
public final class GatewayExperiment {
    private static final Logger LOG = Logger.getLogger("tinlink");
    private static final long BUDGET_MS = 3000;
    private static final double PER_SECOND = 40;
    private static final double FAR_SHARE = 1.0 / 3;
    /** Effects as data nodes have them: idempotent, partial ones too; fingerprinted; once-only. */
    private static final List<LoadGenerator.LookupKind> KINDS = List.of(
            new LoadGenerator.LookupKind("find", false, false, 0, 0.3),
            new LoadGenerator.LookupKind("sum", false, false, 0, 1),
            new LoadGenerator.LookupKind("pay", true, false, 1_500_000, 1),
            new LoadGenerator.LookupKind("once", false, true, 0, 1));

    private static final String PROFILES =
            profile("find", "pure", 0) + "," + profile("sum", "pure", 0) + ","
                    + profile("pay", "token", 1500) + "," + profile("once", "side_effect", 0);
    private final long seed;
    private final long delayMs;
    private final double seconds;
    private final Path folder;

    /** What one side showed. */
    private static final class Scenario {
        final String name;
        final LookupRules rules = new LookupRules();
        final Histogram all = new Histogram(60_000_000, 3);
        final Histogram near = new Histogram(60_000_000, 3);
        final Histogram far = new Histogram(60_000_000, 3);
        /** The same of lookups of one part. */
        final Histogram oneNear = new Histogram(60_000_000, 3);

        final Histogram oneFar = new Histogram(60_000_000, 3);
        /** What bytes took on the lines, each way. */
        final Histogram there = new Histogram(60_000_000, 3);

        final Histogram back = new Histogram(60_000_000, 3);
        int lookups;
        int whole;
        int partial;
        int nacked;
        int aborted;
        int killed;
        int onceAborted;
        int stray;
        /**
         * Once-only and fingerprinted parts whose line was cut while their far router lived, by
         * what came of them.
         */
        long unsure;

        long recovered;
        final Map<String, Integer> troubles = new LinkedHashMap<>();

        Scenario(String name) {
            this.name = name;
        }

        double ms(Histogram h, double percentile) {
            return h.getValueAtPercentile(percentile) / 1000.0;
        }
    }

    public GatewayExperiment(long seed, long delayMs, double seconds, Path folder) {
        this.seed = seed;
        this.delayMs = delayMs;
        this.seconds = seconds;
        this.folder = folder;
    }

    private static String profile(String name, String effect, long windowMs) {
        return "{\"name\":\"" + name + "\",\"effect\":\"" + effect
                + "\",\"onTimeMs\":2000,\"deadlineMs\":" + BUDGET_MS + ",\"windowMs\":" + windowMs
                + ",\"worth\":1,\"lateWorth\":0.3}";
    }

    private TwoSites world(boolean fates, boolean jitter) throws IOException, InterruptedException {
        EmulatedLink.LinkConditions way = new EmulatedLink.LinkConditions(
                1000 * delayMs, jitter ? 100 * delayMs : 0, 2_000_000);
        return new TwoSites(new TwoSites.Plan(
                Map.of(
                        "east",
                        List.of(0, 0, 1, 1, 2, 2, 3, 3),
                        "west",
                        List.of(2, 2, 3, 3, 4, 4, 5, 5)),
                6,
                2,
                1,
                way,
                way,
                new EmulatedNode.ServiceModel(4, 64, 4000, 0.5),
                TwoSites.LIMITS,
                PROFILES,
                "\"completeFrom\":[1,1,1,1],\"minShare\":[0.3,1,1,1],"
                        + "\"incompleteWorth\":[0.5,0,0,0]",
                fates ? "recover_ms: 2500" : "recover_ms: 0",
                "",
                0,
                seed));
    }

    /** Returns whether the rules were kept and all that must be shown was shown. */
    public boolean run() throws IOException, InterruptedException {
        LOG.setLevel(Level.SEVERE); // Lines that go down are the purpose here.
        Scenario calm = side("calm", seconds / 4, false, true);
        Scenario fates = side("trouble", seconds, true, true);
        Scenario without = side("trouble, no fates asked", seconds / 2, true, false);
        List<Scenario> sides = List.of(calm, fates, without);
        String table = table(sides);
        System.out.println(table);
        Files.createDirectories(folder);
        Files.writeString(folder.resolve("table.txt"), table);
        Charts.latencies(
                folder.resolve("latency.png"),
                "Lookups by what they need, " + delayMs + " ms each way",
                Map.of(
                        "calm, near",
                        calm.near,
                        "calm, far",
                        calm.far,
                        "trouble, near",
                        fates.near,
                        "trouble, far",
                        fates.far));
        // Lookups of one part, near and far, without jitter, which would cover what is looked for.
        // The line's
        // own time is what the emulated lines measured, with what waits in them.
        double hop = calm.ms(calm.oneFar, 50)
                - calm.ms(calm.oneNear, 50)
                - calm.ms(calm.there, 50)
                - calm.ms(calm.back, 50);
        double nearRatio = fates.ms(fates.near, 99) / calm.ms(calm.near, 99);
        double share = fates.unsure == 0 ? 1 : (double) fates.recovered / fates.unsure;
        System.out.printf(
                Locale.ROOT,
                "hop over the line's delay at the median: %.1f ms; near-only p99 with trouble over"
                        + " without: %.2f; recovered %d of %d parts that may run once"
                        + " and whose far router lived%n",
                hop,
                nearRatio,
                fates.recovered,
                fates.unsure);
        List<String> broken = new ArrayList<>();
        for (Scenario s : sides) {
            LookupRules r = s.rules;
            note(broken, s.name + " lost", r.lost);
            note(broken, s.name + " late", r.late);
            note(broken, s.name + " repeated", r.repeated);
            note(broken, s.name + " dishonest", r.dishonest);
            if (s.stray > 0) {
                broken.add(s.name + " answered after the final answer");
            }
        }
        System.out.printf(
                Locale.ROOT,
                "gateway: lookups=%d whole=%d partial=%d nacked=%d aborted=%d lost=%d late=%d "
                        + "repeated=%d dishonest=%d p50_ms=%.1f p99_ms=%.1f near_p99_ms=%.1f near_ratio=%.2f "
                        + "hop_ms=%.1f "
                        + "recovered=%.2f   %s%n",
                fates.lookups,
                fates.whole,
                fates.partial,
                fates.nacked,
                fates.aborted,
                fates.rules.lost.size(),
                fates.rules.late.size(),
                fates.rules.repeated.size(),
                fates.rules.dishonest.size(),
                fates.ms(fates.all, 50),
                fates.ms(fates.all, 99),
                fates.ms(fates.near, 99),
                nearRatio,
                hop,
                share,
                broken.isEmpty() ? "RULES KEPT" : "RULES BROKEN: " + String.join("; ", broken));
        return broken.isEmpty();
    }

    private static void note(List<String> broken, String what, List<String> found) {
        if (!found.isEmpty()) {
            broken.add(what + " " + found.size() + " (" + found.get(0) + ")");
        }
    }

    private Scenario side(String name, double seconds, boolean trouble, boolean fates)
            throws IOException, InterruptedException {
        Scenario side = new Scenario(name);
        try (TwoSites world = world(fates, trouble)) {
            world.joined(10_000);
            // Code that runs for the first time is slow: some lookups go before what counts.
            LoadGenerator warm = new LoadGenerator(world.emulatorLoop, world.routers.values());
            warm.run(
                    new SplittableRandom(seed),
                    "warm",
                    1.5,
                    PER_SECOND,
                    KINDS,
                    FAR_SHARE,
                    BUDGET_MS);
            warm.await(5000);
            LoadGenerator load = new LoadGenerator(world.emulatorLoop, world.routers.values());
            load.run(
                    new SplittableRandom(seed + 1),
                    "q",
                    seconds,
                    PER_SECOND,
                    KINDS,
                    FAR_SHARE,
                    BUDGET_MS);
            if (trouble) {
                trouble(world, load, new SplittableRandom(seed + 2), seconds, side);
            } else {
                Thread.sleep(Math.round(1000 * seconds));
            }
            load.await(BUDGET_MS + 1000);
            Thread.sleep(
                    300); // What is sent after a final answer, or runs after a nack, would come
            // now.
            Predicate<LoadGenerator.LookupRecord> any = a -> true;
            List<LoadGenerator.LookupRecord> all = load.records(any);
            world.emulatorLoop.run(() -> side.rules.check(all, world.runLog));
            sum(side, all);
            world.lines.values().forEach(l -> l.addTransitTimes(side.there, side.back));
            for (TwoSites.RunningRouter r : world.routers.values()) {
                side.stray += r.clients.unsolicited();
                for (String end :
                        List.of("completed", "failed", "rejected", "not_started", "not_sent")) {
                    side.recovered += r.count("outbound_unresolved_" + end);
                }
                for (String end : List.of("no_answer", "may_have_run")) {
                    side.unsure += r.count("outbound_unresolved_" + end);
                }
            }
            side.unsure += side.recovered;
        }
        return side;
    }

    private static void sum(Scenario s, List<LoadGenerator.LookupRecord> all) {
        for (LoadGenerator.LookupRecord a : all) {
            s.lookups++;
            if (a.excused || a.answer == null) {
                s.killed++;
                continue;
            }
            s.whole += a.answer.isComplete() ? 1 : 0;
            s.partial += a.isSatisfied() && !a.answer.isComplete() ? 1 : 0;
            s.nacked += a.isRejected() ? 1 : 0;
            boolean aborted = !a.isSatisfied() && !a.isRejected();
            s.aborted += aborted ? 1 : 0;
            s.onceAborted += aborted && !a.kind.isIdempotent() ? 1 : 0;
            if (a.isSatisfied()) {
                long us = Math.max(1, Math.min(a.latencyUs(), 59_000_000));
                s.all.recordValue(us);
                (a.local ? s.near : s.far).recordValue(us);
                if (a.ask.shards().size() == 1) {
                    (a.local ? s.oneNear : s.oneFar).recordValue(us);
                }
            }
        }
    }

    /**
     * Troubles at times from the seed: lines that snap, are cut, go silent or noisy; one router
     * killed and back.
     */
    private void trouble(
            TwoSites world,
            LoadGenerator load,
            SplittableRandom random,
            double seconds,
            Scenario side)
            throws InterruptedException, IOException {
        long end = System.nanoTime() + Math.round(1e9 * seconds);
        long killAt =
                System.nanoTime() + Math.round(1e9 * seconds * (0.3 + 0.3 * random.nextDouble()));
        List<TwoSites.RunningRouter> routers = List.copyOf(world.routers.values());
        TwoSites.RunningRouter victim = routers.get(random.nextInt(routers.size()));
        List<EmulatedLink> lines = List.copyOf(world.lines.values());
        while (System.nanoTime() < end) {
            Thread.sleep(200 + random.nextInt(800));
            EmulatedLink line = lines.get(random.nextInt(lines.size()));
            String what =
                    switch (random.nextInt(6)) {
                        case 0, 1 -> {
                            line.resetConnections();
                            yield "snap";
                        }
                        case 2 -> {
                            line.cut();
                            yield "cut";
                        }
                        case 3 -> {
                            line.blackhole(true, true);
                            yield "silent";
                        }
                        case 4 -> {
                            line.blackhole(random.nextBoolean(), false);
                            line.blackhole(false, true);
                            yield "silent one way";
                        }
                        default -> {
                            line.corruptionRate(0.3);
                            yield "noise";
                        }
                    };
            side.troubles.merge(what, 1, Integer::sum);
            Thread.sleep(100 + random.nextInt(500));
            line.heal();
            if (victim != null && System.nanoTime() >= killAt) {
                long from = world.emulatorLoop.call(world.emulatorLoop::now);
                load.routerKilled(victim);
                victim.kill();
                Thread.sleep(500 + random.nextInt(1000));
                victim.start();
                load.routerAway(
                        victim, from, world.emulatorLoop.call(world.emulatorLoop::now) + 100_000);
                side.troubles.merge("router killed", 1, Integer::sum);
                victim = null;
            }
        }
    }

    private String table(List<Scenario> sides) {
        StringBuilder t = new StringBuilder(String.format(
                Locale.ROOT,
                "%d ms each way, seed %d; emulated data nodes%n"
                        + "%-24s %8s %7s %7s %7s %8s %9s %7s %9s %9s %9s %9s%n",
                delayMs,
                seed,
                "side",
                "lookups",
                "whole",
                "partial",
                "nacked",
                "aborted",
                "once ab.",
                "killed",
                "near p50",
                "near p99",
                "far p50",
                "far p99"));
        for (Scenario s : sides) {
            t.append(String.format(
                    Locale.ROOT,
                    "%-24s %8d %7d %7d %7d %8d %9d %7d %9.1f %9.1f %9.1f %9.1f%n",
                    s.name,
                    s.lookups,
                    s.whole,
                    s.partial,
                    s.nacked,
                    s.aborted,
                    s.onceAborted,
                    s.killed,
                    s.ms(s.near, 50),
                    s.ms(s.near, 99),
                    s.ms(s.far, 50),
                    s.ms(s.far, 99)));
            if (!s.troubles.isEmpty()) {
                t.append("    ")
                        .append(s.troubles)
                        .append(", ")
                        .append(s.recovered)
                        .append(" of ")
                        .append(s.unsure)
                        .append(" parts that may run once recovered\n");
            }
        }
        return t.toString();
    }
}

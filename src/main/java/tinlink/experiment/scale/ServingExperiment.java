package tinlink.experiment.scale;

import org.HdrHistogram.Histogram;

import java.io.IOException;
import java.nio.file.Path;
import java.time.LocalDate;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The serving measurement: one router process between emulated data nodes and clients, at sizes up
 * to those of docs/CAPACITY.md. It takes what a part call and a lookup cost by the number of parts,
 * what the router holds and how long it starts by the length of its list and by open connections,
 * and the largest rate it bears. The verdict goes by counts and bytes alone, so a slow machine
 * changes nothing in it.
 */
public final class ServingExperiment {
    private final ServingPlan plan;
    private final long seed;
    private final List<String> notes;
    private final ServingResults results = new ServingResults();
    private final ServingVerdict verdict = new ServingVerdict();
    private final Map<Integer, ServingLoad.Result> byParts = new LinkedHashMap<>();

    /**
     * @param shortForm a run of seconds at small sizes, for its verdict alone
     * @param notes kept with the results, for example what else the machine did meanwhile
     */
    public ServingExperiment(boolean shortForm, long seed, List<String> notes) {
        plan = shortForm ? ServingPlan.shortForm() : ServingPlan.full();
        this.seed = seed;
        this.notes = new ArrayList<>(notes);
    }

    /**
     * Runs all of it and prints one last line of figures with the verdict.
     *
     * @param out where the results are saved
     * @return whether all counts and bytes are within their bounds
     * @throws IOException where a router does not start or the results can't be saved
     */
    public boolean run(Path out) throws IOException, InterruptedException {
        Logger.getLogger("tinlink").setLevel(Level.WARNING);
        long from = System.nanoTime();
        addSetting();
        for (int repeat = 0; repeat < plan.repeats(); repeat++) {
            for (int nodes : plan.lists()) {
                new ServingListRun(plan, nodes, seed + repeat, results, verdict).run();
            }
            progress("repeat " + (repeat + 1) + ": lists", from);
            ServingPartsRun run =
                    new ServingPartsRun(plan, seed + 100 + repeat, results, verdict, notes);
            run.run().forEach((parts, r) -> byParts.merge(parts, r, ServingLoad.Result::plus));
            progress("repeat " + (repeat + 1) + ": parts", from);
            List<String> unfinished = new ArrayList<>(notes);
            unfinished.add(
                    "cut short after " + (repeat + 1) + " of " + plan.repeats() + " repeats");
            save(out, unfinished);
        }
        byParts.forEach(this::rarePercentile);
        notes.add("verdict: " + verdict);
        save(out, notes);
        System.out.println(lastLine());
        return verdict.kept();
    }

    /** Also called between repeats, so that a run that is interrupted leaves what it has. */
    private void save(Path out, List<String> said) throws IOException {
        String day = LocalDate.now(ZoneOffset.UTC).toString();
        int cores = Runtime.getRuntime().availableProcessors();
        new ResultFile(day, seed, cores, said, results.all()).save(out);
    }

    private static void progress(String what, long from) {
        System.out.printf(Locale.ROOT, "%5.0f s  %s%n", (System.nanoTime() - from) / 1e9, what);
    }

    /** Of all repeats together, since it takes a thousand lookups to speak of one in a thousand. */
    private void rarePercentile(int parts, ServingLoad.Result result) {
        if (result.whole() >= ServingPartsRun.LOOKUPS_FOR_RARE) {
            results.add(
                    ServingNames.ROUTER,
                    "added latency p99.9",
                    "ms",
                    ServingNames.BY_PARTS,
                    parts,
                    ServingPartsRun.ms(result.added(), 99.9));
            results.add(
                    ServingNames.ROUTER,
                    "latency p99.9",
                    "ms",
                    ServingNames.BY_PARTS,
                    parts,
                    ServingPartsRun.ms(result.latency(), 99.9));
        }
    }

    private void addSetting() {
        notes.add(String.format(
                Locale.ROOT,
                "offered %.0f part calls a second at each number of parts;"
                        + " service times log-normal, median %.0f ms,"
                        + " sigma %.1f; values of %d bytes; %d nodes a shard",
                plan.partCallsPerSecond(),
                ServingPlan.SERVICE_TIMES.medianUs() / 1000,
                ServingPlan.SERVICE_TIMES.sigma(),
                ServingPlan.VALUE_BYTES,
                ServingPlan.REPLICAS));
        notes.add("router under the bounds of deploy/balancer.toml, with " + ServingPlan.SOCKETS
                + " descriptors in place of 1024 and open_cap " + ServingPlan.OPEN_CAP
                + "; one process, nothing else in it");
    }

    private String lastLine() {
        int largest = plan.parts().get(plan.parts().size() - 1);
        ServingLoad.Result result = byParts.get(largest);
        Histogram added = result.added();
        return String.format(
                Locale.ROOT,
                "serving-scale: nodes=%d parts=%d repeats=%d lookups=%d whole=%d failed=%d cpu_us_part=%.1f"
                        + " bytes_part=%.0f added_p50_ms=%.1f added_p99_ms=%.1f knee_parts_s=%.0f  %s",
                plan.largestList(),
                largest,
                plan.repeats(),
                result.asked(),
                result.whole(),
                result.failed(),
                mean("processor time a part call", largest),
                mean("bytes a part call", largest),
                ServingPartsRun.ms(added, 50),
                ServingPartsRun.ms(added, 99),
                mean("knee", largest),
                verdict);
    }

    /** Of the repeats at that number of parts; 0 where it was not measured. */
    private double mean(String cost, int parts) {
        return results.all().stream()
                .filter(m -> m.cost().equals(cost) && m.dimension().equals(ServingNames.BY_PARTS))
                .flatMap(m -> m.points().stream())
                .filter(p -> p.size() == parts)
                .mapToDouble(Measurement.Point::value)
                .average()
                .orElse(0);
    }
}

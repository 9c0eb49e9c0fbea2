package tinlink.experiment.scale;

import org.HdrHistogram.Histogram;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalDouble;

/** One router with the largest list, several nodes a shard: costs by the number of parts a lookup. */
final class ServingPartsRun {
    /** Lookups that it takes to speak of one in a thousand. */
    static final int LOOKUPS_FOR_RARE = 1_000;

    private static final double FIRST_WARM_SECONDS = 2;
    private static final double WARM_SECONDS = 0.4;
    private final ServingPlan plan;
    private final long seed;
    private final ServingResults results;
    private final ServingVerdict verdict;
    private final List<String> notes;
    /** Lookups a second that one loop would bear by its processor time, by the number of parts. */
    private final Map<Integer, Double> expected = new LinkedHashMap<>();

    ServingPartsRun(
            ServingPlan plan,
            long seed,
            ServingResults results,
            ServingVerdict verdict,
            List<String> notes) {
        this.plan = plan;
        this.seed = seed;
        this.results = results;
        this.verdict = verdict;
        this.notes = notes;
    }

    static double ms(Histogram us, double percentile) {
        return us.getValueAtPercentile(percentile) / 1000.0;
    }

    /** Runs each number of parts; returns the results of the load runs by the number of parts. */
    Map<Integer, ServingLoad.Result> run() throws IOException, InterruptedException {
        int nodes = plan.largestList();
        ServingRouter.Settings settings = new ServingRouter.Settings(
                nodes,
                nodes / ServingPlan.REPLICAS,
                ServingPlan.SOCKETS,
                ServingPlan.OPEN_CAP,
                plan.onTimeMs(),
                false);
        Map<Integer, ServingLoad.Result> all = new LinkedHashMap<>();
        try (ServingWorld world = new ServingWorld(settings, seed)) {
            int first = plan.parts().get(0);
            world.load.run(
                    plan.partCallsPerSecond() / first, FIRST_WARM_SECONDS, world.anyShards(first));
            for (int parts : plan.parts()) {
                all.put(parts, load(world, parts));
            }
            for (int parts : plan.findsKnee() ? plan.parts() : List.<Integer>of()) {
                knee(world, parts);
            }
        }
        return all;
    }

    private void add(String role, String cost, String unit, int parts, double value) {
        results.add(role, cost, unit, ServingNames.BY_PARTS, parts, value);
    }

    private void router(String cost, String unit, int parts, double value) {
        add(ServingNames.ROUTER, cost, unit, parts, value);
    }

    private ServingLoad.Result load(ServingWorld world, int parts)
            throws IOException, InterruptedException {
        double rate = plan.partCallsPerSecond() / parts;
        world.load.run(rate, WARM_SECONDS, world.anyShards(parts));
        world.nodes.takeServiceTimes();
        long toldBefore = world.discovery.bytesSent();
        long from = System.nanoTime();
        ServingNodes.Counts countsBefore = world.nodes.counts();
        ServingUsage before = world.router.usage();
        ServingLoad.Result result =
                world.load.run(rate, plan.seconds(parts), world.anyShards(parts));
        ServingUsage used = world.router.usage().minus(before);
        ServingNodes.Counts counts = world.nodes.counts().minus(countsBefore);
        double seconds = (System.nanoTime() - from) / 1e9;
        verdict.load(parts, result, counts, world.nodes.size());
        processor(parts, used, result, counts);
        traffic(parts, used, result, counts);
        latency(parts, result, world.nodes.takeServiceTimes());
        add(
                ServingNames.DISCOVERY,
                "bytes a second of an idle watch",
                "B/s",
                parts,
                (world.discovery.bytesSent() - toldBefore) / seconds);
        expected.put(parts, 1000 * result.asked() / used.loopMs());
        System.out.printf(
                Locale.ROOT,
                "         %3d parts: %.1f us a part call, %.1f of it on the loop, added p99 %.1f ms%n",
                parts,
                1000 * used.processorMs() / counts.partCalls(),
                1000 * used.loopMs() / counts.partCalls(),
                ms(result.added(), 99));
        return result;
    }

    private void processor(
            int parts, ServingUsage used, ServingLoad.Result result, ServingNodes.Counts counts) {
        double calls = counts.partCalls();
        router("processor time a lookup", "ms", parts, used.processorMs() / result.asked());
        router("processor time a lookup, loop", "ms", parts, used.loopMs() / result.asked());
        router("processor time a part call", "us", parts, 1000 * used.processorMs() / calls);
        router("processor time a part call, loop", "us", parts, 1000 * used.loopMs() / calls);
        router("processor time a part call, poller", "us", parts, 1000 * used.pollerMs() / calls);
        router(
                "processor time a part call, collector",
                "us",
                parts,
                1000 * used.collectorMs() / calls);
        router("processor time a part call, other", "us", parts, 1000 * used.otherMs() / calls);
        router("allocation a lookup", "KB", parts, used.allocatedBytes() / 1024.0 / result.asked());
        router("allocation a part call", "B", parts, used.allocatedBytes() / calls);
        router("system calls a part call", "1", parts, used.systemCalls() / calls);
    }

    private void traffic(
            int parts, ServingUsage used, ServingLoad.Result result, ServingNodes.Counts counts) {
        double calls = counts.partCalls();
        double nodeBytes = counts.bytesIn() + counts.bytesOut();
        router("bytes a part call", "B", parts, nodeBytes / calls);
        router(
                "bytes a lookup",
                "B",
                parts,
                (double) (used.readBytes() + used.writtenBytes()) / result.asked());
        router("part calls a part", "1", parts, calls / ((double) result.asked() * parts));
        router("messages a part call", "1", parts, (counts.frames() + calls) / calls);
        add(ServingNames.NODE, "bytes a part call", "B", parts, nodeBytes / calls);
        add(
                ServingNames.NODE,
                "messages a part call",
                "1",
                parts,
                (counts.frames() + calls) / calls);
    }

    private void latency(int parts, ServingLoad.Result result, Histogram service) {
        for (double percentile : new double[] {50, 99}) {
            String name = " p" + Math.round(percentile);
            router("latency" + name, "ms", parts, ms(result.latency(), percentile));
            router("added latency" + name, "ms", parts, ms(result.added(), percentile));
            router("lateness of the generator" + name, "ms", parts, ms(result.late(), percentile));
            router("service time of a part" + name, "ms", parts, ms(service, percentile));
        }
    }

    private void knee(ServingWorld world, int parts) throws InterruptedException {
        ServingKnee search = new ServingKnee(world.load, world.anyShards(parts));
        OptionalDouble knee = search.find(expected.get(parts));
        System.out.printf(
                Locale.ROOT,
                "         %3d parts: knee %.0f part calls a second%n",
                parts,
                knee.orElse(0) * parts);
        if (knee.isPresent()) {
            router("knee", "part calls/s", parts, knee.getAsDouble() * parts);
        } else {
            notes.add("no knee found at " + parts + " parts: no step held");
        }
        if (search.stepsOfLateGenerator() > 0) {
            notes.add("knee at " + parts + " parts: in " + search.stepsOfLateGenerator()
                    + " steps the clients themselves were late, so it is a lower bound");
        }
    }
}

package tinlink.experiment;

import tinlink.experiment.simulation.MaintenanceEvent;
import tinlink.experiment.simulation.MaintenanceSchedule;
import tinlink.experiment.simulation.MaintenanceSimulation;
import tinlink.experiment.simulation.OptimalSchedule;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.IntStream;

/**
 * Many schedules of faults against the decision logic of the routers in simulated time. The first that
 * breaks a rule is made as small as it goes and written out, to be played again alone.
 */
public final class MaintenanceSimulationExperiment {
    private static final Logger LIBRARY = Logger.getLogger("io.microraft");
    private static final int REQUESTS = 10;
    private static final int FAULTS = 6;
    private static final int SMALL = 20;
    private static final int PIECES = 6;
    private static final long OVER_US = 30_000_000;
    private final long seed;
    private final MaintenanceSimulation.Size size;
    private final int schedules;
    private final Path out;

    /** @param planted a fault that has to be found, so that the checks are seen to bite */
    public MaintenanceSimulationExperiment(
            long seed, int routers, int schedules, boolean planted, Path out) {
        this.seed = seed;
        this.schedules = schedules;
        this.out = out;
        int voters = routers < 5 ? 3 : routers < 20 ? 5 : 7;
        size = new MaintenanceSimulation.Size(
                routers, voters, Math.max(4, routers / 5), 3, planted);
    }

    private List<MaintenanceEvent> schedule(long s) {
        return MaintenanceSchedule.of(s, size, REQUESTS, FAULTS, OVER_US);
    }

    /** Whether the rules were kept. */
    public boolean run() throws IOException {
        LIBRARY.setLevel(Level.OFF); // What it says of lost messages is the purpose here.
        long from = System.nanoTime();
        MaintenanceSimulation.Outcome[] came = new MaintenanceSimulation.Outcome[schedules];
        IntStream.range(0, schedules)
                .parallel()
                .forEach(i ->
                        came[i] = MaintenanceSimulation.play(seed + i, size, schedule(seed + i)));
        double seconds = (System.nanoTime() - from) / 1e9;
        long steps = 0;
        long digest = 0;
        int taken = 0;
        int finished = 0;
        int violations = 0;
        int first = -1;
        for (int i = 0; i < schedules; i++) {
            steps += came[i].steps();
            digest = 31 * digest + came[i].digest();
            taken += came[i].granted();
            finished += came[i].finished();
            violations += came[i].violations().size();
            first = first < 0 && !came[i].violations().isEmpty() ? i : first;
        }
        Files.createDirectories(out);
        List<String> report = new ArrayList<>();
        report.add(String.format(
                Locale.ROOT,
                "seeds %d to %d, %d routers, %d voters, %d blocks of %d holders, "
                        + "%d requests and %d faults each; simulated time",
                seed,
                seed + schedules - 1,
                size.routers(),
                size.voters(),
                size.blocks(),
                size.holders(),
                REQUESTS,
                FAULTS));
        report.add(String.format(
                Locale.ROOT,
                "%d machines taken out, %d back; %.0f schedules a minute",
                taken,
                finished,
                60 * schedules / seconds));
        report.add(waits());
        if (first >= 0) {
            long bad = seed + first;
            report.add("seed " + bad + ": " + came[first].violations());
            List<MaintenanceEvent> small = MaintenanceSimulation.shrink(bad, size, schedule(bad));
            report.add("made smaller: "
                    + MaintenanceSimulation.play(bad, size, small).violations());
            small.forEach(e -> report.add("    " + e));
        }
        Files.write(out.resolve("work-sim.txt"), report);
        report.forEach(System.out::println);
        System.out.printf(
                Locale.ROOT,
                "work-sim: schedules=%d routers=%d steps=%d violations=%d " + "digest=%016x   %s%n",
                schedules,
                size.routers(),
                steps,
                violations,
                digest,
                violations == 0 ? "RULES KEPT" : "RULES BROKEN: seed " + (seed + first));
        return violations == 0;
    }

    /**
     * On small fleets without faults, against one by one and against the best order found by
     * search.
     */
    private String waits() {
        double toSerial = 0;
        double toBest = 0;
        for (int i = 0; i < SMALL; i++) {
            OptimalSchedule.Waits w = OptimalSchedule.of(seed + i, PIECES);
            toSerial += w.oneByOne() == 0 ? 0 : w.granted() / w.oneByOne() / SMALL;
            toBest += w.best() == 0 ? 1.0 / SMALL : w.granted() / w.best() / SMALL;
        }
        return String.format(
                Locale.ROOT,
                "waits without faults, %d pieces of work on 9 nodes in 3 blocks, mean "
                        + "of %d: %.2f of one by one, %.2f of the best order found by trying all",
                PIECES,
                SMALL,
                toSerial,
                toBest);
    }
}

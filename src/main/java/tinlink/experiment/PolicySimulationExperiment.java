package tinlink.experiment;

import tinlink.experiment.simulation.PolicyEvent;
import tinlink.experiment.simulation.PolicySchedule;
import tinlink.experiment.simulation.PolicySimulation;
import tinlink.policy.rollout.AbsencePolicy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;

/**
 * Many schedules of changes of policy and faults against the decision logic of the routers in simulated
 * time, a third for each rule on routers that are absent. The first that breaks a rule is made as
 * small as it goes.
 */
public final class PolicySimulationExperiment {
    private static final int CHANGES = 8;
    private static final int FAULTS = 6;
    private static final long OVER_US = 20_000_000;
    private final long seed;
    private final int routers;
    private final int schedules;
    private final boolean planted;
    private final Path out;

    /** @param planted a fault that has to be found, so that the checks are seen to bite */
    public PolicySimulationExperiment(
            long seed, int routers, int schedules, boolean planted, Path out) {
        this.seed = seed;
        this.routers = routers;
        this.schedules = schedules;
        this.planted = planted;
        this.out = out;
    }

    @SuppressWarnings("EnumOrdinal") // The rules take turns, schedule by schedule.
    private PolicySimulation.Size size(int i) {
        return new PolicySimulation.Size(
                routers,
                AbsencePolicy.Rule.values()[i % AbsencePolicy.Rule.values().length],
                planted);
    }

    private List<PolicyEvent> schedule(int i) {
        return PolicySchedule.of(seed + i, size(i), CHANGES, FAULTS, OVER_US);
    }

    /** Whether the rules were kept. */
    @SuppressWarnings("EnumOrdinal") // As above: schedules are counted by whose turn it was.
    public boolean run() throws IOException {
        long from = System.nanoTime();
        PolicySimulation.Outcome[] came = new PolicySimulation.Outcome[schedules];
        IntStream.range(0, schedules)
                .parallel()
                .forEach(i -> came[i] = PolicySimulation.play(seed + i, size(i), schedule(i)));
        double seconds = (System.nanoTime() - from) / 1e9;
        long steps = 0;
        long digest = 0;
        int violations = 0;
        int first = -1;
        int[][] ends = new int[AbsencePolicy.Rule.values().length][2];
        double[] fenced = new double[ends.length];
        for (int i = 0; i < schedules; i++) {
            steps += came[i].steps();
            digest = 31 * digest + came[i].digest();
            violations += came[i].violations().size();
            first = first < 0 && !came[i].violations().isEmpty() ? i : first;
            ends[i % ends.length][0] += came[i].inForce();
            ends[i % ends.length][1] += came[i].withdrawn();
            fenced[i % ends.length] += came[i].fencedShare();
        }
        List<String> report = new ArrayList<>();
        report.add(String.format(
                Locale.ROOT,
                "seeds %d to %d, %d routers, %d changes and %d faults each; "
                        + "simulated time; %.0f schedules a minute",
                seed,
                seed + schedules - 1,
                routers,
                CHANGES,
                FAULTS,
                60 * schedules / seconds));
        for (AbsencePolicy.Rule rule : AbsencePolicy.Rule.values()) {
            int at = rule.ordinal();
            int plays = (schedules + ends.length - 1 - at) / ends.length;
            report.add(String.format(
                    Locale.ROOT,
                    "absent: %-8s in force %d, withdrawn %d, share of time in which "
                            + "a router that runs took no lookups %.3f",
                    rule.name().toLowerCase(Locale.ROOT),
                    ends[at][0],
                    ends[at][1],
                    fenced[at] / Math.max(1, plays)));
        }
        if (first >= 0) {
            int at = first;
            List<PolicyEvent> small = PolicySimulation.shrink(seed + at, size(at), schedule(at));
            report.add("seed " + (seed + at) + ": " + came[at].violations().get(0));
            report.add("made smaller: "
                    + PolicySimulation.play(seed + at, size(at), small)
                            .violations()
                            .get(0));
            small.forEach(e -> report.add("    " + e));
        }
        Files.createDirectories(out);
        Files.write(out.resolve("policy-sim.txt"), report);
        report.forEach(System.out::println);
        System.out.printf(
                Locale.ROOT,
                "policy-sim: schedules=%d routers=%d steps=%d violations=%d "
                        + "digest=%016x   %s%n",
                schedules,
                routers,
                steps,
                violations,
                digest,
                violations == 0 ? "RULES KEPT" : "RULES BROKEN: seed " + (seed + first));
        return violations == 0;
    }
}

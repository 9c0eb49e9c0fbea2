package tinlink.experiment.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.time.LocalDate;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/**
 * The experiment of what the control side costs by the number of routers and of data nodes: hollow
 * routers beside real ones, at rest, while the policy changes, and as routers and the leader fail.
 */
public final class ControlScaleExperiment {
    /** What a router may spend on control, as {@code docs/CAPACITY.md} states it. */
    private static final double CPU_BUDGET_PCT = 2.2;

    private static final double MEMORY_BUDGET_MB = 32;
    private static final double BYTES_BUDGET = 16 * 1024;
    /** Parts of the largest size that are measured too. */
    private static final List<Double> SHARES = List.of(0.05, 0.15, 0.3, 0.5, 1.0);

    private static final int VOTERS = 7;
    private static final int ALONE = 2;
    private static final int PER_PROCESS = 40;
    private static final int LEAST_ROUTERS = 14;
    private static final ControlRun.Effort SMALLER = new ControlRun.Effort(2, 4000, 3, 0, 0, false);
    private static final ControlRun.Effort LARGEST = new ControlRun.Effort(2, 4000, 4, 20, 3, true);

    private final long seed;
    private final int routers;
    private final int real;
    private final int nodes;
    private final List<Integer> nodeSizes;
    private final Path file;
    private final List<String> notes = new ArrayList<>();

    /**
     * @param hollow of the routers; the others are processes of their own
     * @param nodes data nodes on each hollow router's list
     * @param nodeSizes numbers of data nodes that are measured instead of smaller numbers of routers
     * @param notes to be saved with the results
     * @param file where the results are saved
     */
    public ControlScaleExperiment(
            long seed,
            int routers,
            int hollow,
            int nodes,
            List<Integer> nodeSizes,
            List<String> notes,
            Path file) {
        this.seed = seed;
        this.routers = routers;
        this.real = Math.max(0, routers - hollow);
        this.nodes = nodes;
        this.nodeSizes = List.copyOf(nodeSizes);
        this.notes.add(
                "Values are those of the costliest router of a role; the leader is one router. "
                        + "Voters and two ordinary routers are alone in their processes, for their heaps, "
                        + "which count direct buffers too.");
        this.notes.addAll(notes);
        this.file = file;
    }

    /** Runs all sizes; returns whether all was within its budget. */
    public boolean run() throws IOException, InterruptedException {
        ControlMeasurements measurements = new ControlMeasurements(
                nodeSizes.isEmpty()
                        ? "make lab-scale SEED=" + seed + " ROUTERS=" + routers + " NODES=" + nodes
                        : "tinlink lab scale --seed " + seed + " --routers " + routers
                                + " --node-sizes "
                                + nodeSizes.toString().replaceAll("[\\[\\] ]", ""));
        ControlResult largest = null;
        for (int size : nodeSizes.isEmpty() ? sizes() : List.<Integer>of()) {
            largest = measured(size, nodes, size == routers ? LARGEST : SMALLER);
            measurements.add(largest, "routers", size);
            save(measurements);
        }
        for (int size : nodeSizes) {
            largest = measured(routers, size, SMALLER);
            measurements.add(largest, "nodes", size);
            save(measurements);
        }
        return verdict(largest);
    }

    /** After each size, so that a run that is cut short leaves what it has. */
    private void save(ControlMeasurements measurements) throws IOException {
        int cores = Runtime.getRuntime().availableProcessors();
        new ResultFile(
                        LocalDate.now(ZoneOffset.UTC).toString(),
                        seed,
                        cores,
                        notes,
                        measurements.all())
                .save(file);
    }

    private List<Integer> sizes() {
        return SHARES.stream()
                .map(s -> (int) Math.max(LEAST_ROUTERS, Math.round(s * routers)))
                .distinct()
                .toList();
    }

    private ControlResult measured(int size, int nodeCount, ControlRun.Effort effort)
            throws IOException, InterruptedException {
        int realHere = Math.min(real, size / 4);
        ControlPlan plan =
                new ControlPlan(seed, size, VOTERS, ALONE, realHere, PER_PROCESS, nodeCount);
        ControlResult result = ControlRun.run(plan, effort);
        print(result);
        return result;
    }

    private void print(ControlResult r) {
        System.out.printf(
                Locale.ROOT,
                "routers %d, nodes %d, processes %d: started in %.1f s; MB a router %.1f (%.1f "
                        + "where shared), a voter %.1f, the leader %.1f%n",
                r.plan.routers(),
                r.plan.nodes(),
                r.processes,
                r.startMs / 1000.0,
                r.routerMb,
                r.sharedMb,
                r.voterMb,
                r.leaderMb);
        for (ControlUse.Role role : ControlUse.Role.values()) {
            System.out.printf(
                    Locale.ROOT,
                    "    %-6s at rest: %7.2f ms/s, %8.0f B/s, %7.1f messages/s, %4.0f "
                            + "connections; a change: %7.1f ms, %9.0f B, %7.1f messages%n",
                    role.name().toLowerCase(Locale.ROOT),
                    idle(r, role, u -> u.cpuMs() / u.seconds()),
                    idle(r, role, u -> u.bytes() / u.seconds()),
                    idle(r, role, u -> u.messages() / u.seconds()),
                    idle(r, role, ControlUse::connections),
                    change(r, role, ControlUse::cpuMs),
                    change(r, role, ControlUse::bytes),
                    change(r, role, ControlUse::messages));
        }
        if (r.changeMs.getTotalCount() > 0) {
            System.out.printf(
                    Locale.ROOT,
                    "    in force everywhere after %d ms (p50), %d ms (p99)%n",
                    r.changeMs.getValueAtPercentile(50),
                    r.changeMs.getValueAtPercentile(99));
        }
        if (r.plan.real() > 0) {
            String real = String.format(
                    Locale.ROOT,
                    "%d routers: the costliest of %d whole router processes, nobody "
                            + "asking it anything, used %.2f ms/s and %.1f MB of heap",
                    r.plan.routers(),
                    r.plan.real(),
                    r.realCpuMsPerSecond,
                    r.realHeapMb);
            System.out.println("    " + real);
            notes.add(real);
        }
        if (r.down > 0) {
            String events = String.format(
                    Locale.ROOT,
                    "%d routers: with %d down in force after %d ms (p50), %d ms "
                            + "(p99); one that was away is back after %d ms (p50) and fetches %d bytes "
                            + "(p50); one that is new "
                            + "joins in %d ms; 20 changes in a row take %d ms; another leader after %d "
                            + "ms, a change in force "
                            + "%d ms after the leader was lost",
                    r.plan.routers(),
                    r.down,
                    r.changeWhileDownMs.getValueAtPercentile(50),
                    r.changeWhileDownMs.getValueAtPercentile(99),
                    r.backMs.getValueAtPercentile(50),
                    r.fetchedBytes.getValueAtPercentile(50),
                    r.joinMs,
                    r.burstMs,
                    r.newLeaderMs,
                    r.changeAfterLeaderMs);
            System.out.println("    " + events);
            notes.add(events);
        }
    }

    private static double idle(
            ControlResult r, ControlUse.Role role, ToDoubleFunction<ControlUse> cost) {
        return ControlResult.most(ControlResult.costliest(r.idle, role, cost));
    }

    private static double change(
            ControlResult r, ControlUse.Role role, ToDoubleFunction<ControlUse> cost) {
        return ControlResult.most(ControlResult.costliest(r.changes, role, cost));
    }

    private boolean verdict(ControlResult r) {
        double cpuPct = idle(r, ControlUse.Role.ROUTER, u -> u.cpuMs() / u.seconds()) / 10;
        double bytes = idle(r, ControlUse.Role.ROUTER, u -> u.bytes() / u.seconds());
        long p50 = r.changeMs.getValueAtPercentile(50);
        long p99 = Math.max(
                r.changeMs.getValueAtPercentile(99), r.changeWhileDownMs.getValueAtPercentile(99));
        List<String> over = new ArrayList<>();
        over(over, "control_cpu_pct", cpuPct, CPU_BUDGET_PCT);
        over(over, "control_mb", r.routerMb, MEMORY_BUDGET_MB);
        over(over, "control_bytes_s", bytes, BYTES_BUDGET);
        over(over, "change_p99_ms", (double) p99, ControlResult.IN_FORCE_BUDGET_MS);
        over(over, "lost", r.lost, 0);
        over(over, "mixed", r.mixed, 0);
        System.out.printf(
                Locale.ROOT,
                "scale: routers=%d nodes=%d hollow=%d processes=%d control_cpu_pct=%.2f "
                        + "control_mb=%.1f control_bytes_s=%.0f leader_cpu_pct=%.2f voter_mb=%.1f "
                        + "change_p50_ms=%d "
                        + "change_p99_ms=%d join_ms=%d lost=%d late=%d mixed=%d  %s%n",
                r.plan.routers(),
                r.plan.nodes(),
                r.plan.routers() - r.plan.real(),
                r.processes,
                cpuPct,
                r.routerMb,
                bytes,
                idle(r, ControlUse.Role.LEADER, u -> u.cpuMs() / u.seconds()) / 10,
                r.voterMb,
                p50,
                p99,
                r.joinMs,
                r.lost,
                r.late,
                r.mixed,
                over.isEmpty() ? "WITHIN BUDGET" : "OVER BUDGET: " + String.join("; ", over));
        return over.isEmpty();
    }

    private static void over(List<String> all, String what, double value, double budget) {
        if (value > budget) {
            all.add(String.format(
                    Locale.ROOT,
                    "%s %.1f over %.1f%s",
                    what,
                    value,
                    budget,
                    budget == 0 ? "" : String.format(Locale.ROOT, ", %.1f times", value / budget)));
        }
    }
}

package tinlink.experiment.scale;

import org.HdrHistogram.Histogram;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/** What was measured at one size. */
final class ControlResult {
    static final long IN_FORCE_BUDGET_MS = 6000;
    private static final double MB = 1 << 20;
    final ControlPlan plan;
    long startMs;
    int processes;
    /** By router, in each window in which nothing happened. */
    final List<Map<String, ControlUse>> idle = new ArrayList<>();
    /** By router, what each change cost beyond that. */
    final List<Map<String, ControlUse>> changes = new ArrayList<>();

    final Histogram changeMs = ControlRun.times();
    final Histogram changeWhileDownMs = ControlRun.times();
    final Histogram backMs = ControlRun.times();
    final Histogram fetchedBytes = new Histogram(1L << 40, 3);
    int down;
    long burstMs;
    long joinMs;
    long newLeaderMs;
    long changeAfterLeaderMs;
    /** Changes that were never settled, and those that took over their budget. */
    int lost;

    int late;
    /** Routers that took lookups by an older policy after the newer had taken hold. */
    int mixed;
    /** Of those that are alone in their processes, after a collection: MB with direct buffers. */
    double routerMb;

    double voterMb;
    double leaderMb;
    /** Of the costliest router that serves, nobody asking it anything: all its threads, and its heap. */
    double realCpuMsPerSecond;

    double realHeapMb;
    /** Of those that share processes: MB each. */
    double sharedMb;

    ControlResult(ControlPlan plan) {
        this.plan = plan;
    }

    void memory(Map<HollowProcess, HollowProcess.Figures> all) {
        all.forEach((process, f) -> {
            double mb = (f.heap + f.direct) / MB / f.routers.size();
            if (f.routers.size() > 1) {
                sharedMb = Math.max(sharedMb, mb);
            } else if (f.routers.get(0).leads) {
                leaderMb = mb;
            } else if (plan.voterNames().contains(f.routers.get(0).name)) {
                voterMb = Math.max(voterMb, mb);
            } else {
                routerMb = Math.max(routerMb, mb);
            }
        });
    }

    /** Of the costliest of that role, in each window. */
    static List<Double> costliest(
            List<Map<String, ControlUse>> windows,
            ControlUse.Role role,
            ToDoubleFunction<ControlUse> cost) {
        return windows.stream()
                .map(all -> all.values().stream()
                        .filter(u -> u.role() == role)
                        .mapToDouble(cost)
                        .max()
                        .orElse(Double.NaN))
                .filter(v -> !v.isNaN())
                .toList();
    }

    /** The largest of some; 0 where there is none. */
    static double most(List<Double> values) {
        return values.stream().max(Comparator.naturalOrder()).orElse(0.0);
    }
}

package tinlink.experiment.simulation;

import tinlink.maintenance.scheduling.DisruptionLimits;
import tinlink.maintenance.scheduling.Machine;
import tinlink.maintenance.scheduling.MaintenanceCommand;
import tinlink.maintenance.scheduling.MaintenanceRequest;
import tinlink.maintenance.scheduling.MaintenanceStateMachine;
import tinlink.maintenance.scheduling.MaintenanceTask;
import tinlink.maintenance.scheduling.TaskState;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * How long work waits, on small fleets without faults: as the order grants it, one by one, and in
 * the best order there is, found by trying all orders (each piece starts as early as the bounds let
 * it after those before it). All that is asked for is asked for at once; simulated time.
 */
public final class OptimalSchedule {
    /** Mean waits, in microseconds. */
    public record Waits(double granted, double oneByOne, double best) {}

    private static final long STEP = 100_000;
    private static final long WARM = 500_000;
    private static final int HOLDERS = 3;
    private static final int BLOCKS = 3;
    private static final DisruptionLimits BOUNDS =
            new DisruptionLimits(2, 0.5, 0.5, WARM, 10_000_000, 3_600_000_000L, 100, 100);
    private final List<Machine> machines = new ArrayList<>();
    private final List<Machine> asked = new ArrayList<>();
    private final List<Long> forUs = new ArrayList<>();
    private long best = Long.MAX_VALUE;

    private OptimalSchedule(long seed, int pieces) {
        SplittableRandom r = new SplittableRandom(seed);
        for (int b = 0; b < BLOCKS; b++) {
            for (int h = 0; h < HOLDERS; h++) {
                machines.add(new Machine(
                        "n" + b + h, Machine.Kind.NODE, b, "z" + h, "s" + h % 2, "m", false));
            }
        }
        List<Machine> left = new ArrayList<>(machines);
        for (int i = 0; i < pieces; i++) {
            asked.add(left.remove(r.nextInt(left.size())));
            forUs.add(STEP * (5 + r.nextInt(30)));
        }
    }

    /**
     * Waits under the order that was chosen and under the best one.
     *
     * @param pieces of work; all orders of them are tried, so 8 at most
     */
    public static Waits of(long seed, int pieces) {
        OptimalSchedule o = new OptimalSchedule(seed, pieces);
        o.search(new ArrayList<>(), new boolean[pieces], new long[pieces], 0);
        long serial = 0;
        long free = 0;
        for (long us : o.forUs) {
            serial += free;
            free += us + WARM;
        }
        return new Waits(
                (double) o.granted() / pieces, (double) serial / pieces, (double) o.best / pieces);
    }

    /** What the order itself does with them. */
    private long granted() {
        MaintenanceStateMachine stateMachine = new MaintenanceStateMachine(BOUNDS);
        machines.forEach(
                machine -> stateMachine.apply(new MaintenanceCommand.RegisterMachine(machine)));
        IntStream.range(0, asked.size())
                .forEach(i -> stateMachine.apply(
                        new MaintenanceCommand.SubmitRequest(new MaintenanceRequest(
                                "q" + i,
                                List.of(asked.get(i).id()),
                                forUs.get(i),
                                Long.MAX_VALUE,
                                5,
                                "op",
                                "work"))));
        Map<String, Long> since = new HashMap<>();
        long waits = 0;
        for (long now = 0; !stateMachine.state().openTasks().isEmpty(); now += STEP) {
            for (MaintenanceTask task : stateMachine.state().openTasks()) {
                if (task.state() == TaskState.OUT) {
                    Long from = since.putIfAbsent(task.machine(), now);
                    waits += from == null ? now : 0;
                    if (now - since.get(task.machine()) >= task.request().durationUs()) {
                        stateMachine.apply(new MaintenanceCommand.CompleteWork(
                                task.request().id(), "", false));
                    }
                }
            }
            stateMachine.apply(new MaintenanceCommand.AdvanceTime(STEP));
        }
        return waits;
    }

    /** Tries each piece next, at the earliest time at which the bounds bear it until it is back. */
    private void search(List<Integer> done, boolean[] used, long[] start, long sum) {
        if (sum >= best) {
            return;
        }
        if (done.size() == asked.size()) {
            best = sum;
            return;
        }
        for (int i = 0; i < asked.size(); i++) {
            if (used[i]) {
                continue;
            }
            long at = earliest(i, done, start);
            used[i] = true;
            start[i] = at;
            done.add(i);
            search(done, used, start, sum + at);
            done.remove(done.size() - 1);
            used[i] = false;
        }
    }

    private long earliest(int i, List<Integer> done, long[] start) {
        for (long at = 0; ; at += STEP) {
            if (bears(i, at, done, start)) {
                return at;
            }
        }
    }

    private long end(int i, long at) {
        return at + forUs.get(i) + WARM;
    }

    /**
     * Whether at each moment of its absence all bounds hold; the moments that matter are others'
     * starts.
     */
    private boolean bears(int i, long at, List<Integer> done, long[] start) {
        List<Long> moments = new ArrayList<>(List.of(at));
        done.forEach(d -> {
            if (start[d] > at && start[d] < end(i, at)) {
                moments.add(start[d]);
            }
        });
        for (long t : moments) {
            List<Machine> away = new ArrayList<>(List.of(asked.get(i)));
            done.forEach(d -> {
                if (start[d] <= t && t < end(d, start[d])) {
                    away.add(asked.get(d));
                }
            });
            if (!holds(away)) {
                return false;
            }
        }
        return true;
    }

    private boolean holds(List<Machine> away) {
        for (Machine machine : away) {
            if (here(away, o -> o.cell() == machine.cell()) < BOUNDS.minReplicas()
                    || here(away, o -> o.zone().equals(machine.zone()))
                            < Math.ceil(BOUNDS.minZoneShare()
                                    * machines.stream()
                                            .filter(o -> o.zone().equals(machine.zone()))
                                            .count())
                    || here(away, o -> o.site().equals(machine.site()))
                            < Math.ceil(BOUNDS.minSiteShare()
                                    * machines.stream()
                                            .filter(o -> o.site().equals(machine.site()))
                                            .count())) {
                return false;
            }
        }
        return true;
    }

    private long here(List<Machine> away, java.util.function.Predicate<Machine> where) {
        return machines.stream()
                .filter(where)
                .filter(machine -> !away.contains(machine))
                .count();
    }
}

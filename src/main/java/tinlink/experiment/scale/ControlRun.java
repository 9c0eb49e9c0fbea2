package tinlink.experiment.scale;

import org.HdrHistogram.Histogram;

import tinlink.experiment.processes.Fleet;
import tinlink.experiment.processes.RouterProcess;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** One size: a fleet is started, looked at while nothing happens, changed, and has routers taken from it. */
final class ControlRun {
    /** How much is done. A leader is lost and routers are down only where events are asked for. */
    record Effort(
            int idleWindows,
            long idleMs,
            int changes,
            int burst,
            int changesWhileDown,
            boolean leaderLost) {}

    private static final long MOST_CHANGE_MS = 20_000;
    private static final long LOOK_EVERY_MS = 100;
    private static final long PROPOSE_AGAIN_MS = 5000;
    /** What a change leaves behind, such as words said again, is over by then. */
    private static final long SETTLED_MS = 1000;

    private static final double DOWN_SHARE = 0.02;
    private static final long MOST_MS = 600_000;

    private final ControlPlan plan;
    private final Effort effort;
    private final ControlResult result;
    private final ControlFleet fleet;
    private final SplittableRandom random;
    private long epoch;

    private ControlRun(ControlPlan plan, Effort effort, ControlFleet fleet, ControlResult result) {
        this.plan = plan;
        this.effort = effort;
        this.fleet = fleet;
        this.result = result;
        random = new SplittableRandom(plan.seed());
    }

    static ControlResult run(ControlPlan plan, Effort effort)
            throws IOException, InterruptedException {
        ControlResult result = new ControlResult(plan);
        try (ControlFleet fleet = new ControlFleet(plan)) {
            long from = System.nanoTime();
            fleet.start();
            result.startMs = (System.nanoTime() - from) / 1_000_000;
            result.processes = fleet.processCount();
            new ControlRun(plan, effort, fleet, result).run();
        }
        return result;
    }

    private void run() throws IOException, InterruptedException {
        change(); // From the routers' own files to a policy with leases.
        Map<String, ControlUse> idle = idle();
        changes(idle);
        if (effort.burst() > 0) {
            burst();
        }
        if (effort.changesWhileDown() > 0) {
            whileSomeAreDown();
            join();
        }
        if (effort.leaderLost()) {
            leaderLost();
        }
        fleet.states().forEach(s -> result.mixed += s.tookOldTooLate);
    }

    private Map<String, ControlUse> idle() throws IOException, InterruptedException {
        Map<String, ControlUse> last = Map.of();
        for (int i = 0; i < effort.idleWindows(); i++) {
            Map<HollowProcess, HollowProcess.Figures> before = fleet.figures(false);
            Thread.sleep(effort.idleMs());
            Map<HollowProcess, HollowProcess.Figures> after = fleet.figures(false);
            last = ControlUse.between(plan, before, after);
            result.idle.add(last);
        }
        realAtRest();
        result.memory(fleet.figures(true));
        return last;
    }

    /** The same of routers that serve, though nobody asks them anything; and whether they hear of changes. */
    private void realAtRest() throws IOException, InterruptedException {
        Map<RouterProcess, Long> before = new LinkedHashMap<>();
        for (RouterProcess child : fleet.real()) {
            before.put(child, ControlReal.cpuNs(child));
        }
        Thread.sleep(effort.idleMs());
        for (Map.Entry<RouterProcess, Long> one : before.entrySet()) {
            double ms = (ControlReal.cpuNs(one.getKey()) - one.getValue()) / 1e6;
            result.realCpuMsPerSecond =
                    Math.max(result.realCpuMsPerSecond, 1000 * ms / effort.idleMs());
        }
        for (RouterProcess child : fleet.real()) {
            result.realHeapMb = Math.max(result.realHeapMb, ControlReal.heapMb(child));
            ControlFleet.until(
                    child.name + " hears of epoch " + epoch,
                    () -> Fleet.send(child, Map.of("do", "policy-show"))
                                    .body()
                                    .path("in_force")
                                    .path("epoch")
                                    .asLong()
                            == epoch);
        }
    }

    private void changes(Map<String, ControlUse> idle) throws IOException, InterruptedException {
        for (int i = 0; i < effort.changes(); i++) {
            Map<HollowProcess, HollowProcess.Figures> before = fleet.figures(false);
            result.changeMs.recordValue(change());
            Thread.sleep(SETTLED_MS);
            Map<HollowProcess, HollowProcess.Figures> after = fleet.figures(false);
            result.changes.add(ControlUse.less(ControlUse.between(plan, before, after), idle));
        }
    }

    /** One after another, each proposed as the one before it is in force. */
    private void burst() throws IOException, InterruptedException {
        long from = System.nanoTime();
        for (int i = 0; i < effort.burst(); i++) {
            result.changeMs.recordValue(change());
        }
        result.burstMs = (System.nanoTime() - from) / 1_000_000;
    }

    private void whileSomeAreDown() throws IOException, InterruptedException {
        List<String> some = new ArrayList<>(plan.sharedNames());
        List<String> down = new ArrayList<>();
        int count = Math.max(1, (int) Math.round(DOWN_SHARE * plan.routers()));
        while (down.size() < count) {
            down.add(some.remove(random.nextInt(some.size())));
        }
        for (String name : down) {
            fleet.stop(name);
        }
        for (int i = 0; i < effort.changesWhileDown(); i++) {
            result.changeWhileDownMs.recordValue(change());
        }
        result.down = count;
        for (String name : down) {
            back(name);
        }
    }

    /** A router that was away, with its folder. */
    private void back(String name) throws IOException, InterruptedException {
        long from = System.currentTimeMillis();
        fleet.start(name);
        result.backMs.recordValue(awaitTaken(name, from));
        long[] learned = fleet.state(name).traffic.getOrDefault("learned", new long[2]);
        result.fetchedBytes.recordValue(learned[1]);
    }

    /** A router that was never there. */
    private void join() throws IOException, InterruptedException {
        String name = "r" + plan.routers();
        long from = System.currentTimeMillis();
        fleet.add(name);
        result.joinMs = awaitTaken(name, from);
    }

    private long awaitTaken(String name, long fromMs) throws IOException, InterruptedException {
        long[] at = new long[1];
        ControlFleet.until(name + " takes lookups by epoch " + epoch, () -> {
            at[0] = fleet.taken(epoch).getOrDefault(name, 0L) / 1000;
            return at[0] > 0 && fleet.state(name).known;
        });
        return Math.max(0, at[0] - fromMs);
    }

    private void leaderLost() throws IOException, InterruptedException {
        String leader = fleet.leader();
        long from = System.nanoTime();
        fleet.stop(leader);
        ControlFleet.until("another leader", () -> !fleet.leader().isEmpty());
        result.newLeaderMs = (System.nanoTime() - from) / 1_000_000;
        change();
        result.changeAfterLeaderMs = (System.nanoTime() - from) / 1_000_000;
        fleet.start(leader);
    }

    /** Proposes one, and waits until all that are up take lookups by it. @return how long that took */
    private long change() throws IOException, InterruptedException {
        long next = epoch + 1;
        String id = "change-" + next;
        long fromUs = System.currentTimeMillis() * 1000;
        long end = System.nanoTime() + 1_000_000 * MOST_CHANGE_MS;
        Map<String, Long> taken = Map.of();
        long proposeAt = System.nanoTime();
        while (taken.size() < fleet.hollowUp() && System.nanoTime() < end) {
            if (taken.isEmpty() && System.nanoTime() >= proposeAt) {
                fleet.propose(
                        id, document(next)); // Again where it got lost: a known id is that change.
                proposeAt = System.nanoTime() + 1_000_000 * PROPOSE_AGAIN_MS;
            }
            Thread.sleep(LOOK_EVERY_MS);
            taken = fleet.taken(next);
        }
        if (taken.isEmpty()) {
            result.lost++;
            throw new IOException(
                    "change " + id + " was not settled within " + MOST_CHANGE_MS + " ms");
        }
        epoch = next;
        long tookMs = taken.size() < fleet.hollowUp()
                ? MOST_CHANGE_MS
                : (taken.values().stream().max(Comparator.naturalOrder()).orElseThrow() - fromUs)
                        / 1000;
        result.late += tookMs > ControlResult.IN_FORCE_BUDGET_MS ? 1 : 0;
        return tookMs;
    }

    private static String document(long number) {
        return "{indexes: {find: {soft_ms: " + (250 + number % 100)
                + "}}, absent: {rule: 'fence', wait_ms: 20000, hold_ms: 1000, lease_ms: 3000, "
                + "clock_error_ms: 50}}";
    }

    /** For times of a few minutes at most. */
    static Histogram times() {
        return new Histogram(MOST_MS, 3);
    }
}

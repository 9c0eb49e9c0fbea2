package tinlink.experiment.simulation;

import static tinlink.experiment.simulation.Simulation.SEC;

import java.util.List;

/**
 * Work on machines in simulated time: the decision logic of the routers, agreeing by the real library over a
 * lossy network, data nodes that are there or not, and operators who take a machine only when they are told
 * so. What is checked is what happens to machines and calls, not what routers say of it.
 */
public final class MaintenanceSimulation {
    /** With nothing changed for so long after all has healed, what is not over is stuck. */
    private static final long STUCK_AFTER_US = 30 * SEC;

    private static final long MOST_AFTER_LAST_US = 600 * SEC;
    private static final long FIRST_EVENT_US = 8 * SEC;

    /**
     * The size of a simulated fleet.
     *
     * @param planted routers say that they are done with a machine whether they are or not
     */
    public record Size(int routers, int voters, int blocks, int holders, boolean planted) {
        /** How many data nodes there are. */
        public int nodes() {
            return blocks * holders;
        }
    }

    /** What came of a play. */
    public record Outcome(
            long steps, long digest, int granted, int finished, List<String> violations) {}

    private final MaintenanceFleet fleet;
    private final Simulation simulation;
    private final MaintenanceOperators operators;
    private final MaintenanceFaults faults;

    private MaintenanceSimulation(long seed, Size size, boolean sharesState) {
        fleet = new MaintenanceFleet(seed, size, sharesState);
        simulation = fleet.simulation;
        operators = new MaintenanceOperators(fleet);
        faults = new MaintenanceFaults(fleet, operators);
    }

    /** Plays the schedule; what is random besides comes from the seed. */
    public static Outcome play(long seed, Size size, List<MaintenanceEvent> schedule) {
        return play(seed, size, schedule, true);
    }

    /** @param sharesState whether routers that have heard the same lines have their states in common */
    static Outcome play(
            long seed, Size size, List<MaintenanceEvent> schedule, boolean sharesState) {
        return new MaintenanceSimulation(seed, size, sharesState).run(schedule);
    }

    /** The smallest part of a schedule, found by leaving events out, that breaks the rules too. */
    public static List<MaintenanceEvent> shrink(
            long seed, Size size, List<MaintenanceEvent> schedule) {
        return ScheduleShrinker.shrink(
                schedule, s -> !play(seed, size, s).violations().isEmpty());
    }

    private Outcome run(List<MaintenanceEvent> schedule) {
        for (SimulatedRouter router : fleet.routers.values()) {
            router.disk.id = 1;
            simulation.scheduleIn(simulation.random.nextLong(SEC), router::start);
        }
        for (MaintenanceEvent event : schedule) {
            simulation.scheduleAt(event.atUs(), () -> faults.happens(event));
        }
        long last = schedule.isEmpty()
                ? FIRST_EVENT_US
                : schedule.get(schedule.size() - 1).atUs();
        simulation.run(last);
        faults.heal();
        runUntilOver(last);
        if (!operators.allOver()) {
            fleet.violations.add("stuck: " + stuck());
        }
        fleet.group.log.forEach((index, line) -> simulation.addToDigest(index + " " + line));
        return new Outcome(
                simulation.steps(),
                simulation.digest(),
                operators.taken(),
                operators.finished(),
                List.copyOf(fleet.violations));
    }

    private void runUntilOver(long last) {
        long changed = simulation.now();
        String before = "";
        while (simulation.now() - changed < STUCK_AFTER_US
                && !(operators.allOver() && simulation.now() > last + SEC)
                && simulation.now() < last + MOST_AFTER_LAST_US) {
            simulation.run(simulation.now() + SEC);
            String now = fleet.truth().openTasks().stream()
                    .map(task -> task.machine() + task.state())
                    .toList()
                    .toString();
            if (!now.equals(before)) {
                before = now;
                changed = simulation.now();
            }
        }
    }

    private String stuck() {
        List<String> open = fleet.truth().openTasks().stream()
                .map(task -> task.request().id() + " " + task.machine() + " " + task.state() + " "
                        + task.reason())
                .toList();
        List<String> voters =
                fleet.voters().stream().map(SimulatedRouter::summary).toList();
        return operators.lost() + " " + open + " " + voters;
    }
}

package tinlink.lab.plays;

import static tinlink.lab.plays.Play.SEC;

import java.util.List;

/**
 * Work on machines in simulated time: the choices of the routers, agreeing by the real library over a lossy
 * network, data nodes that are there or not, and operators who take a machine only when they are told so.
 * What is checked is what happens to machines and calls, not what routers say of it.
 */
public final class WorkPlay {
    /** With nothing changed for so long after all has healed, what is not over is stuck. */
    private static final long STUCK_AFTER_US = 30 * SEC;

    private static final long MOST_AFTER_LAST_US = 600 * SEC;
    private static final long FIRST_EVENT_US = 8 * SEC;

    /** @param planted routers say that they are done with a machine whether they are or not */
    public record Size(int routers, int voters, int blocks, int holders, boolean planted) {
        /** How many data nodes there are. */
        public int nodes() {
            return blocks * holders;
        }
    }

    /** What came of a play. */
    public record Outcome(
            long steps, long digest, int granted, int finished, List<String> violations) {}

    private final WorkFleet fleet;
    private final Play play;
    private final WorkOperators operators;
    private final WorkFaults faults;

    private WorkPlay(long seed, Size size, boolean sharesState) {
        fleet = new WorkFleet(seed, size, sharesState);
        play = fleet.play;
        operators = new WorkOperators(fleet);
        faults = new WorkFaults(fleet, operators);
    }

    /** Plays the schedule; what is random besides comes from the seed. */
    public static Outcome play(long seed, Size size, List<WorkEvent> schedule) {
        return play(seed, size, schedule, true);
    }

    /** @param sharesState whether routers that have heard the same lines have their states in common */
    static Outcome play(long seed, Size size, List<WorkEvent> schedule, boolean sharesState) {
        return new WorkPlay(seed, size, sharesState).run(schedule);
    }

    /** The smallest part of a schedule, found by leaving events out, that breaks the rules too. */
    public static List<WorkEvent> shrink(long seed, Size size, List<WorkEvent> schedule) {
        return Shrunk.of(schedule, s -> !play(seed, size, s).violations().isEmpty());
    }

    private Outcome run(List<WorkEvent> schedule) {
        for (SimulatedRouter router : fleet.routers.values()) {
            router.disk.id = 1;
            play.in(play.random.nextLong(SEC), router::start);
        }
        for (WorkEvent event : schedule) {
            play.at(event.atUs(), () -> faults.happens(event));
        }
        long last = schedule.isEmpty()
                ? FIRST_EVENT_US
                : schedule.get(schedule.size() - 1).atUs();
        play.run(last);
        faults.heal();
        runUntilOver(last);
        if (!operators.allOver()) {
            fleet.violations.add("stuck: " + stuck());
        }
        fleet.group.log.forEach((index, line) -> play.note(index + " " + line));
        return new Outcome(
                play.steps(),
                play.digest(),
                operators.taken(),
                operators.finished(),
                List.copyOf(fleet.violations));
    }

    private void runUntilOver(long last) {
        long changed = play.now();
        String before = "";
        while (play.now() - changed < STUCK_AFTER_US
                && !(operators.allOver() && play.now() > last + SEC)
                && play.now() < last + MOST_AFTER_LAST_US) {
            play.run(play.now() + SEC);
            String now = fleet.truth().openTasks().stream()
                    .map(task -> task.machine() + task.state())
                    .toList()
                    .toString();
            if (!now.equals(before)) {
                before = now;
                changed = play.now();
            }
        }
    }

    private String stuck() {
        List<String> open = fleet.truth().openTasks().stream()
                .map(task -> task.request().id() + " " + task.machine() + " " + task.state() + " " + task.reason())
                .toList();
        List<String> voters =
                fleet.voters().stream().map(SimulatedRouter::standing).toList();
        return operators.lost() + " " + open + " " + voters;
    }
}

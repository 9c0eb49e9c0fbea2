package tinlink.experiment.simulation;

import static tinlink.experiment.simulation.Simulation.MS;
import static tinlink.experiment.simulation.Simulation.SEC;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** Schedules of proposals and faults, made from a seed, for a play of changes of policy. */
public final class PolicySchedule {
    private static final long FIRST_US = 2 * SEC;
    private static final long LEAST_FAULT_US = 100 * MS;
    private static final long MORE_FAULT_US = 5 * SEC;
    /** Kills and pauses are twice as likely as each other fault. */
    private static final PolicyEvent.Kind[] FAULTS = {
        PolicyEvent.Kind.KILL,
        PolicyEvent.Kind.KILL,
        PolicyEvent.Kind.PAUSE,
        PolicyEvent.Kind.PAUSE,
        PolicyEvent.Kind.CUT,
        PolicyEvent.Kind.CUT_OUT,
        PolicyEvent.Kind.LEADER,
        PolicyEvent.Kind.NO_MAJORITY,
        PolicyEvent.Kind.REFUSES,
        PolicyEvent.Kind.STEP
    };

    private PolicySchedule() {}

    /** Proposals and faults at times from the seed, in the order of their times. */
    public static List<PolicyEvent> of(
            long seed, PolicySimulation.Size size, int changes, int faults, long overUs) {
        SplittableRandom random = new SplittableRandom(seed);
        List<PolicyEvent> events = new ArrayList<>();
        for (int i = 0; i < changes; i++) {
            long at = FIRST_US + random.nextLong(overUs);
            events.add(new PolicyEvent(at, PolicyEvent.Kind.PROPOSE, i, 0));
            if (random.nextInt(8) == 0) {
                events.add(new PolicyEvent(
                        at + random.nextLong(SEC), PolicyEvent.Kind.WITHDRAW, i, 0));
            }
        }
        for (int i = 0; i < faults; i++) {
            long at = FIRST_US + random.nextLong(overUs);
            PolicyEvent.Kind kind = FAULTS[random.nextInt(FAULTS.length)];
            int who = random.nextInt(size.routers());
            events.add(new PolicyEvent(
                    at, kind, who, LEAST_FAULT_US + random.nextLong(MORE_FAULT_US)));
        }
        events.sort(Comparator.comparingLong(PolicyEvent::atUs));
        return events;
    }
}

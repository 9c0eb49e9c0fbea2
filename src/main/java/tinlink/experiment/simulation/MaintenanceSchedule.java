package tinlink.experiment.simulation;

import static tinlink.experiment.simulation.Simulation.MS;
import static tinlink.experiment.simulation.Simulation.SEC;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** Schedules of requests and faults, made from a seed, for a play of work on machines. */
public final class MaintenanceSchedule {
    /** Before that routers start and agree on a leader. */
    private static final long FIRST_US = 8 * SEC;

    private final SplittableRandom random;
    private final MaintenanceSimulation.Size size;
    private final List<MaintenanceEvent> events = new ArrayList<>();

    private MaintenanceSchedule(long seed, MaintenanceSimulation.Size size) {
        random = new SplittableRandom(seed);
        this.size = size;
    }

    /** Requests and faults at times from the seed, in the order of their times. */
    public static List<MaintenanceEvent> of(
            long seed, MaintenanceSimulation.Size size, int requests, int faults, long overUs) {
        MaintenanceSchedule schedule = new MaintenanceSchedule(seed, size);
        for (int i = 0; i < requests; i++) {
            schedule.addRequest(i, FIRST_US + schedule.random.nextLong(overUs));
        }
        for (int i = 0; i < faults; i++) {
            schedule.addFault(FIRST_US + schedule.random.nextLong(overUs));
        }
        schedule.events.sort(Comparator.comparingLong(MaintenanceEvent::atUs));
        return schedule.events;
    }

    private void add(long atUs, MaintenanceEvent.Kind kind, int who, int other) {
        events.add(new MaintenanceEvent(atUs, kind, who, other));
    }

    private void addRequest(int number, long atUs) {
        if (random.nextInt(5) == 0) {
            add(atUs, MaintenanceEvent.Kind.ASK_BLOCK, random.nextInt(size.blocks()), number);
        } else {
            add(
                    atUs,
                    MaintenanceEvent.Kind.ASK,
                    random.nextInt(size.routers() + size.nodes()),
                    number);
        }
        if (random.nextInt(6) == 0) {
            add(atUs + random.nextLong(4 * SEC), MaintenanceEvent.Kind.CALL_OFF, number, 0);
        }
    }

    private void addFault(long atUs) {
        int who = random.nextInt(size.routers());
        int other = random.nextInt(size.routers());
        int node = random.nextInt(size.nodes());
        long endUs = atUs + 500 * MS + random.nextLong(8 * SEC);
        switch (random.nextInt(10)) {
            case 0, 1 -> {
                add(atUs, MaintenanceEvent.Kind.KILL, who, 0);
                add(endUs, MaintenanceEvent.Kind.RESTART, who, 0);
            }
            case 2 -> {
                add(atUs, MaintenanceEvent.Kind.PAUSE, who, 0);
                add(endUs + 4 * SEC, MaintenanceEvent.Kind.GO_ON, who, 0);
            }
            case 3 -> {
                add(atUs, MaintenanceEvent.Kind.CUT, who, other);
                add(endUs, MaintenanceEvent.Kind.MEND, 0, 0);
            }
            case 4 -> {
                add(atUs, MaintenanceEvent.Kind.CUT_ONE_WAY, who, other);
                add(endUs, MaintenanceEvent.Kind.MEND, 0, 0);
            }
            case 5 -> {
                add(atUs, MaintenanceEvent.Kind.SPLIT, 0, 0);
                add(endUs, MaintenanceEvent.Kind.MEND, 0, 0);
            }
            case 6 -> {
                add(atUs, MaintenanceEvent.Kind.NODE_DIES, node, 0);
                add(endUs, MaintenanceEvent.Kind.NODE_BACK, node, 0);
            }
            case 7 -> {
                int voter = random.nextInt(size.voters());
                add(atUs, MaintenanceEvent.Kind.COPY, voter, 0);
                add(endUs, MaintenanceEvent.Kind.OLD_COPY, voter, 0);
            }
            case 8 -> add(atUs, MaintenanceEvent.Kind.LEADER_DIES, 0, 0);
            default -> add(atUs, MaintenanceEvent.Kind.ALL_RESTART, 0, 0);
        }
    }
}

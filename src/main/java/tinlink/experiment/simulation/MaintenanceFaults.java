package tinlink.experiment.simulation;

import static tinlink.experiment.simulation.Simulation.SEC;

import java.util.ArrayList;
import java.util.List;

/** Carries out the events of a schedule, and heals what they have broken. */
final class MaintenanceFaults {
    private static final long MOST_RESTART_US = 2 * SEC;
    private static final long LEADER_BACK_US = 3 * SEC;

    private final MaintenanceFleet fleet;
    private final MaintenanceOperators operators;
    private int oldCopies;

    MaintenanceFaults(MaintenanceFleet fleet, MaintenanceOperators operators) {
        this.fleet = fleet;
        this.operators = operators;
    }

    void happens(MaintenanceEvent event) {
        fleet.simulation.addToDigest(event);
        SimulatedRouter router = fleet.routers.get("r" + event.who());
        switch (event.kind()) {
            case ASK -> operators.ask("q" + event.other(), List.of(machine(event.who())));
            case ASK_BLOCK -> operators.ask("q" + event.other(), holders(event.who()));
            case CALL_OFF -> operators.callOff("q" + event.who());
            case KILL -> {
                if (router.up) {
                    router.kill();
                }
            }
            case RESTART -> startIfDown(router);
            case PAUSE -> router.paused |= router.up;
            case GO_ON -> {
                if (router.paused && router.up) {
                    router.resume();
                }
            }
            case CUT -> {
                fleet.network.cut(router.name, "r" + event.other());
                fleet.network.cut("r" + event.other(), router.name);
            }
            case CUT_ONE_WAY -> fleet.network.cut(router.name, "r" + event.other());
            case SPLIT -> split();
            case MEND -> fleet.network.healAll();
            case NODE_DIES -> node(event.who(), false);
            case NODE_BACK -> node(event.who(), true);
            case COPY -> router.oldCopy = router.disk.copy();
            case OLD_COPY -> startFromOldCopy(router);
            case ALL_RESTART -> restartAll();
            case LEADER_DIES -> killLeader();
        }
    }

    private String machine(int number) {
        List<String> all = new ArrayList<>(fleet.routers.keySet());
        all.addAll(fleet.nodes.keySet());
        return all.get(number);
    }

    private List<String> holders(int block) {
        return fleet.nodes.values().stream()
                .filter(n -> n.machine.cell() == block)
                .map(n -> n.machine.id())
                .toList();
    }

    private static void startIfDown(SimulatedRouter router) {
        if (!router.up && !router.stoppedForWork) {
            router.start();
        }
    }

    private void split() {
        for (SimulatedRouter a : fleet.routers.values()) {
            for (SimulatedRouter b : fleet.routers.values()) {
                if (!a.machine.site().equals(b.machine.site())) {
                    fleet.network.cut(a.name, b.name);
                }
            }
        }
    }

    private void node(int number, boolean up) {
        SimulatedDataNode node = new ArrayList<>(fleet.nodes.values()).get(number);
        if (node.takenBy == null && node.up != up) {
            node.up = up;
            node.since = fleet.simulation.now();
        }
    }

    /** One old copy in a play is what is promised to be found out. */
    private void startFromOldCopy(SimulatedRouter router) {
        if (router.oldCopy != null && router.up && oldCopies++ == 0) {
            router.kill();
            router.disk = router.oldCopy;
            router.start();
        }
    }

    private void restartAll() {
        for (SimulatedRouter router : fleet.routers.values()) {
            if (router.up && !router.stoppedForWork) {
                router.kill();
                fleet.simulation.scheduleIn(
                        fleet.simulation.random.nextLong(MOST_RESTART_US),
                        () -> startIfDown(router));
            }
        }
    }

    private void killLeader() {
        for (SimulatedRouter router : fleet.routers.values()) {
            if (router.up && router.isLeader()) {
                router.kill();
                fleet.simulation.scheduleIn(LEADER_BACK_US, () -> startIfDown(router));
                return;
            }
        }
    }

    /** All lines are mended, and all runs that no operator has stopped. */
    void heal() {
        fleet.network.healAll();
        for (SimulatedRouter router : fleet.routers.values()) {
            if (router.paused) {
                router.resume();
            }
            if (router.hasOldDisk && !router.stoppedForWork) {
                router.kill();
            }
            startIfDown(router);
        }
        fleet.nodes.values().forEach(n -> n.up |= n.takenBy == null);
    }
}

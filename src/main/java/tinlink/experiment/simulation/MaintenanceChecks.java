package tinlink.experiment.simulation;

import static tinlink.experiment.simulation.Simulation.SEC;

import tinlink.maintenance.scheduling.MaintenanceRequest;
import tinlink.maintenance.scheduling.MaintenanceTask;

/**
 * What must hold when an operator takes a machine, by what machines and calls are, not by what routers say of
 * them.
 */
final class MaintenanceChecks {
    /** What has failed so long ago is known; machines that failed later are nobody's fault. */
    private static final long KNOWN_AFTER_US = 6 * SEC;

    private static final int LEAST_HOLDERS = 2;
    private final MaintenanceFleet fleet;

    MaintenanceChecks(MaintenanceFleet fleet) {
        this.fleet = fleet;
    }

    private void violated(String what) {
        fleet.violations.add(what);
    }

    private boolean isRecent(long since) {
        return fleet.simulation.now() - since < KNOWN_AFTER_US;
    }

    void taken(SimulatedRouter router) {
        if (router.stoppedForWork) {
            violated(router.name + " is taken twice");
        }
        if (router.up && !router.draining && router.drainController.isRegistered(router.order())) {
            violated(router.name + " is taken while it serves");
        }
        long left = fleet.voters().stream()
                .filter(v -> v != router && !v.stoppedForWork && (v.up || isRecent(v.since)))
                .count();
        if (router.voter && left < fleet.voters().size() / 2 + 1) {
            violated(router.name + " is taken and leaves " + left + " voters");
        }
    }

    void taken(SimulatedDataNode node, MaintenanceRequest request, MaintenanceTask task) {
        if (node.takenBy != null) {
            violated(task.machine() + " is taken twice, for " + node.takenBy + " and "
                    + request.id());
        }
        long left = fleet.nodes.values().stream()
                .filter(o -> o != node && o.machine.cell() == node.machine.cell())
                .filter(o -> o.takenBy == null && (o.up || isRecent(o.since)))
                .count();
        // It may have been taken as a dead one, and have come back since without anybody knowing
        // yet.
        boolean dead = !node.up || isRecent(node.since);
        if (left < LEAST_HOLDERS && !dead) {
            violated(task.machine() + " is taken and leaves " + left + " holders of block "
                    + node.machine.cell());
        }
        for (SimulatedRouter router : fleet.routers.values()) {
            if (router.up && router.callsOpen(task.machine()) > 0) {
                violated(task.machine() + " is taken while " + router.name
                        + " has calls open there");
            }
        }
    }
}

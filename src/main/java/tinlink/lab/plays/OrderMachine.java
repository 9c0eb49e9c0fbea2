package tinlink.lab.plays;

import tinlink.maintenance.scheduling.DisruptionLimits;
import tinlink.maintenance.scheduling.MaintenanceStateMachine;

import java.util.List;

/** The order of work as a state machine whose states replicas can share. */
final class OrderMachine implements SharedReplicas.StateMachine<MaintenanceStateMachine> {
    private final DisruptionLimits limits;

    OrderMachine(DisruptionLimits limits) {
        this.limits = limits;
    }

    @Override
    public MaintenanceStateMachine initial() {
        return new MaintenanceStateMachine(limits);
    }

    @Override
    public MaintenanceStateMachine copy(MaintenanceStateMachine state) {
        return state.copy();
    }

    @Override
    public String play(MaintenanceStateMachine state, String line) {
        return state.apply(line);
    }

    @Override
    public List<String> lines(MaintenanceStateMachine state) {
        return state.snapshot();
    }

    @Override
    public MaintenanceStateMachine of(List<String> lines) {
        return MaintenanceStateMachine.restore(lines);
    }
}

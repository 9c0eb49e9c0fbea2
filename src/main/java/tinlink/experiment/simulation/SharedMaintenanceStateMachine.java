package tinlink.experiment.simulation;

import tinlink.maintenance.scheduling.DisruptionLimits;
import tinlink.maintenance.scheduling.MaintenanceCommandCodec;
import tinlink.maintenance.scheduling.MaintenanceStateMachine;

import java.util.List;

/** The order of work as a state machine whose states replicas can share. */
final class SharedMaintenanceStateMachine
        implements SharedReplicas.StateMachine<MaintenanceStateMachine> {
    private final DisruptionLimits limits;

    SharedMaintenanceStateMachine(DisruptionLimits limits) {
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
    public String apply(MaintenanceStateMachine state, String line) {
        return state.apply(MaintenanceCommandCodec.decode(line)).message();
    }

    @Override
    public List<String> snapshot(MaintenanceStateMachine state) {
        return state.snapshot();
    }

    @Override
    public MaintenanceStateMachine restore(List<String> lines) {
        return MaintenanceStateMachine.restore(lines);
    }
}

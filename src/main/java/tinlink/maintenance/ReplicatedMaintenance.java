package tinlink.maintenance;

import tinlink.cluster.consensus.ReplicatedStateMachine;
import tinlink.maintenance.scheduling.DisruptionLimits;
import tinlink.maintenance.scheduling.MaintenanceCommandCodec;
import tinlink.maintenance.scheduling.MaintenanceState;
import tinlink.maintenance.scheduling.MaintenanceStateMachine;

import java.util.List;

/** Applies the lines of the replicated log to the state machine of maintenance. */
public final class ReplicatedMaintenance implements ReplicatedStateMachine {
    private MaintenanceStateMachine stateMachine;

    /** Creates the state of a fleet whose log is empty. */
    public ReplicatedMaintenance() {
        stateMachine = new MaintenanceStateMachine();
    }

    /** @param limits the initial limits, treated as if the log had set them */
    public ReplicatedMaintenance(DisruptionLimits limits) {
        stateMachine = new MaintenanceStateMachine(limits);
    }

    /** The current state; {@link #restore} replaces the object. */
    public MaintenanceState state() {
        return stateMachine.state();
    }

    @Override
    public String apply(String line) {
        return stateMachine.apply(MaintenanceCommandCodec.decode(line)).message();
    }

    @Override
    public List<String> snapshot() {
        return stateMachine.snapshot();
    }

    @Override
    public void restore(List<String> lines) {
        stateMachine = MaintenanceStateMachine.restore(lines);
    }
}

package tinlink.maintenance;

import tinlink.cluster.consensus.ReplicatedStateMachine;
import tinlink.maintenance.scheduling.DisruptionLimits;
import tinlink.maintenance.scheduling.MaintenanceStateMachine;

import java.util.List;

/** The order of work, as that which is agreed on. */
public final class ReplicatedMaintenance implements ReplicatedStateMachine {
    private MaintenanceStateMachine stateMachine;

    /** Of a fleet that has agreed on nothing yet. */
    public ReplicatedMaintenance() {
        stateMachine = new MaintenanceStateMachine();
    }

    /** @param limits as if they had been agreed on */
    public ReplicatedMaintenance(DisruptionLimits limits) {
        stateMachine = new MaintenanceStateMachine(limits);
    }

    public MaintenanceStateMachine stateMachine() {
        return stateMachine;
    }

    @Override
    public String apply(String line) {
        return stateMachine.apply(line);
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

package tinlink.maintenance;

import tinlink.cluster.consensus.ReplicatedStateMachine;
import tinlink.maintenance.scheduling.DisruptionLimits;
import tinlink.maintenance.scheduling.MaintenanceCommandCodec;
import tinlink.maintenance.scheduling.MaintenanceState;
import tinlink.maintenance.scheduling.MaintenanceStateMachine;

import java.util.List;

/** The state machine of maintenance behind the agreed log's lines. */
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

    /** What is agreed on now; another object after a {@link #restore}. */
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

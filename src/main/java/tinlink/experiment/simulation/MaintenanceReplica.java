package tinlink.experiment.simulation;

import tinlink.cluster.consensus.ReplicatedStateMachine;
import tinlink.maintenance.ReplicatedMaintenance;
import tinlink.maintenance.scheduling.DisruptionLimits;
import tinlink.maintenance.scheduling.MaintenanceState;
import tinlink.maintenance.scheduling.MaintenanceStateMachine;

import java.util.List;

/** One router's replica of the order of work. */
interface MaintenanceReplica extends ReplicatedStateMachine {
    MaintenanceState order();

    /** The replica is not used any more. */
    void release();

    /** A replica with a state of its own, as in a router that serves. */
    final class Own implements MaintenanceReplica {
        private final ReplicatedMaintenance replicatedState;

        Own(DisruptionLimits limits) {
            replicatedState = new ReplicatedMaintenance(limits);
        }

        @Override
        public MaintenanceState order() {
            return replicatedState.state();
        }

        @Override
        public void release() {
            // Its state goes with it.
        }

        @Override
        public String apply(String line) {
            return replicatedState.apply(line);
        }

        @Override
        public List<String> snapshot() {
            return replicatedState.snapshot();
        }

        @Override
        public void restore(List<String> lines) {
            replicatedState.restore(lines);
        }
    }

    /** A replica that has its state in common with all that have heard the same lines. */
    final class Shared implements MaintenanceReplica {
        private final SharedReplicas<MaintenanceStateMachine>.Replica replica;

        Shared(SharedReplicas<MaintenanceStateMachine>.Replica replica) {
            this.replica = replica;
        }

        @Override
        public MaintenanceState order() {
            return replica.state().state();
        }

        @Override
        public void release() {
            replica.release();
        }

        @Override
        public String apply(String line) {
            return replica.apply(line);
        }

        @Override
        public List<String> snapshot() {
            return replica.snapshot();
        }

        @Override
        public void restore(List<String> lines) {
            replica.restore(lines);
        }
    }
}

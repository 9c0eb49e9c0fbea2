package tinlink.experiment.simulation;

import tinlink.cluster.consensus.LineCodec;
import tinlink.policy.rollout.AbsencePolicy;
import tinlink.policy.rollout.PolicyChanges;
import tinlink.policy.rollout.PolicyCommandCodec;

import java.util.List;

/** Changes of policy as a state machine whose states replicas can share. */
final class SharedPolicyStateMachine implements SharedReplicas.StateMachine<PolicyChanges> {
    private static final int KEPT = 100;
    private static final int MOST_ROUTERS = 4096;
    private final AbsencePolicy first;

    /** @param first what is done about absent routers until a first change says otherwise */
    SharedPolicyStateMachine(AbsencePolicy first) {
        this.first = first;
    }

    @Override
    public PolicyChanges initial() {
        return new PolicyChanges(KEPT, MOST_ROUTERS, first);
    }

    @Override
    public PolicyChanges copy(PolicyChanges state) {
        return restore(snapshot(state));
    }

    @Override
    public String apply(PolicyChanges state, String line) {
        return state.apply(PolicyCommandCodec.decode(LineCodec.decode(line))).message();
    }

    @Override
    public List<String> snapshot(PolicyChanges state) {
        return state.snapshot().stream()
                .map(words -> LineCodec.encode(words.toArray()))
                .toList();
    }

    @Override
    public PolicyChanges restore(List<String> lines) {
        return PolicyChanges.fromSnapshot(
                KEPT, MOST_ROUTERS, first, lines.stream().map(LineCodec::decode).toList());
    }
}

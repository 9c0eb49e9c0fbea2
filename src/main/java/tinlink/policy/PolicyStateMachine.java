package tinlink.policy;

import tinlink.cluster.consensus.LineCodec;
import tinlink.cluster.consensus.ReplicatedStateMachine;
import tinlink.policy.rollout.AbsencePolicy;
import tinlink.policy.rollout.PolicyChanges;
import tinlink.policy.rollout.PolicyCommand;
import tinlink.policy.rollout.PolicyCommandCodec;

import java.util.List;

/** The replicated state machine of policy changes. */
public final class PolicyStateMachine implements ReplicatedStateMachine {
    /** The first field of each of its lines. */
    public static final String SUBJECT = PolicyCommandCodec.SUBJECT;

    private static final int MAX_SETTLED_CHANGES = 100;
    private static final int MAX_ROUTERS = 4096;
    /** Applies until the first change; it is the same on all routers, whatever their files say. */
    private static final AbsencePolicy INITIAL_ABSENCE_POLICY =
            new AbsencePolicy(AbsencePolicy.Rule.WITHDRAW, 10_000_000, 1_000_000, 0, 50_000);

    private PolicyChanges changes =
            new PolicyChanges(MAX_SETTLED_CHANGES, MAX_ROUTERS, INITIAL_ABSENCE_POLICY);

    /** Returns the current state. A restore replaces the object. */
    public PolicyChanges changes() {
        return changes;
    }

    /** Encodes a command as a line of the replicated log. */
    static String encode(PolicyCommand command) {
        return encode(PolicyCommandCodec.encode(command));
    }

    private static String encode(List<String> fields) {
        return LineCodec.encode(fields.toArray());
    }

    @Override
    public String apply(String line) {
        return changes.apply(PolicyCommandCodec.decode(LineCodec.decode(line))).message();
    }

    @Override
    public List<String> snapshot() {
        return changes.snapshot().stream().map(PolicyStateMachine::encode).toList();
    }

    @Override
    public void restore(List<String> lines) {
        changes = PolicyChanges.fromSnapshot(
                MAX_SETTLED_CHANGES,
                MAX_ROUTERS,
                INITIAL_ABSENCE_POLICY,
                lines.stream().map(LineCodec::decode).toList());
    }
}

package tinlink.policy;

import tinlink.cluster.ReplicatedStateMachine;
import tinlink.cluster.membership.LineCodec;
import tinlink.policy.choice.Absent;
import tinlink.policy.choice.Changes;
import tinlink.policy.choice.PolicyCommand;
import tinlink.policy.choice.PolicyCommandCodec;

import java.util.List;

/** Changes of policy, as that which is agreed on. */
public final class PolicyBook implements ReplicatedStateMachine {
    /** The first word of all its lines. */
    public static final String WORD = PolicyCommandCodec.SUBJECT;

    private static final int KEPT = 100;
    private static final int MOST_ROUTERS = 4096;
    /** Until a first change says otherwise: the same in all routers, whatever their files say. */
    private static final Absent FIRST =
            new Absent(Absent.Rule.WITHDRAW, 10_000_000, 1_000_000, 0, 50_000);

    private Changes changes = new Changes(KEPT, MOST_ROUTERS, FIRST);

    public Changes changes() {
        return changes;
    }

    /** A command as it is put to the agreed log. */
    static String line(PolicyCommand command) {
        return line(PolicyCommandCodec.encode(command));
    }

    private static String line(List<String> words) {
        return LineCodec.encode(words.toArray());
    }

    @Override
    public String apply(String line) {
        return changes.apply(PolicyCommandCodec.decode(LineCodec.decode(line))).message();
    }

    @Override
    public List<String> snapshot() {
        return changes.lines().stream().map(PolicyBook::line).toList();
    }

    @Override
    public void restore(List<String> lines) {
        changes = Changes.of(
                KEPT, MOST_ROUTERS, FIRST, lines.stream().map(LineCodec::decode).toList());
    }
}

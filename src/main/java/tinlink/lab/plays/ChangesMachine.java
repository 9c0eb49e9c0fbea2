package tinlink.lab.plays;

import tinlink.cluster.membership.LineCodec;
import tinlink.policy.choice.Absent;
import tinlink.policy.choice.Changes;
import tinlink.policy.choice.PolicyCommandCodec;

import java.util.List;

/** Changes of policy as a state machine whose states replicas can share. */
final class ChangesMachine implements SharedReplicas.StateMachine<Changes> {
    private static final int KEPT = 100;
    private static final int MOST_ROUTERS = 4096;
    private final Absent first;

    /** @param first what is done about absent routers until a first change says otherwise */
    ChangesMachine(Absent first) {
        this.first = first;
    }

    @Override
    public Changes initial() {
        return new Changes(KEPT, MOST_ROUTERS, first);
    }

    @Override
    public Changes copy(Changes state) {
        return of(lines(state));
    }

    @Override
    public String play(Changes state, String line) {
        return state.apply(PolicyCommandCodec.decode(LineCodec.decode(line))).message();
    }

    @Override
    public List<String> lines(Changes state) {
        return state.lines().stream().map(words -> LineCodec.encode(words.toArray())).toList();
    }

    @Override
    public Changes of(List<String> lines) {
        return Changes.of(
                KEPT, MOST_ROUTERS, first, lines.stream().map(LineCodec::decode).toList());
    }
}

package tinlink.cluster.consensus;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Several state machines that share one order of lines, told apart by the first field of a line. All
 * routers of a cluster have the same ones, whether they make use of them or not.
 */
public final class CompositeStateMachine implements ReplicatedStateMachine {
    private final ReplicatedStateMachine defaultStateMachine;
    private final Map<String, ReplicatedStateMachine> byPrefix;

    /**
     * Puts them together.
     *
     * @param defaultStateMachine has all lines whose first field is none of the others'
     * @param byPrefix the others by that field
     */
    public CompositeStateMachine(
            ReplicatedStateMachine defaultStateMachine,
            Map<String, ReplicatedStateMachine> byPrefix) {
        this.defaultStateMachine = defaultStateMachine;
        this.byPrefix = new TreeMap<>(byPrefix);
    }

    private ReplicatedStateMachine stateMachineFor(String line) {
        int tab = line.indexOf('\t');
        return byPrefix.getOrDefault(tab < 0 ? line : line.substring(0, tab), defaultStateMachine);
    }

    @Override
    public String apply(String line) {
        return stateMachineFor(line).apply(line);
    }

    @Override
    public List<String> snapshot() {
        List<String> lines = new ArrayList<>(defaultStateMachine.snapshot());
        byPrefix.values().forEach(stateMachine -> lines.addAll(stateMachine.snapshot()));
        return lines;
    }

    @Override
    public void restore(List<String> lines) {
        Map<ReplicatedStateMachine, List<String>> linesOf = new LinkedHashMap<>();
        linesOf.put(defaultStateMachine, new ArrayList<>());
        byPrefix.values().forEach(stateMachine -> linesOf.put(stateMachine, new ArrayList<>()));
        lines.forEach(line -> linesOf.get(stateMachineFor(line)).add(line));
        linesOf.forEach(ReplicatedStateMachine::restore);
    }
}

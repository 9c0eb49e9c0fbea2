package tinlink.cluster.consensus;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Several things that are agreed on in one order of lines, told apart by the first word of a line.
 * All routers of a cluster have the same ones, whether they make use of them or not.
 */
public final class CompositeStateMachine implements ReplicatedStateMachine {
    private final ReplicatedStateMachine defaultStateMachine;
    private final Map<String, ReplicatedStateMachine> byPrefix;

    /** @param defaultStateMachine has all lines whose first word is none of the others' */
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
        Map<ReplicatedStateMachine, List<String>> linesByStateMachine = new LinkedHashMap<>();
        linesByStateMachine.put(defaultStateMachine, new ArrayList<>());
        byPrefix.values()
                .forEach(stateMachine -> linesByStateMachine.put(stateMachine, new ArrayList<>()));
        lines.forEach(line -> linesByStateMachine.get(stateMachineFor(line)).add(line));
        linesByStateMachine.forEach(ReplicatedStateMachine::restore);
    }
}

package tinlink.cluster.consensus;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Replicates several state machines by one log: the first field of a line selects the state machine that
 * applies the line. All routers of a cluster have the same state machines, whether they use them or not.
 */
public final class CompositeStateMachine implements ReplicatedStateMachine {
    private final ReplicatedStateMachine defaultStateMachine;
    /** Sorted, so that the same states give the same snapshot on every router. */
    private final Map<String, ReplicatedStateMachine> stateMachineByFirstField;

    /**
     * Combines state machines.
     *
     * @param defaultStateMachine applies the lines whose first field is no key of the map
     * @param stateMachineByFirstField the other state machines, by the first field of their lines
     */
    public CompositeStateMachine(
            ReplicatedStateMachine defaultStateMachine,
            Map<String, ReplicatedStateMachine> stateMachineByFirstField) {
        this.defaultStateMachine = defaultStateMachine;
        this.stateMachineByFirstField = new TreeMap<>(stateMachineByFirstField);
    }

    private ReplicatedStateMachine stateMachineFor(String line) {
        int tab = line.indexOf('\t');
        String firstField = tab < 0 ? line : line.substring(0, tab);
        return stateMachineByFirstField.getOrDefault(firstField, defaultStateMachine);
    }

    @Override
    public String apply(String line) {
        return stateMachineFor(line).apply(line);
    }

    @Override
    public List<String> snapshot() {
        List<String> lines = new ArrayList<>(defaultStateMachine.snapshot());
        stateMachineByFirstField
                .values()
                .forEach(stateMachine -> lines.addAll(stateMachine.snapshot()));
        return lines;
    }

    @Override
    public void restore(List<String> lines) {
        Map<ReplicatedStateMachine, List<String>> linesByStateMachine = new LinkedHashMap<>();
        linesByStateMachine.put(defaultStateMachine, new ArrayList<>());
        stateMachineByFirstField
                .values()
                .forEach(stateMachine -> linesByStateMachine.put(stateMachine, new ArrayList<>()));
        lines.forEach(line -> linesByStateMachine.get(stateMachineFor(line)).add(line));
        linesByStateMachine.forEach(ReplicatedStateMachine::restore);
    }
}

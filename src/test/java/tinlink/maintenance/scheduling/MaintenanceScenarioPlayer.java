package tinlink.maintenance.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import tinlink.Scenarios;
import tinlink.cluster.consensus.LineCodec;

import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Plays a scenario of maintenance commands, in the notation of docs/scenarios.md. After each command, the
 * state is written to a snapshot and restored from it.
 */
public final class MaintenanceScenarioPlayer {
    private DisruptionLimits limits =
            new DisruptionLimits(2, 0, 0.5, 1_000_000, 4_000_000, 20_000_000, 100, 100);
    private MaintenanceStateMachine stateMachine = new MaintenanceStateMachine(limits);
    private String response = "";

    public void play(List<String> script) {
        Scenarios.play(script, ";", this::step);
    }

    private void step(String[] tokens) {
        switch (tokens[0]) {
            case "bounds" -> {
                limits = new DisruptionLimits(
                        Integer.parseInt(tokens[1]),
                        Double.parseDouble(tokens[2]),
                        Double.parseDouble(tokens[3]),
                        microseconds(tokens[4]),
                        microseconds(tokens[5]),
                        microseconds(tokens[6]),
                        Integer.parseInt(tokens[7]),
                        Integer.parseInt(tokens[8]));
                stateMachine = new MaintenanceStateMachine(limits);
            }
            case "node" ->
                apply(MaintenanceCommandCodec.encodeMachine(new Machine(
                        tokens[1],
                        Machine.Kind.NODE,
                        Integer.parseInt(tokens[2]),
                        tokens[3],
                        tokens.length > 4 ? tokens[4] : "s",
                        "n",
                        false)));
            case "router" -> {
                apply(MaintenanceCommandCodec.encodeMachine(new Machine(
                        tokens[1],
                        Machine.Kind.ROUTER,
                        -1,
                        tokens[2],
                        "s",
                        "r",
                        tokens.length > 3)));
                apply(MaintenanceCommandCodec.encode(
                        new MaintenanceCommand.RegisterRouter(tokens[1], "1")));
            }
            case "ask" ->
                apply(MaintenanceCommandCodec.encodeRequest(new MaintenanceRequest(
                        tokens[1],
                        tokens[2].equals("-") ? List.of() : List.of(tokens[2].split(",")),
                        microseconds(tokens[3]),
                        tokens.length > 5 ? microseconds(tokens[5]) : Long.MAX_VALUE,
                        tokens.length > 4 ? Integer.parseInt(tokens[4]) : 5,
                        "op",
                        "why")));
            case "tick" -> {
                for (long remainingUs = tokens.length < 2 ? 0 : microseconds(tokens[1]);
                        remainingUs > 0;
                        remainingUs -= MaintenanceStateMachine.MAX_TICK_US) {
                    apply(MaintenanceCommandCodec.encode(new MaintenanceCommand.AdvanceTime(
                            Math.min(remainingUs, MaintenanceStateMachine.MAX_TICK_US))));
                }
                if (tokens.length < 2) {
                    apply("tick");
                }
            }
            case "is" ->
                assertEquals(
                        tokens[2],
                        state(tokens[1]),
                        () -> tokens[1] + ": " + task(tokens[1]).reason());
            case "why" ->
                assertTrue(
                        task(tokens[1]).reason().contains(rest(tokens, 2)),
                        () -> task(tokens[1]).reason());
            case "said" ->
                assertTrue(
                        response.contains(rest(tokens, 1))
                                && response.isEmpty() == (tokens.length == 1),
                        () -> response);
            case "fence" ->
                assertEquals(tokens[2], Long.toString(task(tokens[1]).fencingToken()));
            default -> apply(LineCodec.encode((Object[]) tokens));
        }
    }

    private static String rest(String[] tokens, int from) {
        return Arrays.stream(tokens, from, tokens.length).collect(Collectors.joining(" "));
    }

    private static long microseconds(String milliseconds) {
        return 1000 * Long.parseLong(milliseconds);
    }

    /** Returns the first task of a request that is named as "q1", or the task of a machine as "q1/n1". */
    private MaintenanceTask task(String name) {
        String[] ids = name.split("/", 0);
        return stateMachine.state().tasksOf(ids[0]).stream()
                .filter(task -> ids.length == 1 || task.machine().equals(ids[1]))
                .findFirst()
                .orElseThrow(() -> new AssertionError("no task " + name));
    }

    private String state(String name) {
        return task(name).state().label().replace(' ', '-');
    }

    private void apply(String line) {
        response = stateMachine.apply(MaintenanceCommandCodec.decode(line)).message();
        List<String> lines = stateMachine.snapshot();
        stateMachine = MaintenanceStateMachine.restore(lines);
        assertEquals(lines, stateMachine.snapshot(), "a restored state has the same snapshot");
    }
}

package tinlink.maintenance.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import tinlink.Scenarios;
import tinlink.cluster.consensus.LineCodec;

import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Plays a scenario of the order of work; docs/scenarios.md has the notation. Each step is written
 * and read again.
 */
public final class MaintenanceScenarioPlayer {
    private DisruptionLimits limits =
            new DisruptionLimits(2, 0, 0.5, 1_000_000, 4_000_000, 20_000_000, 100, 100);
    private MaintenanceStateMachine stateMachine = new MaintenanceStateMachine(limits);
    private String response = "";

    public void play(List<String> script) {
        Scenarios.play(script, ";", this::step);
    }

    private void step(String[] words) {
        switch (words[0]) {
            case "bounds" -> {
                limits = new DisruptionLimits(
                        Integer.parseInt(words[1]),
                        Double.parseDouble(words[2]),
                        Double.parseDouble(words[3]),
                        us(words[4]),
                        us(words[5]),
                        us(words[6]),
                        Integer.parseInt(words[7]),
                        Integer.parseInt(words[8]));
                stateMachine = new MaintenanceStateMachine(limits);
            }
            case "node" ->
                apply(MaintenanceCommandCodec.machine(new Machine(
                        words[1],
                        Machine.Kind.NODE,
                        Integer.parseInt(words[2]),
                        words[3],
                        words.length > 4 ? words[4] : "s",
                        "n",
                        false)));
            case "router" -> {
                apply(MaintenanceCommandCodec.machine(new Machine(
                        words[1], Machine.Kind.ROUTER, -1, words[2], "s", "r", words.length > 3)));
                apply(MaintenanceCommandCodec.encode(
                        new MaintenanceCommand.RegisterRouter(words[1], "1")));
            }
            case "ask" ->
                apply(MaintenanceCommandCodec.request(new MaintenanceRequest(
                        words[1],
                        words[2].equals("-") ? List.of() : List.of(words[2].split(",")),
                        us(words[3]),
                        words.length > 5 ? us(words[5]) : Long.MAX_VALUE,
                        words.length > 4 ? Integer.parseInt(words[4]) : 5,
                        "op",
                        "why")));
            case "tick" -> {
                for (long left = words.length < 2 ? 0 : us(words[1]);
                        left > 0;
                        left -= MaintenanceStateMachine.MAX_TICK_US) {
                    apply(MaintenanceCommandCodec.encode(new MaintenanceCommand.AdvanceTime(
                            Math.min(left, MaintenanceStateMachine.MAX_TICK_US))));
                }
                if (words.length < 2) {
                    apply("tick");
                }
            }
            case "is" ->
                assertEquals(
                        words[2],
                        state(words[1]),
                        () -> words[1] + ": " + task(words[1]).reason());
            case "why" ->
                assertTrue(
                        task(words[1]).reason().contains(rest(words, 2)),
                        () -> task(words[1]).reason());
            case "said" ->
                assertTrue(
                        response.contains(rest(words, 1))
                                && response.isEmpty() == (words.length == 1),
                        () -> response);
            case "fence" -> assertEquals(words[2], Long.toString(task(words[1]).fencingToken()));
            default -> apply(LineCodec.encode((Object[]) words));
        }
    }

    private static String rest(String[] words, int from) {
        return Arrays.stream(words, from, words.length).collect(Collectors.joining(" "));
    }

    private static long us(String ms) {
        return 1000 * Long.parseLong(ms);
    }

    /** As "q1" for its one piece, or "q1/n1". */
    private MaintenanceTask task(String name) {
        String[] words = name.split("/", 0);
        return stateMachine.state().tasksOf(words[0]).stream()
                .filter(task -> words.length == 1 || task.machine().equals(words[1]))
                .findFirst()
                .orElseThrow(() -> new AssertionError("no piece " + name));
    }

    private String state(String name) {
        return task(name).state().label().replace(' ', '-');
    }

    private void apply(String line) {
        response = stateMachine.apply(MaintenanceCommandCodec.decode(line)).message();
        List<String> lines = stateMachine.snapshot();
        stateMachine = MaintenanceStateMachine.restore(lines);
        assertEquals(lines, stateMachine.snapshot(), "written and read again");
    }
}

package tinlink.work.choice;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import tinlink.Scenarios;
import tinlink.cluster.membership.LineCodec;

import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Plays a scenario of the order of work; docs/scenarios.md has the notation. Each step is written
 * and read again.
 */
public final class OrderPlayer {
    private Bounds bounds = new Bounds(2, 0, 0.5, 1_000_000, 4_000_000, 20_000_000, 100, 100);
    private Order order = new Order(bounds);
    private String said = "";

    public void play(List<String> script) {
        Scenarios.play(script, ";", this::line);
    }

    private void line(String[] w) {
        switch (w[0]) {
            case "bounds" -> {
                bounds = new Bounds(
                        Integer.parseInt(w[1]),
                        Double.parseDouble(w[2]),
                        Double.parseDouble(w[3]),
                        us(w[4]),
                        us(w[5]),
                        us(w[6]),
                        Integer.parseInt(w[7]),
                        Integer.parseInt(w[8]));
                order = new Order(bounds);
            }
            case "node" ->
                says(new Machine(
                                w[1],
                                Machine.Kind.NODE,
                                Integer.parseInt(w[2]),
                                w[3],
                                w.length > 4 ? w[4] : "s",
                                "n",
                                false)
                        .words());
            case "router" -> {
                says(new Machine(w[1], Machine.Kind.ROUTER, -1, w[2], "s", "r", w.length > 3)
                        .words());
                says(Order.lifeWords(w[1], "1"));
            }
            case "ask" ->
                says(new Request(
                                w[1],
                                w[2].equals("-") ? List.of() : List.of(w[2].split(",")),
                                us(w[3]),
                                w.length > 5 ? us(w[5]) : Long.MAX_VALUE,
                                w.length > 4 ? Integer.parseInt(w[4]) : 5,
                                "op",
                                "why")
                        .words());
            case "tick" -> {
                for (long left = w.length < 2 ? 0 : us(w[1]); left > 0; left -= Order.MOST_TICK) {
                    says(Order.tickWords(Math.min(left, Order.MOST_TICK)));
                }
                if (w.length < 2) {
                    says("tick");
                }
            }
            case "is" ->
                assertEquals(w[2], state(w[1]), () -> w[1] + ": " + piece(w[1]).why());
            case "why" ->
                assertTrue(
                        piece(w[1]).why().contains(rest(w, 2)),
                        () -> piece(w[1]).why());
            case "said" ->
                assertTrue(
                        said.contains(rest(w, 1)) && said.isEmpty() == (w.length == 1), () -> said);
            case "fence" -> assertEquals(w[2], Long.toString(piece(w[1]).fence()));
            default -> says(LineCodec.encode((Object[]) w));
        }
    }

    private static String rest(String[] w, int from) {
        return Arrays.stream(w, from, w.length).collect(Collectors.joining(" "));
    }

    private static long us(String ms) {
        return 1000 * Long.parseLong(ms);
    }

    /** As "q1" for its one piece, or "q1/n1". */
    private Piece piece(String name) {
        String[] w = name.split("/", 0);
        return order.request(w[0]).stream()
                .filter(p -> w.length == 1 || p.machine().equals(w[1]))
                .findFirst()
                .orElseThrow(() -> new AssertionError("no piece " + name));
    }

    private String state(String name) {
        return piece(name).state().shown().replace(' ', '-');
    }

    private void says(String line) {
        said = order.play(line);
        List<String> lines = order.lines();
        order = Order.of(lines);
        assertEquals(lines, order.lines(), "written and read again");
    }
}

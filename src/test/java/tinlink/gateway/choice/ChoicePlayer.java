package tinlink.gateway.choice;

import static org.junit.jupiter.api.Assertions.assertEquals;

import tinlink.Scenarios;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

/**
 * Plays a scenario of the gateway's choices; docs/scenarios.md has the notation. Time is the
 * script's.
 */
public final class ChoicePlayer implements FarRouter.Hands, Taker.Hands {
    private static final class Part extends Forwarded {
        private final String name;

        Part(String name, long until, int cell, boolean repeatable) {
            super(until, cell, repeatable);
            this.name = name;
        }
    }

    private static final class Came extends Taken {
        Came(Origin origin, long number) {
            super(origin, number);
        }
    }

    private static final Set<String> FAR_SIDE =
            Set.of("opens", "closes", "comes", "ends", "given-up", "lowest", "asks", "leaves");

    private record Timer(long at, Runnable what) {}

    private final Map<String, Long> figures = new HashMap<>(Map.of(
            "lines", 1L, "beat", 250L, "waiting", 2L, "recover", 2000L, "trip", 100L, "running", 4L,
            "kept", 4L, "bytes", 1000L, "origins", 2L, "keep", 6000L));
    private final ArrayDeque<String> decided = new ArrayDeque<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    private final Map<String, Part> parts = new HashMap<>();
    private final Map<String, Origin> sessions = new LinkedHashMap<>();
    private final Set<Integer> silent = new HashSet<>();
    private boolean elsewhere;
    private long opens;
    private FarRouter far;
    private Taker taker;
    private long now;

    public void play(List<String> script) {
        Scenarios.play(script, ";", this::line);
        assertEquals(List.of(), List.copyOf(decided), "decided and not expected");
    }

    private void line(String[] w) {
        String[] rest = Arrays.copyOfRange(w, 1, w.length);
        switch (w[0]) {
            case "set" -> figures.put(w[1], Long.parseLong(w[2]));
            case "=" ->
                assertEquals(
                        String.join(" ", rest), decided.isEmpty() ? "nothing" : decided.poll());
            case "at" -> {
                assertEquals(List.of(), List.copyOf(decided), "decided and not expected");
                until(ms(w[1]));
            }
            default -> {
                begin(!FAR_SIDE.contains(w[0]));
                for (int i = 0; i < rest.length; i++) {
                    rest[i] = rest[i].intern(); // Sessions are told apart as objects.
                }
                input(w[0], rest);
                pull();
            }
        }
    }

    /** Each scenario is of one side; its first input says which. */
    private void begin(boolean near) {
        if (near && far == null) {
            far = new FarRouter(
                    "f",
                    (int) (long) figures.get("lines"),
                    new FarRouter.Patience(
                            us("beat"), (int) (long) figures.get("waiting"), us("recover")),
                    (cell, other) -> elsewhere,
                    new SplittableRandom(1));
            far.clock(now);
        } else if (!near && taker == null) {
            taker = new Taker(new Taker.Bounds(
                    (int) (long) figures.get("running"),
                    (int) (long) figures.get("kept"),
                    figures.get("bytes"),
                    (int) (long) figures.get("origins"),
                    us("keep"),
                    us("beat")));
            taker.clock(now);
        }
    }

    private void clock(long at) {
        now = at;
        if (far != null) {
            far.clock(now);
        }
        if (taker != null) {
            taker.clock(now);
        }
    }

    private long us(String figure) {
        return 1000 * figures.get(figure);
    }

    private static long ms(String text) {
        return 1000 * Long.parseLong(text);
    }

    /** The clock moves on; timers and the answers to heartbeats that come due are played. */
    private void until(long to) {
        while (!timers.isEmpty() && timers.peek().at <= to) {
            Timer t = timers.poll();
            clock(Math.max(now, t.at));
            t.what.run();
            pull();
        }
        clock(to);
        pull();
    }

    private void pull() {
        while ((far != null && far.decide(this)) || (taker != null && taker.decide(this))) {
            // Each has been noted.
        }
    }

    private void input(String what, String[] w) {
        switch (what) {
            case "up" ->
                far.up(far.lanes.get(Integer.parseInt(w[0])), Long.parseLong(w[1]), us("trip"));
            case "fails", "lost" -> {
                Set<String> not = new HashSet<>(Arrays.asList(w).subList(1, w.length));
                far.lost(
                        far.lanes.get(Integer.parseInt(w[0])), p -> !not.contains(((Part) p).name));
            }
            case "serves" -> {
                BitSet cells = new BitSet();
                Arrays.stream(w).forEach(c -> cells.set(Integer.parseInt(c)));
                far.serves(cells);
            }
            case "window" -> far.window(Integer.parseInt(w[0]));
            case "silent" -> silent.add(Integer.parseInt(w[0]));
            case "speaks" -> silent.remove(Integer.parseInt(w[0]));
            case "elsewhere" -> elsewhere = true;
            case "part" -> {
                Part p = new Part(w[0], now + ms(w[2]), Integer.parseInt(w[1]), w.length < 4);
                parts.put(w[0], p);
                far.part(p);
            }
            case "gives-up" -> far.giveUp(parts.get(w[0]));
            case "fate" -> {
                Part p = parts.get(w[0]);
                far.fate(p.lane, p.number, Fate.valueOf(w[1].toUpperCase(Locale.ROOT)));
            }
            case "bye" -> far.leaves(far.lanes.get(Integer.parseInt(w[0])), Long.parseLong(w[1]));
            // The far side.
            case "opens" -> {
                Origin o = taker.opened(
                        w[1],
                        Integer.parseInt(w[2]),
                        Long.parseLong(w[3]),
                        opens++,
                        Long.parseLong(w[4]),
                        w[0]);
                if (o == null) {
                    decided.add("full");
                } else {
                    sessions.put(w[0], o);
                }
            }
            case "closes" -> taker.closed(sessions.get(w[0]), w[0]);
            case "comes" ->
                taker.part(
                        sessions.get(w[0]),
                        new Came(sessions.get(w[0]), Long.parseLong(w[1])),
                        w.length < 3);
            case "ends" ->
                taker.ended(
                        sessions.get(w[0]).parts.get(Long.parseLong(w[1])),
                        Fate.valueOf(w[2].toUpperCase(Locale.ROOT)),
                        w.length > 3 ? Integer.parseInt(w[3]) : 1);
            case "given-up" -> taker.givenUp(sessions.get(w[0]), Long.parseLong(w[1]));
            case "lowest" -> taker.lowest(sessions.get(w[0]), Long.parseLong(w[1]));
            case "asks" ->
                taker.asked(
                        sessions.get(w[0]),
                        w[0],
                        Integer.parseInt(w[1]),
                        opens,
                        Long.parseLong(w[2]),
                        Arrays.stream(w).skip(3).map(Long::parseLong).collect(Collectors.toSet()));
            case "leaves" -> taker.leaves();
            default -> throw new IllegalArgumentException(what);
        }
    }

    // ---- Decisions of the near side. ----

    @Override
    public void connect(Lane lane) {
        decided.add("connect " + lane.index);
    }

    @Override
    public void cut(Lane lane) {
        decided.add("cut " + lane.index);
        far.lost(lane, p -> true);
    }

    /** Answered after a round trip, unless the line is silent. */
    @Override
    public void ping(Lane lane, long number, long lowest) {
        timers.add(new Timer(now + us("trip"), () -> {
            if (!silent.contains(lane.index)) {
                far.ponged(lane, number);
            }
        }));
    }

    @Override
    public void send(Forwarded part) {
        decided.add("send " + ((Part) part).name + " " + part.lane.index);
    }

    @Override
    public void giveUp(Forwarded part) {
        decided.add("give-up " + ((Part) part).name);
    }

    @Override
    public void askFates(Lane on, Lane about) {
        List<String> open = new ArrayList<>(
                about.parts.values().stream().map(p -> ((Part) p).name).toList());
        if (!open.isEmpty()) {
            decided.add("ask " + on.index + " " + about.index + " " + String.join(" ", open));
        }
    }

    @Override
    public void ended(Forwarded part, Fate fate) {
        decided.add("end " + ((Part) part).name + " " + fate.name().toLowerCase(Locale.ROOT));
    }

    @Override
    public void serves(FarRouter router, BitSet cells, long lineUs) {
        String now = cells.stream().mapToObj(String::valueOf).collect(Collectors.joining(" "));
        if (!now.equals(served)) {
            served = now;
            decided.add(("cells " + now).trim());
        }
    }

    private String served = "";

    @Override
    public void wake(FarRouter router, long at) {
        wake(at);
    }

    @Override
    public void wake(long at) {
        timers.add(new Timer(at, () -> {}));
    }

    // ---- Decisions of the far side. ----

    @Override
    public void begin(Taken part) {
        decided.add("begin " + part.origin().line + " " + part.number);
    }

    @Override
    public void giveUp(Taken part) {
        decided.add("drop " + part.origin().line + " " + part.number);
    }

    @Override
    public void say(Object session, int line, long number, Fate fate, Taken part) {
        decided.add("say " + session + " " + line + " " + number + " "
                + fate.name().toLowerCase(Locale.ROOT));
    }

    @Override
    public void window(Object session, int parts) {
        decided.add("window " + session + " " + parts);
    }

    @Override
    public void close(Object session) {
        decided.add("close " + session);
    }
}

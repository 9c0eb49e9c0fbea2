package tinlink.gateway.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
 * Plays a scenario of the gateway's decisions; docs/scenarios.md describes the notation. The script
 * sets the time.
 */
public final class ForwardingPlayer implements ForwardingHandler, ExecutionHandler {
    private static final class TestForwardedPart extends ForwardedPart {
        private final String name;

        TestForwardedPart(String name, long deadline, int cell, boolean idempotent) {
            super(deadline, cell, idempotent);
            this.name = name;
        }
    }

    private static final class TestReceivedPart extends ReceivedPart {
        TestReceivedPart(InboundChannel channel, long number) {
            super(channel, number);
        }
    }

    private static final Set<String> RECEIVER_INPUTS = Set.of(
            "opens",
            "closes",
            "comes",
            "ends",
            "given-up",
            "lowest",
            "asks",
            "leaves",
            "pauses",
            "busy",
            "idle",
            "resumes");

    private record Timer(long at, Runnable task) {}

    private final Map<String, Long> settings = new HashMap<>(Map.of(
            "lines", 1L, "beat", 250L, "waiting", 2L, "recover", 2000L, "trip", 100L, "running", 4L,
            "kept", 4L, "bytes", 1000L, "origins", 2L, "keep", 6000L));
    private final ArrayDeque<String> decisions = new ArrayDeque<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    private final Map<String, TestForwardedPart> parts = new HashMap<>();
    private final Map<String, InboundChannel> sessions = new LinkedHashMap<>();
    private final Set<Integer> silent = new HashSet<>();
    private boolean hasAlternative;
    private String reachableCells = "";
    private long connectCount;
    private RemoteRouter remoteRouter;
    private ForwardedPartReceiver receiver;
    private long now;

    public void play(List<String> script) {
        Scenarios.play(script, ";", this::line);
        assertEquals(List.of(), List.copyOf(decisions), "unexpected decisions");
    }

    private void line(String[] words) {
        String[] rest = Arrays.copyOfRange(words, 1, words.length);
        switch (words[0]) {
            case "set" -> settings.put(words[1], Long.parseLong(words[2]));
            case "=" ->
                assertEquals(
                        String.join(" ", rest), decisions.isEmpty() ? "nothing" : decisions.poll());
            case "at" -> {
                assertEquals(List.of(), List.copyOf(decisions), "unexpected decisions");
                advanceTo(ms(words[1]));
            }
            default -> {
                createSide(!RECEIVER_INPUTS.contains(words[0]));
                for (int i = 0; i < rest.length; i++) {
                    rest[i] = rest[i].intern(); // Sessions are compared by identity.
                }
                input(words[0], rest);
                runAllDecisions();
            }
        }
    }

    /** Creates the forwarding or the receiving side, which the first input of the scenario selects. */
    private void createSide(boolean forwarding) {
        if (forwarding && remoteRouter == null) {
            remoteRouter = new RemoteRouter(
                    "f",
                    (int) (long) settings.get("lines"),
                    new RemoteRouter.Settings(
                            us("beat"), (int) (long) settings.get("waiting"), us("recover")),
                    (cell, other) -> hasAlternative,
                    new SplittableRandom(1));
            remoteRouter.advanceClock(now);
        } else if (!forwarding && receiver == null) {
            receiver = new ForwardedPartReceiver(new ForwardedPartReceiver.Limits(
                    (int) (long) settings.get("running"),
                    (int) (long) settings.get("kept"),
                    settings.get("bytes"),
                    (int) (long) settings.get("origins"),
                    us("keep"),
                    us("beat")));
            receiver.advanceClock(now);
        }
    }

    private void advanceClock(long at) {
        now = at;
        if (remoteRouter != null) {
            remoteRouter.advanceClock(now);
        }
        if (receiver != null) {
            receiver.advanceClock(now);
        }
    }

    private long us(String setting) {
        return 1000 * settings.get(setting);
    }

    private static long ms(String text) {
        return 1000 * Long.parseLong(text);
    }

    /** Advances the clock and runs the timers and heartbeat answers that become due. */
    private void advanceTo(long to) {
        while (!timers.isEmpty() && timers.peek().at <= to) {
            Timer timer = timers.poll();
            advanceClock(Math.max(now, timer.at));
            timer.task.run();
            runAllDecisions();
        }
        advanceClock(to);
        runAllDecisions();
    }

    private void runAllDecisions() {
        while ((remoteRouter != null && remoteRouter.decide(this))
                || (receiver != null && receiver.decide(this))) {
            // The handler methods have recorded the decision.
        }
    }

    private void input(String name, String[] words) {
        switch (name) {
            case "up" ->
                remoteRouter.onConnected(
                        remoteRouter.channels.get(Integer.parseInt(words[0])),
                        Long.parseLong(words[1]),
                        us("trip"));
            case "fails", "lost" -> {
                Set<String> notSent = new HashSet<>(Arrays.asList(words).subList(1, words.length));
                remoteRouter.onDisconnected(
                        remoteRouter.channels.get(Integer.parseInt(words[0])),
                        part -> !notSent.contains(((TestForwardedPart) part).name));
            }
            case "serves" -> {
                BitSet cells = new BitSet();
                Arrays.stream(words).forEach(c -> cells.set(Integer.parseInt(c)));
                remoteRouter.onServedCells(cells);
            }
            case "window" -> remoteRouter.onCreditWindow(Integer.parseInt(words[0]));
            case "silent" -> silent.add(Integer.parseInt(words[0]));
            case "speaks" -> silent.remove(Integer.parseInt(words[0]));
            case "elsewhere" -> hasAlternative = true;
            case "part" -> {
                TestForwardedPart testPart = new TestForwardedPart(
                        words[0], now + ms(words[2]), Integer.parseInt(words[1]), words.length < 4);
                parts.put(words[0], testPart);
                remoteRouter.forward(testPart);
            }
            case "gives-up" -> remoteRouter.cancel(parts.get(words[0]));
            case "fate" -> {
                TestForwardedPart testPart = parts.get(words[0]);
                remoteRouter.onPartStatus(
                        testPart.channel,
                        testPart.number,
                        PartStatus.valueOf(words[1].toUpperCase(Locale.ROOT)));
            }
            case "bye" ->
                remoteRouter.onGoAway(
                        remoteRouter.channels.get(Integer.parseInt(words[0])),
                        Long.parseLong(words[1]));
            // Inputs of the receiving side.
            case "opens" -> {
                InboundChannel inbound = receiver.onConnected(
                        words[1],
                        Integer.parseInt(words[2]),
                        Long.parseLong(words[3]),
                        connectCount++,
                        Long.parseLong(words[4]),
                        words[0]);
                if (inbound == null) {
                    decisions.add("full");
                } else {
                    sessions.put(words[0], inbound);
                }
            }
            case "closes" -> receiver.onDisconnected(sessions.get(words[0]), words[0]);
            case "comes" ->
                receiver.onForwardPart(
                        sessions.get(words[0]),
                        new TestReceivedPart(sessions.get(words[0]), Long.parseLong(words[1])),
                        words.length < 3);
            case "ends" ->
                receiver.onPartEnded(
                        sessions.get(words[0]).find(Long.parseLong(words[1])),
                        PartStatus.valueOf(words[2].toUpperCase(Locale.ROOT)),
                        words.length > 3 ? Integer.parseInt(words[3]) : 1);
            case "given-up" ->
                receiver.onCancelPart(sessions.get(words[0]), Long.parseLong(words[1]));
            case "lowest" -> receiver.forgetBelow(sessions.get(words[0]), Long.parseLong(words[1]));
            case "asks" ->
                receiver.onStatusQuery(
                        sessions.get(words[0]),
                        words[0],
                        Integer.parseInt(words[1]),
                        connectCount,
                        Long.parseLong(words[2]),
                        Arrays.stream(words)
                                .skip(3)
                                .map(Long::parseLong)
                                .collect(Collectors.toSet()));
            case "leaves", "pauses" -> receiver.startDraining();
            case "idle" -> assertTrue(receiver.isIdle(), "parts run, or answers may not have left");
            case "busy" -> assertFalse(receiver.isIdle(), "no answer is left to be told");
            case "resumes" -> receiver.resume();
            default -> throw new IllegalArgumentException("unknown input '" + name + "'");
        }
    }

    // ---- Decisions of the forwarding side. ----

    @Override
    public void connect(GatewayChannel channel) {
        decisions.add("connect " + channel.index);
    }

    @Override
    public void disconnect(GatewayChannel channel) {
        decisions.add("cut " + channel.index);
        remoteRouter.onDisconnected(channel, part -> true);
    }

    /** Schedules the answer one round trip later, unless the channel is silent. */
    @Override
    public void sendHeartbeat(GatewayChannel channel, long number, long lowestOpenNumber) {
        timers.add(new Timer(now + us("trip"), () -> {
            if (!silent.contains(channel.index)) {
                remoteRouter.onHeartbeatAck(channel, number);
            }
        }));
    }

    @Override
    public void sendPart(ForwardedPart part) {
        decisions.add("send " + ((TestForwardedPart) part).name + " " + part.channel.index);
    }

    @Override
    public void sendCancel(ForwardedPart part) {
        decisions.add("give-up " + ((TestForwardedPart) part).name);
    }

    @Override
    public void sendStatusQuery(GatewayChannel via, GatewayChannel about) {
        List<String> open = new ArrayList<>(about.openParts.values().stream()
                .map(part -> ((TestForwardedPart) part).name)
                .toList());
        if (!open.isEmpty()) {
            decisions.add("ask " + via.index + " " + about.index + " " + String.join(" ", open));
        }
    }

    @Override
    public void partEnded(ForwardedPart part, PartStatus status) {
        decisions.add("end " + ((TestForwardedPart) part).name + " "
                + status.name().toLowerCase(Locale.ROOT));
    }

    @Override
    public void cellsChanged(RemoteRouter router, BitSet cells, long roundTripUs) {
        String reachable =
                cells.stream().mapToObj(String::valueOf).collect(Collectors.joining(" "));
        if (!reachable.equals(reachableCells)) {
            reachableCells = reachable;
            decisions.add(("cells " + reachable).trim());
        }
    }

    @Override
    public void wakeAt(RemoteRouter router, long at) {
        wakeAt(at);
    }

    @Override
    public void wakeAt(long at) {
        timers.add(new Timer(at, () -> {}));
    }

    // ---- Decisions of the receiving side. ----

    @Override
    public void startPart(ReceivedPart part) {
        decisions.add("begin " + part.channel().index() + " " + part.number);
    }

    @Override
    public void cancelPart(ReceivedPart part) {
        decisions.add("drop " + part.channel().index() + " " + part.number);
    }

    @Override
    public void sendPartStatus(
            Object session, int channelIndex, long number, PartStatus status, ReceivedPart part) {
        decisions.add("say " + session + " " + channelIndex + " " + number + " "
                + status.name().toLowerCase(Locale.ROOT));
    }

    @Override
    public void sendCreditWindow(Object session, int parts) {
        decisions.add("window " + session + " " + parts);
    }

    @Override
    public void closeSession(Object session) {
        decisions.add("close " + session);
    }
}

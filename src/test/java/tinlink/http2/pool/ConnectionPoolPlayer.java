package tinlink.http2.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import tinlink.Scenarios;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Plays a scenario against {@link ConnectionPool}. The notation is described in docs/scenarios.md.
 */
public final class ConnectionPoolPlayer implements PoolHandler {
    /** More decisions at one moment than any script asks for. */
    private static final int MAX_DECISIONS_AT_ONCE = 1000;

    private static final class TestCall extends PendingCall {
        private final String name;

        TestCall(String name, long deadline) {
            super(deadline);
            this.name = name;
        }
    }

    /** The pool's settings by their names in the notation; times are milliseconds. */
    private final Map<String, Long> figures = new HashMap<>(Map.of(
            "connections",
            2L,
            "first",
            4L,
            "waiting",
            3L,
            "wait",
            100L,
            "connect",
            250L,
            "idle",
            5000L,
            "ping",
            500L,
            "remember",
            1000L));
    /** The decisions that the script has not checked yet, in the notation. */
    private final ArrayDeque<String> decided = new ArrayDeque<>();
    /** The times for which the pool asked to be called again, microseconds. */
    private final PriorityQueue<Long> wakes = new PriorityQueue<>();
    /** All connections that the pool opened; the index is the number in the notation. */
    private final List<PooledConnection> connections = new ArrayList<>();

    private final Map<String, TestCall> calls = new HashMap<>();
    /** The index of the connection on which an attempt was started, by the name of the attempt. */
    private final Map<String, Integer> placed = new HashMap<>();
    /** Whether the process has a file descriptor left for a new connection. */
    private boolean hasDescriptors = true;
    /** Null until the first input, so that the script can change settings before it. */
    private ConnectionPool pool;
    /** The time, microseconds. */
    private long now;

    public void play(List<String> script) {
        Scenarios.play(script, ";", this::line);
        assertEquals(List.of(), List.copyOf(decided), "unexpected decisions");
    }

    private void line(String[] words) {
        switch (words[0]) {
            case "set" -> figures.put(words[1], Long.parseLong(words[2]));
            case "=" ->
                assertEquals(
                        String.join(" ", words).substring(2),
                        decided.isEmpty() ? "nothing" : decided.poll());
            case "at" -> {
                assertEquals(List.of(), List.copyOf(decided), "unexpected decisions");
                long to = 1000 * Long.parseLong(words[1]);
                while (!wakes.isEmpty() && wakes.peek() <= to) {
                    now = Math.max(now, wakes.poll());
                    runAllDecisions();
                }
                now = to;
                runAllDecisions();
            }
            default -> {
                if (pool == null) {
                    pool = new ConnectionPool(new ConnectionPool.Settings(
                            intOf("connections"),
                            intOf("first"),
                            intOf("waiting"),
                            us("wait"),
                            us("connect"),
                            us("idle"),
                            us("ping"),
                            us("remember")));
                }
                pool.advanceClock(now);
                input(words);
                runAllDecisions();
            }
        }
    }

    private int intOf(String figure) {
        return (int) (long) figures.get(figure);
    }

    private long us(String figure) {
        return 1000 * figures.get(figure);
    }

    private void runAllDecisions() {
        pool.advanceClock(now);
        int decisions = 0;
        while (pool.decide(this)) {
            // The handler's methods record each decision.
            decisions++;
            assertTrue(decisions < MAX_DECISIONS_AT_ONCE, "the decisions have no end");
        }
    }

    private PooledConnection connection(String number) {
        return connections.get(Integer.parseInt(number));
    }

    private void input(String[] words) {
        switch (words[0]) {
            case "call" -> {
                TestCall testCall = new TestCall(words[1], now + 1000 * Long.parseLong(words[2]));
                calls.put(words[1], testCall);
                pool.submit(testCall);
            }
            case "drop" -> pool.cancel(calls.get(words[1]));
            case "up" -> pool.onConnected(connection(words[1]));
            case "settled" -> pool.onMaxStreams(connection(words[1]), Long.parseLong(words[2]));
            case "heard" -> pool.onBytes(connection(words[1]));
            case "ponged" ->
                pool.onPingAck(connection(words[1]), connection(words[1]).pendingPing());
            case "done" -> {
                pool.onBytes(connections.get(placed.get(words[1])));
                pool.onStreamClosed(connections.get(placed.get(words[1])));
            }
            case "retire" -> pool.retire(connection(words[1]));
            case "ended" ->
                pool.onConnectionEnded(
                        connection(words[1]), words.length < 3, CallResult.NO_CONNECTION);
            case "draining" -> pool.dropPending();
            case "gone" -> pool.onNodeRemoved();
            case "descriptors" -> hasDescriptors = words[1].equals("left");
            default -> throw new IllegalArgumentException(words[0]);
        }
    }

    @Override
    public void openConnection(PooledConnection pooled) {
        connections.add(pooled);
        if (hasDescriptors) {
            decided.add("open " + (connections.size() - 1));
        } else {
            decided.add("fail " + (connections.size() - 1));
            pool.onConnectionEnded(pooled, false, CallResult.NOT_SENT);
        }
    }

    @Override
    public void startCall(PendingCall call, PooledConnection pooled) {
        placed.put(((TestCall) call).name, connections.indexOf(pooled));
        decided.add("place " + ((TestCall) call).name + " " + connections.indexOf(pooled));
    }

    @Override
    public void endCall(PendingCall call, CallResult result) {
        decided.add(
                "over " + ((TestCall) call).name + " " + result.name().toLowerCase(Locale.ROOT));
    }

    @Override
    public void fallBackToFrames(PendingCall call) {
        decided.add("otherwise " + ((TestCall) call).name);
    }

    @Override
    public void sendPing(PooledConnection pooled, long number) {
        decided.add("ping " + connections.indexOf(pooled));
    }

    @Override
    public void closeConnection(PooledConnection pooled, boolean unresponsive) {
        decided.add("close " + connections.indexOf(pooled) + (unresponsive ? " silent" : ""));
        pool.onConnectionEnded(
                pooled,
                pooled.state == PooledConnection.State.UP
                        || pooled.state == PooledConnection.State.RETIRING,
                CallResult.NO_CONNECTION);
    }

    @Override
    public void wakeAt(long at) {
        wakes.add(at);
    }
}

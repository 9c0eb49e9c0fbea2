package tinlink.gateway.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Both choices against each other in simulated time, over lines that are cut, half-open, late, and
 * a far router that starts anew: whatever happens, each part ends once and in time, runs at most
 * once, and what is said never to have run never runs, then or later.
 */
class LossyChannelsTest {
    private static final int WINDOW = 6;
    private static final int WAITING = 4;

    private static final class TestForwardedPart extends ForwardedPart {
        private int ends;
        private int effects;
        private PartStatus status;
        private boolean cancelled;

        TestForwardedPart(long until, boolean repeatable) {
            super(until, 0, repeatable);
        }
    }

    private static final class TestReceivedPart extends ReceivedPart {
        private final TestForwardedPart part;

        TestReceivedPart(InboundChannel inbound, long number, TestForwardedPart part) {
            super(inbound, number);
            this.part = part;
        }
    }

    private record Event(long at, long order, Runnable what) {}

    /**
     * A connection: each side ends it for itself; what is under way still comes to a side that has
     * not.
     */
    private final class TestConnection {
        private final GatewayChannel channel;
        private boolean senderClosed;
        private boolean receiverClosed;
        private long forwardFreeAt;
        private long returnFreeAt;
        private InboundChannel inbound;
        private final ForwardedPartReceiver receiverAtOpen = receiver;

        TestConnection(GatewayChannel channel) {
            this.channel = channel;
        }

        void deliverToReceiver(Runnable what) {
            forwardFreeAt = Math.max(forwardFreeAt, now + delay());
            event(forwardFreeAt, () -> {
                if (!receiverClosed && receiverAtOpen == receiver) {
                    what.run();
                }
            });
        }

        void deliverToSender(Runnable what) {
            returnFreeAt = Math.max(returnFreeAt, now + delay());
            event(returnFreeAt, () -> {
                if (!senderClosed) {
                    what.run();
                }
            });
        }

        void closeAtSender() {
            if (!senderClosed) {
                senderClosed = true;
                connections.remove(channel, this);
                Set<ForwardedPart> notLeft = new HashSet<>();
                channel.openParts.values().forEach(part -> {
                    if (unsent.contains(part) && !part.wasUnresolved()) {
                        notLeft.add(part);
                    }
                });
                remoteRouter.onDisconnected(channel, part -> !notLeft.contains(part));
            }
        }

        void closeAtReceiver() {
            if (!receiverClosed) {
                receiverClosed = true;
                if (receiverAtOpen == receiver && inbound != null) {
                    receiver.onDisconnected(inbound, this);
                }
            }
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private final Map<GatewayChannel, TestConnection> connections = new HashMap<>();
    private final List<TestForwardedPart> parts = new ArrayList<>();
    /** What is in the near router's own buffer when its line ends. */
    private final Set<ForwardedPart> unsent = new HashSet<>();

    private SplittableRandom random;
    private RemoteRouter remoteRouter;
    private ForwardedPartReceiver receiver;
    private long incarnation = 1;
    private long now;
    private long nextOrder;
    private boolean faultsStopped;

    private void event(long at, Runnable what) {
        events.add(new Event(at, nextOrder++, what));
    }

    private long delay() {
        return 20_000
                + random.nextLong(
                        faultsStopped ? 10_000 : random.nextInt(300) == 0 ? 900_000 : 30_000);
    }

    private final ForwardingHandler sender = new ForwardingHandler() {
        @Override
        public void connect(GatewayChannel channel) {
            TestConnection connection = new TestConnection(channel);
            event(now + 2 * delay(), () -> {
                if (connection.receiverAtOpen != receiver
                        || (!faultsStopped && random.nextInt(4) == 0)) {
                    remoteRouter.onDisconnected(channel, part -> true);
                    return;
                }
                connections.put(channel, connection);
                remoteRouter.onConnected(channel, incarnation, 80_000);
                long next = channel.nextPartNumber();
                long ups = channel.connectCount();
                connection.deliverToReceiver(() -> {
                    connection.inbound =
                            receiver.onConnected("e1", channel.index, 1, ups, next, connection);
                    connection.deliverToSender(() -> {
                        BitSet cells = new BitSet();
                        cells.set(0);
                        remoteRouter.onServedCells(cells);
                    });
                });
            });
        }

        @Override
        public void disconnect(GatewayChannel channel) {
            connections.get(channel).closeAtSender();
        }

        @Override
        public void sendHeartbeat(GatewayChannel channel, long number, long lowest) {
            TestConnection connection = connections.get(channel);
            connection.deliverToReceiver(() -> {
                receiver.forgetBelow(connection.inbound, lowest);
                connection.deliverToSender(() -> remoteRouter.onHeartbeatAck(channel, number));
            });
        }

        @Override
        public void sendPart(ForwardedPart part) {
            TestConnection connection = connections.get(part.channel);
            long number = part.number;
            assertTrue(
                    remoteRouter.openPartCount() <= WINDOW + WAITING, "more is held than may be");
            if (!faultsStopped && random.nextInt(200) == 0) {
                unsent.add(part); // The line stands: it is cut before this leaves.
                event(now, connection::closeAtSender);
                return;
            }
            Runnable arrives = () -> receiver.onForwardPart(
                    connection.inbound,
                    new TestReceivedPart(connection.inbound, number, (TestForwardedPart) part),
                    true);
            connection.deliverToReceiver(arrives);
            if (random.nextInt(10) == 0) {
                connection.deliverToReceiver(arrives); // The same again.
            }
        }

        @Override
        public void sendCancel(ForwardedPart part) {
            TestConnection connection = connections.get(part.channel);
            long number = part.number;
            connection.deliverToReceiver(() -> receiver.onCancelPart(connection.inbound, number));
        }

        @Override
        public void sendStatusQuery(GatewayChannel via, GatewayChannel about) {
            TestConnection connection = connections.get(via);
            Set<Long> numbers = new HashSet<>(about.openParts.keySet());
            long fence = about.nextPartNumber();
            long ups = about.connectCount();
            connection.deliverToReceiver(() -> receiver.onStatusQuery(
                    connection.inbound, connection, about.index, ups, fence, numbers));
        }

        @Override
        public void partEnded(ForwardedPart part, PartStatus status) {
            recordEnd((TestForwardedPart) part, status);
        }

        @Override
        public void cellsChanged(RemoteRouter router, BitSet cells, long roundTripUs) {
            // The module would hear.
        }

        @Override
        public void wakeAt(RemoteRouter router, long at) {
            event(Math.max(at, now), () -> {});
        }
    };

    private void recordEnd(TestForwardedPart testPart, PartStatus status) {
        testPart.ends++;
        testPart.status = status;
        assertEquals(1, testPart.ends, "a second end: " + status);
        assertTrue(now <= testPart.deadline, "an end after its time");
    }

    private final ExecutionHandler executor = new ExecutionHandler() {
        @Override
        public void startPart(ReceivedPart part) {
            TestForwardedPart testPart = ((TestReceivedPart) part).part;
            ForwardedPartReceiver at = receiver;
            assertTrue(receiver.running() <= 2 * WINDOW, "more runs than may");
            if (random.nextInt(6) == 0) {
                event(now + 1000, () -> ended(at, part, PartStatus.REJECTED));
                return;
            }
            testPart.effects++;
            event(
                    now + 1000 + random.nextLong(200_000),
                    () -> ended(
                            at,
                            part,
                            random.nextInt(5) == 0 ? PartStatus.FAILED : PartStatus.COMPLETED));
        }

        private void ended(ForwardedPartReceiver at, ReceivedPart part, PartStatus status) {
            if (at == receiver) {
                receiver.onPartEnded(part, status, 10);
            }
        }

        @Override
        public void cancelPart(ReceivedPart part) {
            // What has run has run.
        }

        @Override
        public void sendPartStatus(
                Object session, int line, long number, PartStatus status, ReceivedPart part) {
            TestConnection connection = (TestConnection) session;
            connection.deliverToSender(() ->
                    remoteRouter.onPartStatus(remoteRouter.channels.get(line), number, status));
        }

        @Override
        public void sendCreditWindow(Object session, int parts) {
            ((TestConnection) session).deliverToSender(() -> remoteRouter.onCreditWindow(parts));
        }

        @Override
        public void closeSession(Object session) {
            TestConnection connection = (TestConnection) session;
            connection.closeAtReceiver();
            event(now + delay(), connection::closeAtSender);
        }

        @Override
        public void wakeAt(long at) {
            event(Math.max(at, now), () -> {});
        }
    };

    private void startReceiver() {
        receiver = new ForwardedPartReceiver(
                new ForwardedPartReceiver.Limits(WINDOW, 40, 1000, 4, 10_000_000, 250_000));
        receiver.advanceClock(now);
    }

    private void injectFault() {
        if (faultsStopped) {
            return;
        }
        event(now + 500_000 + random.nextLong(6_000_000), this::injectFault);
        List<TestConnection> open = new ArrayList<>(connections.values());
        if (open.isEmpty()) {
            return;
        }
        open.sort((a, b) -> a.channel.index - b.channel.index);
        TestConnection connection = open.get(random.nextInt(open.size()));
        switch (random.nextInt(4)) {
            case 0 -> {
                connection.closeAtSender();
                event(
                        now + random.nextLong(3_000_000),
                        connection::closeAtReceiver); // Half-open for a while.
            }
            case 1 -> {
                connection.closeAtReceiver();
                event(now + random.nextLong(2_000_000), connection::closeAtSender);
            }
            case 2 -> {
                connection.closeAtSender();
                connection.closeAtReceiver();
            }
            default -> {
                if (random.nextInt(3) == 0) {
                    incarnation++;
                    startReceiver();
                    open.forEach(each -> event(now + delay(), each::closeAtSender));
                }
            }
        }
    }

    @ParameterizedTest
    @ValueSource(
            longs = {
                1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23,
                24
            })
    void eachPartEndsOnceAndRunsAtMostOnce(long seed) {
        random = new SplittableRandom(seed);
        remoteRouter = new RemoteRouter(
                "f",
                2,
                new RemoteRouter.Settings(250_000, WAITING, 1_500_000),
                (cell, other) -> false,
                random.split());
        startReceiver();
        event(0, () -> {});
        event(500_000, this::injectFault);
        for (long at = 400_000; at < 40_000_000; at += 5000 + random.nextLong(120_000)) {
            event(at, () -> {
                TestForwardedPart testPart =
                        new TestForwardedPart(now + 300_000 + random.nextLong(2_500_000), false);
                parts.add(testPart);
                remoteRouter.forward(testPart);
                if (random.nextInt(8) == 0) {
                    event(now + random.nextLong(400_000), () -> {
                        if (testPart.ends == 0) {
                            testPart.cancelled = true;
                            remoteRouter.cancel(testPart);
                        }
                    });
                }
            });
        }
        event(41_000_000, () -> faultsStopped = true);
        while (!events.isEmpty() && events.peek().at < 60_000_000) {
            Event e = events.poll();
            now = e.at;
            remoteRouter.advanceClock(now);
            receiver.advanceClock(now);
            e.what.run();
            while (remoteRouter.decide(sender) || receiver.decide(executor)) {
                // Each has been carried out.
            }
        }
        Map<PartStatus, Integer> seen = new HashMap<>();
        for (TestForwardedPart testPart : parts) {
            assertEquals(testPart.cancelled ? 0 : 1, testPart.ends, "ends of a part");
            assertTrue(testPart.effects <= 1, "it ran " + testPart.effects + " times");
            if (testPart.status != null) {
                seen.merge(testPart.status, 1, Integer::sum);
                assertTrue(
                        !testPart.status.outcome.neverRan || testPart.effects == 0,
                        "it ran, and was reported as " + testPart.status);
                assertEquals(
                        testPart.status == PartStatus.COMPLETED ? 1 : testPart.effects,
                        testPart.effects,
                        "done without a run");
            }
        }
        assertTrue(
                seen.getOrDefault(PartStatus.COMPLETED, 0) > parts.size() / 3,
                "so few were done: " + seen);
        assertEquals(0, remoteRouter.openPartCount(), "still held");
        assertEquals(0, receiver.running(), "still running");
    }
}

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
 * Runs the decisions of the forwarding and the receiving router against each other in simulated time, over
 * connections that are cut, half-open or slow, and with restarts of the receiving router. Each part must end
 * once and by its deadline, must run at most once, and must never run if it was reported as not run.
 */
class LossyChannelsTest {
    private static final int WINDOW = 6;
    private static final int MAX_QUEUED = 4;

    private static final class TestForwardedPart extends ForwardedPart {
        private int ends;
        private int effects;
        private PartStatus status;
        private boolean cancelled;

        TestForwardedPart(long deadline, boolean idempotent) {
            super(deadline, 0, idempotent);
        }
    }

    private static final class TestReceivedPart extends ReceivedPart {
        private final TestForwardedPart part;

        TestReceivedPart(InboundChannel inbound, long number, TestForwardedPart part) {
            super(inbound, number);
            this.part = part;
        }
    }

    private record Event(long at, long order, Runnable task) {}

    /**
     * A connection that each side closes for itself; messages on their way still reach a side that
     * has not closed it.
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

        void deliverToReceiver(Runnable task) {
            forwardFreeAt = Math.max(forwardFreeAt, now + delay());
            schedule(forwardFreeAt, () -> {
                if (!receiverClosed && receiverAtOpen == receiver) {
                    task.run();
                }
            });
        }

        void deliverToSender(Runnable task) {
            returnFreeAt = Math.max(returnFreeAt, now + delay());
            schedule(returnFreeAt, () -> {
                if (!senderClosed) {
                    task.run();
                }
            });
        }

        void closeAtSender() {
            if (!senderClosed) {
                senderClosed = true;
                connections.remove(channel, this);
                Set<ForwardedPart> notSent = new HashSet<>();
                channel.openParts.values().forEach(part -> {
                    if (unsent.contains(part) && !part.wasUnresolved()) {
                        notSent.add(part);
                    }
                });
                remoteRouter.onDisconnected(channel, part -> !notSent.contains(part));
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
    /** Parts that are still in the forwarding router's write buffer when their connection ends. */
    private final Set<ForwardedPart> unsent = new HashSet<>();

    private SplittableRandom random;
    private RemoteRouter remoteRouter;
    private ForwardedPartReceiver receiver;
    private long incarnation = 1;
    private long now;
    private long nextOrder;
    private boolean faultsStopped;

    private void schedule(long at, Runnable task) {
        events.add(new Event(at, nextOrder++, task));
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
            schedule(now + 2 * delay(), () -> {
                if (connection.receiverAtOpen != receiver
                        || (!faultsStopped && random.nextInt(4) == 0)) {
                    remoteRouter.onDisconnected(channel, part -> true);
                    return;
                }
                connections.put(channel, connection);
                remoteRouter.onConnected(channel, incarnation, 80_000);
                long nextNumber = channel.nextPartNumber();
                long connectCount = channel.connectCount();
                connection.deliverToReceiver(() -> {
                    connection.inbound = receiver.onConnected(
                            "e1", channel.index, 1, connectCount, nextNumber, connection);
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
        public void sendHeartbeat(GatewayChannel channel, long number, long lowestOpenNumber) {
            TestConnection connection = connections.get(channel);
            connection.deliverToReceiver(() -> {
                receiver.forgetBelow(connection.inbound, lowestOpenNumber);
                connection.deliverToSender(() -> remoteRouter.onHeartbeatAck(channel, number));
            });
        }

        @Override
        public void sendPart(ForwardedPart part) {
            TestConnection connection = connections.get(part.channel);
            long number = part.number;
            assertTrue(remoteRouter.openPartCount() <= WINDOW + MAX_QUEUED, "too many open parts");
            if (!faultsStopped && random.nextInt(200) == 0) {
                unsent.add(part); // The connection is cut before the part is sent.
                schedule(now, connection::closeAtSender);
                return;
            }
            Runnable deliver = () -> receiver.onForwardPart(
                    connection.inbound,
                    new TestReceivedPart(connection.inbound, number, (TestForwardedPart) part),
                    true);
            connection.deliverToReceiver(deliver);
            if (random.nextInt(10) == 0) {
                connection.deliverToReceiver(deliver); // A duplicate.
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
            long nextNumber = about.nextPartNumber();
            long connectCount = about.connectCount();
            connection.deliverToReceiver(() -> receiver.onStatusQuery(
                    connection.inbound,
                    connection,
                    about.index,
                    connectCount,
                    nextNumber,
                    numbers));
        }

        @Override
        public void partEnded(ForwardedPart part, PartStatus status) {
            recordEnd((TestForwardedPart) part, status);
        }

        @Override
        public void cellsChanged(RemoteRouter router, BitSet cells, long roundTripUs) {
            // The test doesn't use the announcement.
        }

        @Override
        public void wakeAt(RemoteRouter router, long at) {
            schedule(Math.max(at, now), () -> {});
        }
    };

    private void recordEnd(TestForwardedPart testPart, PartStatus status) {
        testPart.ends++;
        testPart.status = status;
        assertEquals(1, testPart.ends, "a second end of a part: " + status);
        assertTrue(now <= testPart.deadline, "a part ended after its deadline");
    }

    private final ExecutionHandler executor = new ExecutionHandler() {
        @Override
        public void startPart(ReceivedPart part) {
            TestForwardedPart testPart = ((TestReceivedPart) part).part;
            ForwardedPartReceiver at = receiver;
            assertTrue(receiver.running() <= 2 * WINDOW, "too many running parts");
            if (random.nextInt(6) == 0) {
                schedule(now + 1000, () -> ended(at, part, PartStatus.REJECTED));
                return;
            }
            testPart.effects++;
            schedule(
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
            // A cancel does not undo the effect of a part.
        }

        @Override
        public void sendPartStatus(
                Object session,
                int channelIndex,
                long number,
                PartStatus status,
                ReceivedPart part) {
            TestConnection connection = (TestConnection) session;
            connection.deliverToSender(() -> remoteRouter.onPartStatus(
                    remoteRouter.channels.get(channelIndex), number, status));
        }

        @Override
        public void sendCreditWindow(Object session, int parts) {
            ((TestConnection) session).deliverToSender(() -> remoteRouter.onCreditWindow(parts));
        }

        @Override
        public void closeSession(Object session) {
            TestConnection connection = (TestConnection) session;
            connection.closeAtReceiver();
            schedule(now + delay(), connection::closeAtSender);
        }

        @Override
        public void wakeAt(long at) {
            schedule(Math.max(at, now), () -> {});
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
        schedule(now + 500_000 + random.nextLong(6_000_000), this::injectFault);
        List<TestConnection> open = new ArrayList<>(connections.values());
        if (open.isEmpty()) {
            return;
        }
        open.sort((a, b) -> a.channel.index - b.channel.index);
        TestConnection connection = open.get(random.nextInt(open.size()));
        switch (random.nextInt(4)) {
            case 0 -> {
                connection.closeAtSender();
                schedule(
                        now + random.nextLong(3_000_000),
                        connection::closeAtReceiver); // Half-open for a while.
            }
            case 1 -> {
                connection.closeAtReceiver();
                schedule(now + random.nextLong(2_000_000), connection::closeAtSender);
            }
            case 2 -> {
                connection.closeAtSender();
                connection.closeAtReceiver();
            }
            default -> {
                if (random.nextInt(3) == 0) {
                    incarnation++;
                    startReceiver();
                    open.forEach(each -> schedule(now + delay(), each::closeAtSender));
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
                new RemoteRouter.Settings(250_000, MAX_QUEUED, 1_500_000),
                (cell, other) -> false,
                random.split());
        startReceiver();
        schedule(0, () -> {});
        schedule(500_000, this::injectFault);
        for (long at = 400_000; at < 40_000_000; at += 5000 + random.nextLong(120_000)) {
            schedule(at, () -> {
                TestForwardedPart testPart =
                        new TestForwardedPart(now + 300_000 + random.nextLong(2_500_000), false);
                parts.add(testPart);
                remoteRouter.forward(testPart);
                if (random.nextInt(8) == 0) {
                    schedule(now + random.nextLong(400_000), () -> {
                        if (testPart.ends == 0) {
                            testPart.cancelled = true;
                            remoteRouter.cancel(testPart);
                        }
                    });
                }
            });
        }
        schedule(41_000_000, () -> faultsStopped = true);
        while (!events.isEmpty() && events.peek().at < 60_000_000) {
            Event event = events.poll();
            now = event.at;
            remoteRouter.advanceClock(now);
            receiver.advanceClock(now);
            event.task.run();
            while (remoteRouter.decide(sender) || receiver.decide(executor)) {
                // Each call carries out one decision.
            }
        }
        Map<PartStatus, Integer> seen = new HashMap<>();
        for (TestForwardedPart testPart : parts) {
            assertEquals(testPart.cancelled ? 0 : 1, testPart.ends, "number of ends of a part");
            assertTrue(testPart.effects <= 1, "a part ran " + testPart.effects + " times");
            if (testPart.status != null) {
                seen.merge(testPart.status, 1, Integer::sum);
                assertTrue(
                        !testPart.status.outcome.neverRan || testPart.effects == 0,
                        "a part ran, but was reported as " + testPart.status);
                assertEquals(
                        testPart.status == PartStatus.COMPLETED ? 1 : testPart.effects,
                        testPart.effects,
                        "a part was reported as completed, but never ran");
            }
        }
        assertTrue(
                seen.getOrDefault(PartStatus.COMPLETED, 0) > parts.size() / 3,
                "too few completed parts: " + seen);
        assertEquals(0, remoteRouter.openPartCount(), "parts still open");
        assertEquals(0, receiver.running(), "parts still running");
    }
}

package tinlink.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Guards against many routers that together crash a data node which has just started, although each router
 * keeps its own limit. Each simulated router has its own decision module and learns of the node's start. The
 * number of attempts that all routers together send to the node within any slow-start window must not exceed
 * the configured limit, apart from random deviations.
 */
class SlowStartFleetTest {
    private static final double PART_WORK_US = 120_000;
    private static final long WINDOW_US = 3_000_000;
    private static final long WARM_UP_US = 15_000_000;
    private static final double WINDOW_MULTIPLE = 1;
    private static final double START_CAPACITY = 0.16;
    private static final int CELLS = 6;
    /** When the new node starts; until then, the routers measure the other nodes. */
    private static final long START_US = 30_000_000;

    private record Event(long dueAtUs, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return dueAtUs != other.dueAtUs
                    ? Long.compare(dueAtUs, other.dueAtUs)
                    : Long.compare(number, other.number);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<SimulatedNode> nodes = new ArrayList<>();
    private final List<SimulatedRouter> routers = new ArrayList<>();
    /** Times of the attempts that all routers sent to the new node. */
    private final List<Long> sentToNewNodeAtUs = new ArrayList<>();

    private SplittableRandom random;
    private long now;
    private long nextEvent;

    private void schedule(long dueAtUs, Runnable action) {
        events.add(new Event(dueAtUs, nextEvent++, action));
    }

    private double exponential(double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    /**
     * A simulated data node with a queue of parts; each core runs one part at a time. While the node warms
     * up, it has only the least capacity that the settings allow.
     */
    private final class SimulatedNode {
        private final int cell;
        private final int cores;
        private final long startedAtUs;
        private final ArrayDeque<Runnable> queue = new ArrayDeque<>();
        private int busyCores;

        SimulatedNode(int cell, int cores, long startedAtUs) {
            this.cell = cell;
            this.cores = cores;
            this.startedAtUs = startedAtUs;
        }

        /** Share of its full capacity that the node has now. */
        double capacity() {
            return startedAtUs == Long.MIN_VALUE
                    ? 1
                    : Math.min(
                            1,
                            START_CAPACITY
                                    + (1 - START_CAPACITY) * (now - startedAtUs) / WARM_UP_US);
        }

        void addPart(Runnable done) {
            queue.add(done);
            startNext();
        }

        private void startNext() {
            if (busyCores < cores && !queue.isEmpty()) {
                busyCores++;
                Runnable done = queue.poll();
                // Half of the mean work is fixed, and the rest is exponentially distributed.
                schedule(
                        now
                                + (long) ((PART_WORK_US / 2 + exponential(PART_WORK_US / 2))
                                        / capacity()),
                        () -> {
                            busyCores--;
                            done.run();
                            startNext();
                        });
            }
        }
    }

    /** A simulated router, which carries out its decisions at once. */
    private final class SimulatedRouter implements DecisionHandler {
        private final QueryCoordinator module;
        private final IdentityHashMap<DataNode, SimulatedNode> known = new IdentityHashMap<>();

        /**
         * Creates a router whose configured number of routers is too low.
         *
         * @param warmUpUs configured time from a node's start to its full capacity
         */
        SimulatedRouter(long warmUpUs) {
            LookupClass lookupClass = lookupClass();
            ReplicaHealth health = new ReplicaHealth(lookupClass.latencyObjectiveUs);
            AttemptTiming timing = new AttemptTiming(5000);
            SlowStart slowStart = new SlowStart(
                    random.nextLong(),
                    2,
                    START_CAPACITY,
                    warmUpUs,
                    WINDOW_MULTIPLE,
                    WINDOW_US,
                    health);
            module = new FastestValidCoordinator(
                    timing,
                    new RepeatGuard(timing, 3, true, true),
                    new ReplicaSelector(
                            new ReplicaDirectory(CELLS, 1, health),
                            slowStart,
                            new CallSharing(1, 0),
                            0,
                            0,
                            health),
                    health,
                    new RetryBudget(0, 0, 0, 1000),
                    new AdmissionController(random.nextLong(), 0),
                    new EndpointListPoller(random.nextLong(), false, 10_000_000));
        }

        void turn(Runnable inputs) {
            module.advanceClock(now);
            inputs.run();
            while (module.decide(this)) {
                // The handler methods below carry out each decision.
            }
        }

        void learnOf(List<SimulatedNode> changedNodes) {
            turn(() -> {
                for (SimulatedNode simulatedNode : changedNodes) {
                    DataNode dataNode = new DataNode(nodes.indexOf(simulatedNode));
                    dataNode.cell = simulatedNode.cell;
                    dataNode.startedAtUs = simulatedNode.startedAtUs;
                    known.put(dataNode, simulatedNode);
                    module.onEndpoint(dataNode, false);
                }
                if (changedNodes.size() == 1) {
                    // The new node replaces the node that was in its cell before.
                    DataNode before = known.keySet().stream()
                            .filter(dataNode -> dataNode.nodeId == 0)
                            .findFirst()
                            .orElseThrow();
                    before.state = DataNode.State.DRAINING;
                    module.onEndpoint(before, false);
                }
                module.onEndpointListUpdate(QueryCoordinator.EndpointListUpdate.CHANGES);
            });
        }

        void receiveLookup() {
            turn(() -> {
                Lookup lookup = new Lookup();
                lookup.lookupClass = lookupClass();
                lookup.announcedParts = 1;
                lookup.clientDeadlineUs = now + lookup.lookupClass.deadlineUs;
                Part part = new Part();
                part.lookup = lookup;
                part.shard = random.nextInt(CELLS);
                part.weight = 1;
                module.onLookup(lookup);
                module.onPart(part);
            });
        }

        @Override
        public void send(Attempt attempt, long limitUs) {
            SimulatedNode simulatedNode = known.get(attempt.node);
            if (simulatedNode.startedAtUs != Long.MIN_VALUE) {
                sentToNewNodeAtUs.add(now);
            }
            simulatedNode.addPart(() -> turn(() -> end(attempt, Outcome.SATISFIED)));
            schedule(now + limitUs, () -> turn(() -> end(attempt, Outcome.NO_ANSWER)));
        }

        private void end(Attempt attempt, Outcome outcome) {
            if (attempt.outcome == null) {
                module.onOutcome(attempt, outcome, now - attempt.sentAtUs, -1);
            }
        }

        @Override
        public void cancel(Attempt attempt) {
            schedule(now, () -> turn(() -> end(attempt, Outcome.CANCELLED)));
        }

        @Override
        public void wakeAt(long atUs) {
            schedule(atUs, () -> turn(module::onTimer));
        }

        @Override
        public void closeIdleConnections(DataNode node) {
            // Connections are not simulated.
        }

        @Override
        public void answer(Lookup lookup, boolean complete) {
            // The clients are not simulated.
        }

        @Override
        public void reject(Lookup lookup, long retryAfterUs) {
            // The clients are not simulated.
        }

        @Override
        public void abort(Lookup lookup) {
            // The clients are not simulated.
        }

        @Override
        public void subscribeToEndpointList() {
            // The endpoint list is pushed in this test.
        }
    }

    private static LookupClass lookupClass() {
        LookupClass lookupClass = new LookupClass();
        lookupClass.latencyObjectiveUs = 2_000_000;
        lookupClass.deadlineUs = 4_000_000;
        return lookupClass;
    }

    /**
     * @param load share of the capacity of all warm nodes
     * @param lateMs time from the node's start until the routers learn of it
     * @param uneven whether half of the lookups go to a quarter of the routers, and the rest to all routers
     */
    @ParameterizedTest
    @CsvSource({
        "20, 2, 0.3, 300, false",
        "20, 1, 0.6, 2900, false",
        "20, 2, 0.9, 1500, true",
        "30, 1, 0.3, 2900, true",
        "30, 2, 0.6, 300, true",
        "30, 4, 0.9, 2900, false",
        "100, 4, 0.6, 2900, true"
    })
    void allRoutersTogetherKeepTheLimit(
            int routerCount, int cores, double load, long lateMs, boolean uneven) {
        for (long seed = 1; seed <= 6; seed++) {
            SlowStartFleetTest play = new SlowStartFleetTest();
            double worst =
                    play.worstExcess(seed, routerCount, WARM_UP_US, cores, load, lateMs, uneven);
            assertTrue(
                    worst <= 0,
                    "seed " + seed + ": " + worst + " attempts over the limit within one window");
            assertTrue(
                    play.sentToNewNodeAtUs.size() >= 5,
                    "seed " + seed + ": expected 5 attempts or more, found "
                            + play.sentToNewNodeAtUs.size());
        }
    }

    @Test
    void withoutSlowStartTheRoutersExceedTheLimit() {
        assertTrue(
                new SlowStartFleetTest().worstExcess(1, 30, 0, 4, 0.9, 300, false) > 10,
                "without slow start the routers must exceed the limit, or the test shows nothing");
    }

    /** The greatest number of attempts over the limit in any window, less a margin for random deviations. */
    private double worstExcess(
            long seed,
            int routerCount,
            long warmUpUs,
            int cores,
            double load,
            long lateMs,
            boolean uneven) {
        random = new SplittableRandom(seed);
        for (int cell = 0; cell < CELLS; cell++) {
            nodes.add(new SimulatedNode(cell, cores, Long.MIN_VALUE));
        }
        List<SimulatedNode> warm = List.copyOf(nodes);
        SimulatedNode starting = new SimulatedNode(0, cores, START_US);
        nodes.add(starting);
        for (int i = 0; i < routerCount; i++) {
            SimulatedRouter router = new SimulatedRouter(warmUpUs);
            routers.add(router);
            schedule(0, () -> router.learnOf(warm));
            // The routers get the endpoint list one after the other.
            schedule(
                    START_US + 1000 * lateMs + random.nextLong(400_000),
                    () -> router.learnOf(List.of(starting)));
        }
        double gapUs = PART_WORK_US / (load * cores * CELLS);
        schedule((long) exponential(gapUs), () -> sendLookup(gapUs, uneven));
        while (!events.isEmpty() && events.peek().dueAtUs < START_US + WARM_UP_US) {
            Event event = events.poll();
            now = event.dueAtUs;
            event.action.run();
        }
        double worst = Double.NEGATIVE_INFINITY;
        for (int last = 0, first = 0; last < sentToNewNodeAtUs.size(); last++) {
            now = sentToNewNodeAtUs.get(last);
            while (sentToNewNodeAtUs.get(first) <= now - WINDOW_US) {
                first++;
            }
            double limit = WINDOW_MULTIPLE * starting.capacity() * cores * WINDOW_US / PART_WORK_US;
            worst = Math.max(worst, last - first + 1 - (limit + 2 * Math.sqrt(limit) + 2));
        }
        return worst;
    }

    private void sendLookup(double gapUs, boolean uneven) {
        boolean toQuarter = uneven && random.nextBoolean();
        routers.get(random.nextInt(toQuarter ? routers.size() / 4 : routers.size()))
                .receiveLookup();
        schedule(now + (long) exponential(gapUs), () -> sendLookup(gapUs, uneven));
    }
}

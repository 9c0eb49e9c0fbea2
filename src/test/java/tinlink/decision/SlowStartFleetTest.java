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
 * Many routers, each with a module of its own, are told of one node's start. What all of them
 * together send it within any fall time stays within what the settings allow it then, and chance.
 */
class SlowStartFleetTest {
    private static final double WORK_US = 120_000;
    private static final long FALL_US = 3_000_000;
    private static final long COLD_US = 15_000_000;
    private static final double MULTIPLE = 1;
    private static final double FROM = 0.16;
    private static final int CELLS = 6;
    private static final long WARM_US = 30_000_000;

    private record Event(long dueAtUs, long order, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return dueAtUs != other.dueAtUs
                    ? Long.compare(dueAtUs, other.dueAtUs)
                    : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Node> nodes = new ArrayList<>();
    private final List<One> routers = new ArrayList<>();
    private final List<Long> cold = new ArrayList<>();
    private SplittableRandom random;
    private long now;
    private long order;

    private void schedule(long dueAtUs, Runnable what) {
        events.add(new Event(dueAtUs, order++, what));
    }

    private double exponential(double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    /**
     * Cores that take one part each, in order; it does less while it is cold, as little as it may.
     */
    private final class Node {
        private final int cell;
        private final int cores;
        private final long startedAt;
        private final ArrayDeque<Runnable> queue = new ArrayDeque<>();
        private int busy;

        Node(int cell, int cores, long startedAt) {
            this.cell = cell;
            this.cores = cores;
            this.startedAt = startedAt;
        }

        double present() {
            return startedAt == Long.MIN_VALUE
                    ? 1
                    : Math.min(1, FROM + (1 - FROM) * (now - startedAt) / COLD_US);
        }

        void take(Runnable done) {
            queue.add(done);
            begin();
        }

        private void begin() {
            if (busy < cores && !queue.isEmpty()) {
                busy++;
                Runnable done = queue.poll();
                // As uneven as parts are: half of it fixed.
                schedule(
                        now + (long) ((WORK_US / 2 + exponential(WORK_US / 2)) / present()), () -> {
                            busy--;
                            done.run();
                            begin();
                        });
            }
        }
    }

    /** One router: its module, and what it asks for carried out at once. */
    private final class One implements DecisionHandler {
        private final QueryCoordinator module;
        private final IdentityHashMap<DataNode, Node> known = new IdentityHashMap<>();

        /**
         * @param coldUs for how long nodes are cold to it; of the number of routers it is told too
         *     little
         */
        One(long coldUs) {
            LookupClass lookupClass = index();
            ReplicaHealth health = new ReplicaHealth(lookupClass.latencyObjectiveUs);
            AttemptTiming timing = new AttemptTiming(5000);
            SlowStart slowStart =
                    new SlowStart(random.nextLong(), 2, FROM, coldUs, MULTIPLE, FALL_US, health);
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
                // Carried out as it comes.
            }
        }

        void told(List<Node> some) {
            turn(() -> {
                for (Node simulatedNode : some) {
                    DataNode dataNode = new DataNode(nodes.indexOf(simulatedNode));
                    dataNode.cell = simulatedNode.cell;
                    dataNode.startedAtUs = simulatedNode.startedAt;
                    known.put(dataNode, simulatedNode);
                    module.onEndpoint(dataNode, false);
                }
                if (some.size() == 1) {
                    // It stands for the one that had its block until now.
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

        void asked() {
            turn(() -> {
                Lookup lookup = new Lookup();
                lookup.lookupClass = index();
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
            Node simulatedNode = known.get(attempt.node);
            if (simulatedNode.startedAt != Long.MIN_VALUE) {
                cold.add(now);
            }
            simulatedNode.take(() -> turn(() -> ended(attempt, Outcome.SATISFIED)));
            schedule(now + limitUs, () -> turn(() -> ended(attempt, Outcome.NO_ANSWER)));
        }

        private void ended(Attempt attempt, Outcome outcome) {
            if (attempt.outcome == null) {
                module.onOutcome(attempt, outcome, now - attempt.sentAtUs, -1);
            }
        }

        @Override
        public void cancel(Attempt attempt) {
            schedule(now, () -> turn(() -> ended(attempt, Outcome.CANCELLED)));
        }

        @Override
        public void wakeAt(long atUs) {
            schedule(atUs, () -> turn(module::onTimer));
        }

        @Override
        public void closeIdleConnections(DataNode node) {
            // There are no connections here.
        }

        @Override
        public void answer(Lookup lookup, boolean whole) {
            // Nobody waits.
        }

        @Override
        public void reject(Lookup lookup, long comeBackUs) {
            // Nobody waits.
        }

        @Override
        public void abort(Lookup lookup) {
            // Nobody waits.
        }

        @Override
        public void subscribeToEndpointList() {
            // Lists are pushed here.
        }
    }

    private static LookupClass index() {
        LookupClass lookupClass = new LookupClass();
        lookupClass.latencyObjectiveUs = 2_000_000;
        lookupClass.deadlineUs = 4_000_000;
        return lookupClass;
    }

    /**
     * @param load share of what all warm nodes can do
     * @param lateMs after its start the routers are told
     * @param uneven one router in four gets half of what is asked
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
    void theSumOfAllRoutersIsWithinTheBudget(
            int routerCount, int cores, double load, long lateMs, boolean uneven) {
        for (long seed = 1; seed <= 6; seed++) {
            SlowStartFleetTest play = new SlowStartFleetTest();
            double worst = play.worst(seed, routerCount, COLD_US, cores, load, lateMs, uneven);
            assertTrue(
                    worst <= 0, "seed " + seed + ": " + worst + " too many within one fall time");
            assertTrue(play.cold.size() >= 5, "seed " + seed + ": it was sent " + play.cold.size());
        }
    }

    @Test
    void withoutTheGuardTheSumIsFarOverTheBudget() {
        assertTrue(
                new SlowStartFleetTest().worst(1, 30, 0, 4, 0.9, 300, false) > 10,
                "the check bites");
    }

    /** By how many the worst fall time is over its budget and chance. */
    private double worst(
            long seed,
            int routerCount,
            long coldUs,
            int cores,
            double load,
            long lateMs,
            boolean uneven) {
        random = new SplittableRandom(seed);
        for (int cell = 0; cell < CELLS; cell++) {
            nodes.add(new Node(cell, cores, Long.MIN_VALUE));
        }
        List<Node> warm = List.copyOf(nodes);
        Node starts = new Node(0, cores, WARM_US);
        nodes.add(starts);
        for (int i = 0; i < routerCount; i++) {
            One one = new One(coldUs);
            routers.add(one);
            schedule(0, () -> one.told(warm));
            // Lists reach routers one after the other.
            schedule(
                    WARM_US + 1000 * lateMs + random.nextLong(400_000),
                    () -> one.told(List.of(starts)));
        }
        double gapUs = WORK_US / (load * cores * CELLS);
        schedule((long) exponential(gapUs), () -> asks(gapUs, uneven));
        while (!events.isEmpty() && events.peek().dueAtUs < WARM_US + COLD_US) {
            Event event = events.poll();
            now = event.dueAtUs;
            event.what.run();
        }
        double worst = Double.NEGATIVE_INFINITY;
        for (int last = 0, first = 0; last < cold.size(); last++) {
            now = cold.get(last);
            while (cold.get(first) <= now - FALL_US) {
                first++;
            }
            double budget = MULTIPLE * starts.present() * cores * FALL_US / WORK_US;
            worst = Math.max(worst, last - first + 1 - (budget + 2 * Math.sqrt(budget) + 2));
        }
        return worst;
    }

    private void asks(double gapUs, boolean uneven) {
        boolean few = uneven && random.nextBoolean();
        routers.get(random.nextInt(few ? routers.size() / 4 : routers.size())).asked();
        schedule(now + (long) exponential(gapUs), () -> asks(gapUs, uneven));
    }
}

package tinlink.gateway.choice;

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
class LossyLinesTest {
    private static final int WINDOW = 6;
    private static final int WAITING = 4;

    private static final class Part extends Forwarded {
        private int ends;
        private int effects;
        private Fate fate;
        private boolean givenUp;

        Part(long until, boolean repeatable) {
            super(until, 0, repeatable);
        }
    }

    private static final class Came extends Taken {
        private final Part part;

        Came(Origin origin, long number, Part part) {
            super(origin, number);
            this.part = part;
        }
    }

    private record Event(long at, long order, Runnable what) {}

    /**
     * A connection: each side ends it for itself; what is under way still comes to a side that has
     * not.
     */
    private final class Conn {
        private final Lane lane;
        private boolean nearOver;
        private boolean farOver;
        private long freeThere;
        private long freeBack;
        private Origin origin;
        private final Taker at = taker;

        Conn(Lane lane) {
            this.lane = lane;
        }

        void toFar(Runnable what) {
            freeThere = Math.max(freeThere, now + delay());
            event(freeThere, () -> {
                if (!farOver && at == taker) {
                    what.run();
                }
            });
        }

        void toNear(Runnable what) {
            freeBack = Math.max(freeBack, now + delay());
            event(freeBack, () -> {
                if (!nearOver) {
                    what.run();
                }
            });
        }

        void endNear() {
            if (!nearOver) {
                nearOver = true;
                conns.remove(lane, this);
                Set<Forwarded> notLeft = new HashSet<>();
                lane.parts.values().forEach(p -> {
                    if (unsent.contains(p) && !p.wasUnsure()) {
                        notLeft.add(p);
                    }
                });
                far.lost(lane, p -> !notLeft.contains(p));
            }
        }

        void endFar() {
            if (!farOver) {
                farOver = true;
                if (at == taker && origin != null) {
                    taker.closed(origin, this);
                }
            }
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private final Map<Lane, Conn> conns = new HashMap<>();
    private final List<Part> parts = new ArrayList<>();
    /** What is in the near router's own buffer when its line ends. */
    private final Set<Forwarded> unsent = new HashSet<>();

    private SplittableRandom random;
    private FarRouter far;
    private Taker taker;
    private long incarnation = 1;
    private long now;
    private long orders;
    private boolean quiet;

    private void event(long at, Runnable what) {
        events.add(new Event(at, orders++, what));
    }

    private long delay() {
        return 20_000
                + random.nextLong(quiet ? 10_000 : random.nextInt(300) == 0 ? 900_000 : 30_000);
    }

    private final FarRouter.Hands near = new FarRouter.Hands() {
        @Override
        public void connect(Lane lane) {
            Conn c = new Conn(lane);
            event(now + 2 * delay(), () -> {
                if (c.at != taker || (!quiet && random.nextInt(4) == 0)) {
                    far.lost(lane, p -> true);
                    return;
                }
                conns.put(lane, c);
                far.up(lane, incarnation, 80_000);
                long next = lane.next();
                long ups = lane.ups();
                c.toFar(() -> {
                    c.origin = taker.opened("e1", lane.index, 1, ups, next, c);
                    c.toNear(() -> {
                        BitSet cells = new BitSet();
                        cells.set(0);
                        far.serves(cells);
                    });
                });
            });
        }

        @Override
        public void cut(Lane lane) {
            conns.get(lane).endNear();
        }

        @Override
        public void ping(Lane lane, long number, long lowest) {
            Conn c = conns.get(lane);
            c.toFar(() -> {
                taker.lowest(c.origin, lowest);
                c.toNear(() -> far.ponged(lane, number));
            });
        }

        @Override
        public void send(Forwarded part) {
            Conn c = conns.get(part.lane);
            long number = part.number;
            assertTrue(far.held() <= WINDOW + WAITING, "more is held than may be");
            if (!quiet && random.nextInt(200) == 0) {
                unsent.add(part); // The line stands: it is cut before this leaves.
                event(now, c::endNear);
                return;
            }
            Runnable arrives =
                    () -> taker.part(c.origin, new Came(c.origin, number, (Part) part), true);
            c.toFar(arrives);
            if (random.nextInt(10) == 0) {
                c.toFar(arrives); // The same again.
            }
        }

        @Override
        public void giveUp(Forwarded part) {
            Conn c = conns.get(part.lane);
            long number = part.number;
            c.toFar(() -> taker.givenUp(c.origin, number));
        }

        @Override
        public void askFates(Lane on, Lane about) {
            Conn c = conns.get(on);
            Set<Long> numbers = new HashSet<>(about.parts.keySet());
            long fence = about.next();
            long ups = about.ups();
            c.toFar(() -> taker.asked(c.origin, c, about.index, ups, fence, numbers));
        }

        @Override
        public void ended(Forwarded part, Fate fate) {
            end((Part) part, fate);
        }

        @Override
        public void serves(FarRouter router, BitSet cells, long lineUs) {
            // The module would hear.
        }

        @Override
        public void wake(FarRouter router, long at) {
            event(Math.max(at, now), () -> {});
        }
    };

    private void end(Part p, Fate fate) {
        p.ends++;
        p.fate = fate;
        assertEquals(1, p.ends, "a second end: " + fate);
        assertTrue(now <= p.until, "an end after its time");
    }

    private final Taker.Hands there = new Taker.Hands() {
        @Override
        public void begin(Taken part) {
            Part p = ((Came) part).part;
            Taker at = taker;
            assertTrue(taker.running() <= 2 * WINDOW, "more runs than may");
            if (random.nextInt(6) == 0) {
                event(now + 1000, () -> ended(at, part, Fate.REFUSED));
                return;
            }
            p.effects++;
            event(
                    now + 1000 + random.nextLong(200_000),
                    () -> ended(at, part, random.nextInt(5) == 0 ? Fate.FAILED : Fate.DONE));
        }

        private void ended(Taker at, Taken part, Fate fate) {
            if (at == taker) {
                taker.ended(part, fate, 10);
            }
        }

        @Override
        public void giveUp(Taken part) {
            // What has run has run.
        }

        @Override
        public void say(Object session, int line, long number, Fate fate, Taken part) {
            Conn c = (Conn) session;
            c.toNear(() -> far.fate(far.lanes.get(line), number, fate));
        }

        @Override
        public void window(Object session, int parts) {
            ((Conn) session).toNear(() -> far.window(parts));
        }

        @Override
        public void close(Object session) {
            Conn c = (Conn) session;
            c.endFar();
            event(now + delay(), c::endNear);
        }

        @Override
        public void wake(long at) {
            event(Math.max(at, now), () -> {});
        }
    };

    private void startFar() {
        taker = new Taker(new Taker.Bounds(WINDOW, 40, 1000, 4, 10_000_000, 250_000));
        taker.clock(now);
    }

    private void fault() {
        if (quiet) {
            return;
        }
        event(now + 500_000 + random.nextLong(6_000_000), this::fault);
        List<Conn> open = new ArrayList<>(conns.values());
        if (open.isEmpty()) {
            return;
        }
        open.sort((a, b) -> a.lane.index - b.lane.index);
        Conn c = open.get(random.nextInt(open.size()));
        switch (random.nextInt(4)) {
            case 0 -> {
                c.endNear();
                event(now + random.nextLong(3_000_000), c::endFar); // Half-open for a while.
            }
            case 1 -> {
                c.endFar();
                event(now + random.nextLong(2_000_000), c::endNear);
            }
            case 2 -> {
                c.endNear();
                c.endFar();
            }
            default -> {
                if (random.nextInt(3) == 0) {
                    incarnation++;
                    startFar();
                    open.forEach(o -> event(now + delay(), o::endNear));
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
    void endsOnceRunsOnce(long seed) {
        random = new SplittableRandom(seed);
        far = new FarRouter(
                "f",
                2,
                new FarRouter.Patience(250_000, WAITING, 1_500_000),
                (cell, other) -> false,
                random.split());
        startFar();
        event(0, () -> {});
        event(500_000, this::fault);
        for (long at = 400_000; at < 40_000_000; at += 5000 + random.nextLong(120_000)) {
            event(at, () -> {
                Part p = new Part(now + 300_000 + random.nextLong(2_500_000), false);
                parts.add(p);
                far.part(p);
                if (random.nextInt(8) == 0) {
                    event(now + random.nextLong(400_000), () -> {
                        if (p.ends == 0) {
                            p.givenUp = true;
                            far.giveUp(p);
                        }
                    });
                }
            });
        }
        event(41_000_000, () -> quiet = true);
        while (!events.isEmpty() && events.peek().at < 60_000_000) {
            Event e = events.poll();
            now = e.at;
            far.clock(now);
            taker.clock(now);
            e.what.run();
            while (far.decide(near) || taker.decide(there)) {
                // Each has been carried out.
            }
        }
        Map<Fate, Integer> seen = new HashMap<>();
        for (Part p : parts) {
            assertEquals(p.givenUp ? 0 : 1, p.ends, "ends of a part");
            assertTrue(p.effects <= 1, "it ran " + p.effects + " times");
            if (p.fate != null) {
                seen.merge(p.fate, 1, Integer::sum);
                assertTrue(
                        !p.fate.outcome.neverRan || p.effects == 0,
                        "it ran, and was told as " + p.fate);
                assertEquals(p.fate == Fate.DONE ? 1 : p.effects, p.effects, "done without a run");
            }
        }
        assertTrue(seen.getOrDefault(Fate.DONE, 0) > parts.size() / 3, "so few were done: " + seen);
        assertEquals(0, far.held(), "still held");
        assertEquals(0, taker.running(), "still running");
    }
}

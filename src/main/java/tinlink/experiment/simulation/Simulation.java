package tinlink.experiment.simulation;

import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Simulated time: what is due next happens next, in one thread, and the same seed gives the same trace. A
 * digest over all that was noted tells whether two plays were the same.
 */
final class Simulation {
    /** A millisecond and a second, in the simulation's microseconds. */
    static final long MS = 1000;

    static final long SEC = 1_000_000;

    private record Event(long at, long order, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(order, o.order);
        }
    }

    final SplittableRandom random;
    /** Emptied as their times come. */
    private final PriorityQueue<Event> events = new PriorityQueue<>();

    private long order;
    private long now;
    private long steps;
    private long digest = 0xcbf29ce484222325L;

    Simulation(long seed) {
        random = new SplittableRandom(seed);
    }

    long now() {
        return now;
    }

    long steps() {
        return steps;
    }

    void scheduleAt(long us, Runnable what) {
        events.add(new Event(Math.max(us, now), order++, what));
    }

    void scheduleIn(long us, Runnable what) {
        scheduleAt(now + us, what);
    }

    /** FNV-1a over what was noted, with the time. */
    void addToDigest(Object what) {
        String s = now + " " + what;
        for (int i = 0; i < s.length(); i++) {
            digest = (digest ^ s.charAt(i)) * 0x100000001b3L;
        }
    }

    long digest() {
        return digest;
    }

    /** Until that time, or until nothing is due any more. */
    void run(long untilUs) {
        while (!events.isEmpty() && events.peek().at <= untilUs) {
            Event e = events.poll();
            now = e.at;
            steps++;
            e.what.run();
        }
        now = Math.max(now, untilUs);
    }
}

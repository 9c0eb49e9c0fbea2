package tinlink.experiment.scale;

import java.util.concurrent.atomic.AtomicLongArray;

/**
 * The longest service time among the part calls of each lookup in hand: no router could have
 * answered the lookup sooner. A lookup's id is a letter and its number; the id of a part is that of
 * its lookup, a dot, and the shard.
 */
final class ServingSlowest {
    /** More lookups than can be in hand at a time; a place is used again after so many. */
    private static final int PLACES = 1 << 16;

    private final AtomicLongArray slowestUs = new AtomicLongArray(PLACES);

    static String lookupId(long number) {
        return "s" + number;
    }

    private static int place(long number) {
        return (int) (number % PLACES);
    }

    /** Forgets what the place held before; called before the lookup is sent. */
    void begins(long number) {
        slowestUs.set(place(number), 0);
    }

    /** A part call has been answered. Called by any thread. */
    void served(byte[] partId, long tookUs) {
        long number = 0;
        for (int at = 1; at < partId.length && partId[at] != '.'; at++) {
            number = 10 * number + partId[at] - '0';
        }
        slowestUs.accumulateAndGet(place(number), tookUs, Math::max);
    }

    /** Microseconds; 0 where none of its parts has been answered. */
    long slowestUs(long number) {
        return slowestUs.get(place(number));
    }
}

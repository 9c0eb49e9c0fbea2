package tinlink.gateway.choice;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * One of the lines to a far router: its connection, its heartbeats, when it is tried again, and the parts
 * that are open on it. Times are microseconds.
 */
public final class Lane {
    /** The shortest wait before a line is tried again, in heartbeats, and the longest. */
    private static final double FIRST_WAIT = 0.25;

    private static final double LONGEST_WAIT = 8;
    /** Heartbeats that are out at a time and measured; a line with more is dead long before. */
    private static final int MOST_PINGS = 64;

    enum State {
        DOWN,
        CONNECTING,
        UP
    }

    public final FarRouter router;
    /** Its place among the lines to that router, the same on every try. */
    public final int index;

    private final long beatUs;
    private final Pulse pulse;
    private final RoundTrip roundTrip = new RoundTrip();
    State state = State.DOWN;
    private long connectAt;
    private long waitUs;
    private long pingAt;
    private long pingNumber;
    /** When those that are not answered left; bounded, and emptied as the line comes up. */
    private final Map<Long, Long> pings = new HashMap<>();
    /** The last heartbeat that was answered, and when; 0 where none has been since the line came up. */
    private long pongNumber;

    private long pongedAt;
    /** The line on which the far router would say what becomes of its parts; null where none. */
    Lane voice;
    /** It leads to a router that has started anew since. */
    boolean stale;
    /** What this line has carried that the far router still may speak of; each leaves as it ends. */
    final TreeMap<Long, Forwarded> parts = new TreeMap<>();

    long nextNumber = 1;
    /** How often it has come up. */
    private long ups;
    /** What was out when it was cut has to be asked about. */
    boolean asks;

    Lane(FarRouter router, int index, long beatUs) {
        this.router = router;
        this.index = index;
        this.beatUs = beatUs;
        pulse = new Pulse(beatUs);
    }

    // ---- Its connection. ----

    void up(long now, long roundTripUs) {
        ups++;
        stale = false;
        voice = this;
        state = State.UP;
        waitUs = 0;
        roundTrip.sample(roundTripUs);
        pulse.opened(now, roundTripUs);
        pingAt = now;
        pings.clear();
        pongNumber = 0;
        // Asked even where nothing is open: it fences off what may still be under way, and gives up
        // the rest.
        asks = true;
    }

    void lost(long now, SplittableRandom random) {
        if (state == State.UP) {
            pulse.failed(now);
        }
        state = State.DOWN;
        long longest = (long) (LONGEST_WAIT * beatUs);
        waitUs = Math.min(longest, Math.max((long) (FIRST_WAIT * beatUs), 2 * waitUs));
        // Danger: routers that lost the same line at once and all come back at once.
        connectAt = now + waitUs / 2 + random.nextLong(waitUs);
    }

    boolean isUp() {
        return state == State.UP;
    }

    boolean connectDue(long now) {
        return state == State.DOWN && now >= connectAt;
    }

    /** It is up, and believed in. */
    boolean isTrusted(long now) {
        return isUp() && pulse.trusted(now);
    }

    /** It is up, and of no use any more. */
    boolean cutDue(long now) {
        return isUp() && (stale || pulse.dead(now));
    }

    /** When something falls due here, unless an input comes before. */
    long dueAt(long now) {
        return switch (state) {
            case DOWN -> connectAt;
            case CONNECTING -> Long.MAX_VALUE;
            case UP -> {
                long due = Math.min(pingAt, pulse.deadAt());
                yield pulse.trusted(now) ? Math.min(due, pulse.doubtAt()) : due;
            }
        };
    }

    // ---- Its heartbeats. ----

    boolean pingDue(long now) {
        return isUp() && now >= pingAt;
    }

    /** A heartbeat leaves. @return its number */
    long pinged(long now) {
        pingAt = now + beatUs;
        if (pings.size() < MOST_PINGS) {
            pings.put(++pingNumber, now);
        }
        return pingNumber;
    }

    void ponged(long number, long now) {
        Long sentAt = pings.remove(number);
        if (isUp() && sentAt != null) {
            roundTrip.sample(now - sentAt);
            pulse.answered(now);
            pongNumber = number;
            pongedAt = now;
        }
    }

    public long lastPong() {
        return pongNumber;
    }

    /**
     * How long ago it was answered. Danger: a part's age over there is told from this; a clock can't cross.
     */
    public long sincePongUs(long now) {
        return now - pongedAt;
    }

    /** What the far router keeps of a part's time, beside the round trip that it measures itself. */
    public long spareUs() {
        return roundTrip.spareUs();
    }

    /** What is kept of a part's time for the line, there and back. */
    long keptUs() {
        return roundTrip.keptUs();
    }

    /** How long the next part would wait here, next to the other lines. */
    double cost() {
        return (double) roundTrip.keptUs() * (parts.size() + 1);
    }

    // ---- Its parts. ----

    /** The lowest number that is still of interest; what lies under it may be forgotten over there. */
    public long lowest() {
        return parts.isEmpty() ? nextNumber : parts.firstKey();
    }

    /** No part of this number or a higher one has left on it yet. */
    public long next() {
        return nextNumber;
    }

    public long ups() {
        return ups;
    }

    /** What is open, by number. */
    public Map<Long, Forwarded> open() {
        return parts;
    }
}

package tinlink.gateway.choice;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/**
 * What the near side decides about one router of another site: whether it may be used and for which cells, on
 * which of its lines a part leaves and when, what is asked about after a cut, when a line is tried again.
 * Inputs only update what is known; {@link #decide} is pulled until it says false. No I/O, no clock, no
 * chance of its own. Times are microseconds.
 */
public final class FarRouter {
    /** What decisions are carried out with. */
    public interface Hands {
        void connect(Lane lane);

        /** Ends the line's connection; {@link FarRouter#lost} follows. */
        void cut(Lane lane);

        /**
         * Sends a heartbeat.
         *
         * @param lowest parts under this number are of no interest any more
         */
        void ping(Lane lane, long number, long lowest);

        void send(Forwarded part);

        void giveUp(Forwarded part);

        /** Asks on one line about all that is still of interest of another, or of its own. */
        void askFates(Lane on, Lane about);

        /** The end of a part; the value and times, if any, came with the input that it follows from. */
        void ended(Forwarded part, Fate fate);

        /** Which cells may be reached now, and what the line takes there and back. */
        void serves(FarRouter router, BitSet cells, long lineUs);

        void wake(FarRouter router, long at);
    }

    /**
     * How long and for how many parts the near side waits.
     *
     * @param beatUs between two heartbeats
     * @param waiting parts that may wait for a credit at a time
     * @param recoverUs how long after a cut a part is held for its fate
     */
    public record Patience(long beatUs, int waiting, long recoverUs) {}

    /** Whether some other router serves the cell too. */
    public interface Elsewhere {
        boolean serves(int cell, FarRouter other);
    }

    public final String name;
    private final Elsewhere elsewhere;
    private final SplittableRandom random;
    public final List<Lane> lanes = new ArrayList<>();
    private final ForwardedParts parts;
    /** Cells that it has said it serves. */
    private BitSet cells = new BitSet();

    private long incarnation;
    /** Parts that it takes from us at a time; 0 until it says so. */
    private int window;

    private boolean leaving;
    private BitSet toldCells = new BitSet();
    private long toldLineUs;
    private long now;
    private long armed = Long.MAX_VALUE;

    public FarRouter(
            String name,
            int lanes,
            Patience patience,
            Elsewhere elsewhere,
            SplittableRandom random) {
        this.name = name;
        this.elsewhere = elsewhere;
        this.random = random;
        for (int i = 0; i < lanes; i++) {
            this.lanes.add(new Lane(this, i, patience.beatUs()));
        }
        parts = new ForwardedParts(this.lanes, patience);
    }

    // ---- Inputs. ----

    public void clock(long nowUs) {
        now = nowUs;
        if (now >= armed) {
            armed = Long.MAX_VALUE;
        }
    }

    /**
     * A line is up and its far end has proved who it is. Danger: a router with another incarnation has
     * started anew; it knows nothing of what the one before it ran.
     */
    public void up(Lane lane, long incarnation, long roundTripUs) {
        if (incarnation != this.incarnation) {
            this.incarnation = incarnation;
            startedAnew(lane);
        }
        lane.up(now, roundTripUs);
    }

    private void startedAnew(Lane lane) {
        cells = new BitSet();
        window = 0;
        leaving = false;
        for (Lane each : lanes) {
            for (Forwarded part : List.copyOf(each.parts.values())) {
                part.died = true;
                parts.end(part, Fate.MAY_HAVE_RUN);
            }
            each.stale = each != lane;
        }
    }

    /** @param left whether the part's last byte had been handed to the kernel, or may have been */
    public void lost(Lane lane, Predicate<Forwarded> left) {
        lane.lost(now, random);
        for (Lane each : lanes) {
            if (each.voice == lane) {
                each.voice = null;
                unsure(each, part -> each != lane || left.test(part));
            }
        }
    }

    /** Nobody will say on its own any more what becomes of what is out on that line. */
    private void unsure(Lane lane, Predicate<Forwarded> left) {
        for (Forwarded part : List.copyOf(lane.parts.values())) {
            // Danger: what outlived one cut has left; its place in the stream was that of another
            // connection.
            if (!part.wasUnsure() && !left.test(part)) {
                parts.end(part, Fate.NEVER_LEFT);
            } else if (part.repeatable && elsewhere.serves(part.cell, this)) {
                // A second run does no harm and another router can begin now.
                parts.end(part, Fate.MAY_HAVE_RUN);
            } else {
                parts.unsure(part, now);
                lane.asks = true;
            }
        }
    }

    public void ponged(Lane lane, long number) {
        lane.ponged(number, now);
    }

    public void serves(BitSet cells) {
        this.cells = cells;
    }

    public void window(int parts) {
        window = parts;
    }

    /**
     * It stops: of what left on that line, nothing past the last one that it names was begun or will be. It
     * is trusted again as a new incarnation.
     */
    public void leaves(Lane lane, long lastBegun) {
        leaving = true;
        for (Forwarded part : List.copyOf(lane.parts.tailMap(lastBegun, false).values())) {
            parts.end(part, Fate.NEVER_BEGUN);
        }
    }

    /** A part that the module has sent here. */
    public void part(Forwarded part) {
        if (mayServe(part.cell)) {
            parts.add(part, now);
        } else {
            parts.finish(part, Fate.NEVER_LEFT);
        }
    }

    /** The module has given a part up; its outcome is known, its run over there should end too. */
    public void giveUp(Forwarded part) {
        parts.giveUp(part);
    }

    /** What the far router says of a part, on its own or asked. */
    public void fate(Lane lane, long number, Fate fate) {
        Forwarded part = lane.parts.get(number);
        if (part == null) {
            return;
        }
        if (fate == Fate.RUNNING) {
            part.state = Forwarded.State.OUT;
        } else {
            parts.end(part, fate);
        }
    }

    /** Whom an answer of that number is for; null where it is of no interest any more. */
    public Forwarded open(Lane lane, long number) {
        return lane.parts.get(number);
    }

    /** Parts that wait, and that are out or unsure. */
    public int held() {
        return parts.held();
    }

    public int window() {
        return window;
    }

    // ---- Decisions. ----

    public boolean mayServe(int cell) {
        return cells.get(cell) && trusted() != null;
    }

    /** The line for the next part: the trusted one that would have its answer first. */
    private Lane trusted() {
        if (leaving) {
            return null;
        }
        Lane best = null;
        double least = Double.MAX_VALUE;
        for (Lane lane : lanes) {
            if (lane.isTrusted(now) && lane.cost() < least) {
                best = lane;
                least = lane.cost();
            }
        }
        return best;
    }

    /** A line that is up, the trusted one if there is one: to ask about another. */
    private Lane speaking(Lane about) {
        if (about.isUp()) {
            return about;
        }
        Lane best = trusted();
        return best != null
                ? best
                : lanes.stream().filter(Lane::isUp).findFirst().orElse(null);
    }

    public boolean decide(Hands h) {
        if (parts.tell(h)) {
            return true;
        }
        for (Lane lane : lanes) {
            if (tend(lane, h)) {
                return true;
            }
        }
        if (parts.expire(now, part -> mayServe(part.cell)) || sends(h) || tells(h)) {
            return true;
        }
        long next = next();
        if (next < armed) {
            armed = next;
            h.wake(this, next);
            return true;
        }
        return false;
    }

    private boolean tend(Lane lane, Hands h) {
        if (lane.connectDue(now)) {
            lane.state = Lane.State.CONNECTING;
            h.connect(lane);
            return true;
        }
        if (lane.cutDue(now)) {
            h.cut(lane);
            return true;
        }
        if (lane.asks && asksFates(lane, h)) {
            return true;
        }
        if (lane.pingDue(now)) {
            long number = lane.pinged(now);
            h.ping(lane, number, lane.lowest());
            return true;
        }
        return false;
    }

    private boolean asksFates(Lane about, Hands h) {
        Lane on = speaking(about);
        if (on == null) {
            return false;
        }
        about.asks = false;
        about.voice = on;
        h.askFates(on, about);
        return true;
    }

    private boolean sends(Hands h) {
        if (!parts.hasWaiting() || parts.out() >= window) {
            return false;
        }
        Lane lane = trusted();
        if (lane == null) {
            return false;
        }
        Forwarded part = parts.pollWaiting();
        if (leftFor(part, lane) <= 0) {
            parts.finish(part, Fate.NEVER_LEFT);
            return true;
        }
        parts.leaves(part, lane);
        h.send(part);
        return true;
    }

    /** Of a part's time, what the far router may use: the rest is kept for the line, there and back. */
    public long leftFor(Forwarded part, Lane lane) {
        return part.until - now - lane.keptUs();
    }

    private boolean tells(Hands h) {
        Lane lane = trusted();
        BitSet may = lane == null ? new BitSet() : cells;
        // Told again when it has moved by an eighth, not at each heartbeat.
        long lineUs = lane == null ? toldLineUs : Math.max(1, lane.keptUs());
        if (may.equals(toldCells) && Math.abs(lineUs - toldLineUs) <= toldLineUs / 8) {
            return false;
        }
        toldCells = (BitSet) may.clone();
        toldLineUs = lineUs;
        parts.dueNow(); // What waits may have nowhere to go now.
        h.serves(this, toldCells, lineUs);
        return true;
    }

    private long next() {
        long next = parts.dueAt();
        for (Lane lane : lanes) {
            next = Math.min(next, lane.dueAt(now));
        }
        return next;
    }
}

package tinlink.gateway.choice;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What the far side decides about parts that other sites forward: what begins, what has been here
 * already, what is told of it, how much each near router may have here, what is forgotten and when.
 * A number that has been seen never runs a second time. Inputs only update what is known;
 * {@link #decide} is pulled until it says false. No I/O. Times are microseconds.
 */
public final class Taker {
    /** What decisions are carried out with. */
    public interface Hands {
        void begin(Taken part);

        /** Its near router has no more use for it. */
        void giveUp(Taken part);

        /** Says on a session what became of a part; the value is with the part. */
        void say(Object session, int line, long number, Fate fate, Taken part);

        void window(Object session, int parts);

        void close(Object session);

        void wake(long at);
    }

    /**
     * How much of other sites' work is taken and remembered.
     *
     * @param running parts of other sites that may run here at a time
     * @param kept ended ones that are remembered, and of how many bytes together
     * @param keepUs how long an origin without a connection is remembered: no client waits for
     *     longer
     * @param beatUs the window follows refusals no faster
     */
    public record Bounds(
            int running, int kept, long keptBytes, int origins, long keepUs, long beatUs) {}

    private final Bounds bounds;
    /**
     * By router, incarnation and line; bounded, each leaves some time after its last connection.
     */
    private final Map<String, Origin> origins = new LinkedHashMap<>();
    /** Ended parts in the order in which they ended; bounded by number and bytes. */
    private final LinkedHashSet<Taken> kept = new LinkedHashSet<>();

    private long keptBytes;
    private int running;
    /** What all near routers together may have here; shrinks as the module refuses, grows back. */
    private double limit;

    private boolean refused;
    private long adjustAt;
    private boolean leaving;
    private final Map<Object, Integer> told = new LinkedHashMap<>();
    private final ArrayDeque<Runnable> ready = new ArrayDeque<>();
    private Hands hands;
    private long now;
    private long armed = Long.MAX_VALUE;

    public Taker(Bounds bounds) {
        this.bounds = bounds;
        limit = bounds.running();
    }

    // ---- Inputs. ----

    public void clock(long nowUs) {
        now = nowUs;
        if (now >= armed) {
            armed = Long.MAX_VALUE;
        }
    }

    /**
     * A near router has proved who it is. Danger: its connection before may still bring parts that
     * it has been told, or will be told, were never begun.
     *
     * @param ups how often the line has come up, this time included
     * @param next it has sent no part of that number or a higher one on this line yet
     * @return null where the table is full of routers that are connected
     */
    public Origin opened(
            String who, int line, long incarnation, long ups, long next, Object session) {
        for (Origin o : List.copyOf(origins.values())) {
            if (o.who.equals(who) && o.incarnation != incarnation) {
                drop(o); // It has started anew: nobody waits for these any more.
            }
        }
        String key = Origin.key(who, line, incarnation);
        Origin o = origins.get(key);
        if (o == null) {
            if (origins.size() >= bounds.origins() && !makeRoom()) {
                return null;
            }
            o = new Origin(who, line, incarnation, next);
            origins.put(key, o);
        }
        if (o.session != null && o.session != session) {
            Object before = o.session;
            told.remove(before);
            ready.add(() -> hands.close(before));
        }
        o.session = session;
        o.ups = ups;
        o.voice = session;
        o.fence = Math.max(o.fence, next);
        return o;
    }

    private boolean makeRoom() {
        Origin oldest = null;
        for (Origin o : origins.values()) {
            if (o.session == null && (oldest == null || o.leftAt < oldest.leftAt)) {
                oldest = o;
            }
        }
        if (oldest != null) {
            drop(oldest);
        }
        return oldest != null;
    }

    private void drop(Origin o) {
        for (Taken p : List.copyOf(o.parts.values())) {
            forget(p);
        }
        if (o.session != null) {
            Object before = o.session;
            told.remove(before);
            ready.add(() -> hands.close(before));
        }
        origins.remove(o.key(), o);
    }

    public void closed(Origin o, Object session) {
        told.remove(session);
        if (o.session == session) {
            o.session = null;
            o.leftAt = now;
        }
        for (Origin each : origins.values()) {
            each.voice = each.voice == session ? null : each.voice;
        }
    }

    /**
     * A part has arrived. Danger: the same frame twice or late, on this connection or another: what
     * has been seen, or lies under the fence, never runs.
     *
     * @param inTime it may have its effect now; one that was long on the way may not
     */
    public void part(Origin o, Taken p, boolean inTime) {
        Taken known = o.parts.get(p.number);
        if (known != null || p.number <= o.lastBegun || p.number < o.fence) {
            say(o, p.number, known);
            return;
        }
        o.lastBegun = p.number;
        o.parts.put(p.number, p);
        if (leaving || !inTime || running >= bounds.running() || o.running >= window()) {
            refused |= running >= bounds.running();
            finish(p, leaving ? Fate.NEVER_BEGUN : Fate.REFUSED, 0);
            return;
        }
        running++;
        o.running++;
        ready.add(() -> {
            if (p.fate == Fate.RUNNING) {
                hands.begin(p);
            }
        });
    }

    /** How a part has ended here; said once, and remembered. */
    public void ended(Taken p, Fate fate, int bytes) {
        if (p.fate == Fate.RUNNING) {
            running--;
            p.origin.running--;
            refused |= fate == Fate.REFUSED;
            finish(p, fate, bytes);
        }
    }

    private void finish(Taken p, Fate fate, int bytes) {
        p.fate = fate;
        if (p.origin.parts.get(p.number) != p) {
            return; // Given up, or its origin is gone: nobody asks any more.
        }
        p.endedAt = now;
        p.bytes = bytes;
        kept.add(p);
        keptBytes += bytes;
        say(p.origin, p.number, p);
        while (kept.size() > bounds.kept() || keptBytes > bounds.keptBytes()) {
            Taken oldest = kept.iterator().next();
            oldest.origin.forgottenUnder =
                    Math.max(oldest.origin.forgottenUnder, oldest.number + 1);
            forget(oldest);
        }
    }

    private void say(Origin o, long number, Taken known) {
        Fate fate = known != null
                ? known.fate
                : number < o.forgottenUnder ? Fate.MAY_HAVE_RUN : Fate.NEVER_BEGUN;
        ready.add(() -> {
            if (o.voice != null) {
                hands.say(o.voice, o.line, number, fate, known);
            }
        });
    }

    /** Out of the table; a part that still runs is given up. */
    private void forget(Taken p) {
        p.origin.parts.remove(p.number, p);
        if (kept.remove(p)) {
            keptBytes -= p.bytes;
        }
        if (p.fate == Fate.RUNNING) {
            running--;
            p.origin.running--;
            p.fate = Fate.MAY_HAVE_RUN;
            ready.add(() -> hands.giveUp(p));
        }
    }

    public void givenUp(Origin o, long number) {
        Taken p = o.parts.get(number);
        if (p != null) {
            forget(p);
        }
    }

    /** Of what lies under that number nothing is of interest any more. */
    public void lowest(Origin o, long number) {
        List.copyOf(o.parts.headMap(Math.min(number, o.lastBegun + 1), false).values())
                .forEach(this::forget);
    }

    /**
     * Asked on a session about a line of the same router: all that it still has use for. The rest
     * is given up. Danger: a question that comes late over a slow line, after the line that it is
     * about is up again: it knows nothing of what has been sent there since.
     *
     * @param asker the origin of the session
     * @param ups how often that line had come up when this was asked
     */
    public void asked(
            Origin asker, Object session, int line, long ups, long fence, Set<Long> numbers) {
        Origin o = origins.get(Origin.key(asker.who, line, asker.incarnation));
        if (o == null) {
            for (long number : numbers) {
                ready.add(() -> hands.say(session, line, number, Fate.MAY_HAVE_RUN, null));
            }
            return;
        }
        if (ups < o.ups) {
            return; // Asked again since, on that line itself.
        }
        if (o != asker && o.session != null) {
            // Danger: a half-open connection of that line could still bring what is now said to be
            // never
            // begun.
            Object before = o.session;
            ready.add(() -> hands.close(before));
        }
        o.voice = session;
        o.fence = Math.max(o.fence, fence);
        for (Taken p : List.copyOf(o.parts.values())) {
            if (p.number < fence && !numbers.contains(p.number)) {
                forget(p);
            }
        }
        for (long number : numbers) {
            say(o, number, o.parts.get(number));
        }
    }

    /** The router stops: nothing begins any more. */
    public void leaves() {
        leaving = true;
    }

    public int running() {
        return running;
    }

    /** The highest number that has been begun, or refused, on the line. */
    public long lastBegun(Origin o) {
        return o.lastBegun;
    }

    // ---- Decisions. ----

    private int window() {
        int connected = 0;
        for (Origin each : origins.values()) {
            connected += each.session != null ? 1 : 0;
        }
        return Math.max(1, (int) (limit / Math.max(1, connected)));
    }

    public boolean decide(Hands h) {
        hands = h;
        if (!ready.isEmpty()) {
            ready.poll().run();
            return true;
        }
        if (now >= adjustAt) {
            adjustAt = now + bounds.beatUs();
            // Additive growth, a quarter less on refusals: the near sides hold back what would be
            // refused
            // here.
            limit = refused
                    ? Math.max(1, 0.75 * limit)
                    : Math.min(bounds.running(), limit + Math.max(1, bounds.running() / 32.0));
            refused = false;
        }
        for (Origin o : origins.values()) {
            int window = window();
            if (o.session != null && told.getOrDefault(o.session, 0) != window) {
                told.put(o.session, window);
                h.window(o.session, window);
                return true;
            }
        }
        for (Origin o : origins.values()) {
            if (o.session == null && now >= o.leftAt + bounds.keepUs()) {
                drop(o);
                return true;
            }
        }
        long next = limit < bounds.running() ? adjustAt : Long.MAX_VALUE;
        for (Origin o : origins.values()) {
            next = o.session == null ? Math.min(next, o.leftAt + bounds.keepUs()) : next;
        }
        if (next < armed) {
            armed = next;
            h.wake(next);
            return true;
        }
        return false;
    }
}

package tinlink.http2.choice;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * What is decided about the connections to one node that offers HTTP/2: how many, which call goes
 * on which, when one is opened, retired, replaced or found dead, and whether the node speaks it at
 * all. Inputs only update what is known; {@link #decide} is pulled until it says false. No I/O.
 * Times are microseconds.
 */
public final class Pool {
    /** What decisions are carried out with. */
    public interface Hands {
        void open(Conn c);

        void place(Waiting call, Conn c);

        /** Never placed. */
        void over(Waiting call, Over how);

        /** By the other protocol: the node does not speak this one. */
        void otherwise(Waiting call);

        void ping(Conn c, long number);

        /**
         * Closes a connection.
         *
         * @param silent it has answered nothing; else it is not needed any more, and nothing is out
         *     on it
         */
        void close(Conn c, boolean silent);

        void wake(long at);
    }

    /**
     * The bounds of a pool, times in microseconds.
     *
     * @param connections at a time
     * @param firstStreams that a connection which is coming up is taken to have room for
     * @param waiting calls that wait at a time
     * @param waitUs for how long one may wait for a stream where a connection is up
     * @param connectUs a connection has to be up, and its first settings here, within it
     * @param idleUs one without use is closed
     * @param pingUs one with calls out that says nothing for so long is asked, and closed after as
     *     long again
     * @param rememberUs for how long a node is taken not to speak it
     */
    public record Bounds(
            int connections,
            int firstStreams,
            int waiting,
            long waitUs,
            long connectUs,
            long idleUs,
            long pingUs,
            long rememberUs) {}

    private final Bounds bounds;
    /** Each leaves as it ends. */
    private final List<Conn> conns = new ArrayList<>();
    /** Bounded; each leaves with a place, or in time. */
    private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();

    private final ArrayDeque<Waiting> full = new ArrayDeque<>();
    private final ArrayDeque<Waiting> unreachable = new ArrayDeque<>();
    private Over unreachableAs = Over.NO_CONNECTION;
    private long usualLimit;
    private long otherwiseUntil = Long.MIN_VALUE;
    private long pings;
    private boolean gone;
    private long now;
    private long armed = Long.MAX_VALUE;

    public Pool(Bounds bounds) {
        this.bounds = bounds;
        usualLimit = bounds.firstStreams();
    }

    // ---- Inputs. ----

    public void clock(long nowUs) {
        now = nowUs;
        armed = now >= armed ? Long.MAX_VALUE : armed;
    }

    public void call(Waiting w) {
        if (waiting.size() >= bounds.waiting()) {
            full.add(w);
            return;
        }
        if (gone) {
            unreachable.add(w);
            return;
        }
        w.waitsUntil = Math.min(w.until, now + bounds.waitUs());
        waiting.add(w);
    }

    /** Given up before it had a place. */
    public void drop(Waiting w) {
        w.over = true;
        waiting.remove(w);
    }

    /** The connection is up; its settings are still to come. */
    public void up(Conn c) {
        if (c.state == Conn.State.CONNECTING) {
            c.state = Conn.State.UP;
            c.heardAt = now;
            c.usedAt = now;
            c.since = now;
        }
    }

    /** The node allows so many streams on it; may be fewer than are open, and none. */
    public void settled(Conn c, long streams) {
        c.limit = streams;
        c.settled = true;
        usualLimit = Math.max(1, Math.min(streams, Integer.MAX_VALUE));
        otherwiseUntil = Long.MIN_VALUE;
    }

    public void heard(Conn c) {
        c.heardAt = now;
    }

    public void ponged(Conn c, long number) {
        if (number == c.ping) {
            c.ping = 0;
        }
    }

    /** A call on it is over. */
    public void closed(Conn c) {
        c.open--;
        c.usedAt = now;
    }

    /** No new calls: its node says goodbye, has moved or started anew, or its ids are used up. */
    public void retire(Conn c) {
        if (c.state != Conn.State.OVER) {
            c.state = Conn.State.LEAVING;
        }
    }

    /**
     * It has ended. Danger: a node that takes connections and does not speak HTTP/2 would cost
     * every call a connect; one whose machine is merely away must not pass for such a node.
     *
     * @param wasUp it had come up
     * @param why of a call that has nowhere to go now
     */
    public void ended(Conn c, boolean wasUp, Over why) {
        c.state = Conn.State.OVER;
        conns.remove(c);
        if (wasUp && !c.settled) {
            otherwiseUntil = now + bounds.rememberUs();
        } else if (!wasUp && conns.isEmpty()) {
            unreachableAs = why;
            unreachable.addAll(waiting);
            waiting.clear();
        }
    }

    /** The node takes nothing new: what waits was never sent. */
    public void dropWaiting() {
        unreachableAs = Over.NEVER_LEFT;
        unreachable.addAll(waiting);
        waiting.clear();
    }

    /** The node is off the list: what is out is finished, nothing new goes there. */
    public void gone() {
        gone = true;
        dropWaiting();
        conns.forEach(this::retire);
    }

    public boolean speaks() {
        return now >= otherwiseUntil;
    }

    public List<Conn> connections() {
        return List.copyOf(conns);
    }

    public int waiting() {
        return waiting.size();
    }

    // ---- Decisions. ----

    public boolean decide(Hands h) {
        if (!full.isEmpty()) {
            over(h, full.poll(), Over.FULL);
            return true;
        }
        if (!unreachable.isEmpty()) {
            over(h, unreachable.poll(), unreachableAs);
            return true;
        }
        if (!speaks() && !waiting.isEmpty()) {
            Waiting w = waiting.poll();
            w.over = true;
            h.otherwise(w);
            return true;
        }
        for (Conn c : conns) {
            if (line(c, h)) {
                return true;
            }
        }
        if (!waiting.isEmpty() && (places(h) || opens(h))) {
            return true;
        }
        return waits(h);
    }

    private static void over(Hands h, Waiting w, Over how) {
        if (!w.over) {
            w.over = true;
            h.over(w, how);
        }
    }

    private boolean line(Conn c, Hands h) {
        boolean unsettled =
                c.state == Conn.State.UP && !c.settled && now >= c.since + bounds.connectUs();
        boolean dead = c.ping > 0 && now >= c.pingAt + bounds.pingUs();
        boolean unused = c.open == 0
                && (c.state == Conn.State.LEAVING
                        || (c.state == Conn.State.UP && now >= c.usedAt + bounds.idleUs()));
        if (unsettled || dead || unused) {
            h.close(c, !unused);
            return true;
        }
        if (c.open > 0 && c.ping == 0 && now >= Math.max(c.heardAt, c.pingAt) + bounds.pingUs()) {
            c.ping = ++pings;
            c.pingAt = now;
            h.ping(c, c.ping);
            return true;
        }
        return false;
    }

    /** The fullest connection that has room, so that the others fall idle and are closed. */
    private boolean places(Hands h) {
        Conn best = null;
        for (Conn c : conns) {
            if (c.hasRoom() && c.ping == 0 && (best == null || c.open > best.open)) {
                best = c;
            }
        }
        if (best == null) {
            return false;
        }
        Waiting w = waiting.poll();
        w.over = true;
        best.open++;
        best.usedAt = now;
        h.place(w, best);
        return true;
    }

    /** One more, if those that are coming up would not have room for all that wait. */
    private boolean opens(Hands h) {
        long coming = 0;
        int alive = 0;
        for (Conn c : conns) {
            boolean comes =
                    c.state == Conn.State.CONNECTING || (c.state == Conn.State.UP && !c.settled);
            coming += comes ? Math.min(usualLimit, bounds.firstStreams()) : 0;
            alive += c.state == Conn.State.LEAVING ? 0 : 1;
        }
        if (gone || coming >= waiting.size() || alive >= bounds.connections()) {
            return false;
        }
        // Danger: a node that allows no streams at all would be met with connection after
        // connection.
        boolean none =
                conns.stream().anyMatch(c -> c.settled && c.limit == 0 && c.state == Conn.State.UP);
        if (none) {
            return false;
        }
        Conn c = new Conn();
        c.usedAt = now;
        c.since = now;
        conns.add(c);
        h.open(c);
        return true;
    }

    private boolean waits(Hands h) {
        boolean full = conns.stream().anyMatch(c -> c.settled && c.state == Conn.State.UP);
        for (Waiting w : waiting) {
            if (now >= w.until || (full && now >= w.waitsUntil)) {
                waiting.remove(w);
                over(h, w, Over.FULL);
                return true;
            }
        }
        long next = Long.MAX_VALUE;
        for (Waiting w : waiting) {
            next = Math.min(next, full ? w.waitsUntil : w.until);
        }
        for (Conn c : conns) {
            if (c.state == Conn.State.UP && !c.settled) {
                next = Math.min(next, c.since + bounds.connectUs());
            }
            if (c.ping > 0) {
                next = Math.min(next, c.pingAt + bounds.pingUs());
            } else if (c.open > 0) {
                next = Math.min(next, Math.max(c.heardAt, c.pingAt) + bounds.pingUs());
            } else if (c.state == Conn.State.UP) {
                next = Math.min(next, c.usedAt + bounds.idleUs());
            }
        }
        if (next < armed) {
            armed = next;
            h.wake(next);
            return true;
        }
        return false;
    }
}

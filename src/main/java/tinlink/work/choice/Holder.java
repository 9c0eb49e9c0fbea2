package tinlink.work.choice;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * What one router does by the order that all agree on: which data nodes it leaves out, when it says
 * that it is done with one, and when it lets its own clients go. It acts by what it knows to be
 * agreed, never by a time.
 *
 * <p>What it says may get lost, so it is said again while it still follows from what stands. An old
 * copy of the order does no harm: a grant that is over is refused as it is begun, and a router that
 * drains by one that was called off counts as away until it has said that it serves.
 */
public final class Holder {
    /** What becomes of decisions. */
    public interface Hands {
        /** Says it to whoever leads; it may get lost. */
        void propose(String line);

        /** From now on nothing new goes to this data node, or again as usual. */
        void leaveOut(String machine, boolean out);

        /** This router lets its clients go, or serves them again. */
        void letGo(boolean go);

        void wake(long atUs);
    }

    /** How it stands with what this router has in hand. */
    public interface Hold {
        /** Part calls that are open at this data node, or wait to be sent there. */
        int open(String machine);

        /** Clients that are here, and part calls that are open for them at any data node. */
        int clients();
    }

    private final String router;
    private final String life;
    private final long againUs;
    private final Set<String> before;
    private final Set<String> leftOut = new TreeSet<>();
    private boolean gone;
    /** When each line was last said; those that no longer follow leave. */
    private final Map<String, Long> said = new HashMap<>();

    private long now;
    private long armed = Long.MAX_VALUE;

    /** @param againUs what got lost is said again after so long */
    public Holder(String router, String life, long againUs) {
        this(router, life, againUs, Set.of());
    }

    /**
     * @param before what the life before this one left out: so does this one until it knows better
     */
    public Holder(String router, String life, long againUs, Set<String> before) {
        this.before = Set.copyOf(before);
        this.router = router;
        this.life = life;
        this.againUs = againUs;
    }

    public void clock(long nowUs) {
        now = nowUs;
    }

    /** Whether this router lets its clients go. */
    public boolean isGone() {
        return gone;
    }

    /**
     * Danger: a router that has just started knows of no work, and nobody waits for its word, since
     * only its earlier life is known; what it sends goes to machines that are out. So it serves
     * once its life is agreed on, or has been awaited for long enough: serving never depends on
     * agreement.
     */
    public boolean isKnown(Order order) {
        return order.lives(router, life);
    }

    /** One decision; false when there is none. */
    public boolean decide(Order order, Hold hold, Hands h) {
        Set<String> out = new TreeSet<>();
        List<String> lines = new ArrayList<>();
        boolean go = false;
        if (!isKnown(order)) {
            lines.add(Order.lifeWords(router, life));
            out.addAll(before);
        }
        for (Piece p : order.open()) {
            Machine m = order.machine(p.machine());
            if (!p.away() || m == null) {
                continue;
            }
            boolean own = m.isRouter() && m.id().equals(router);
            if (!m.isRouter() && p.drains()) {
                out.add(m.id());
            }
            boolean done = p.state() == State.DRAINING && !p.isClearOf(router, life);
            if (own) {
                boolean begun = p.isBegunBy(life);
                // Danger: started again while it is out, it would serve, and its operator, who has
                // been told
                // that it is out, would take it from under its clients.
                // Only by an order that knows of this start: one from before it is history.
                boolean taken =
                        isKnown(order) && (p.state() == State.OUT || p.state() == State.OVERDUE);
                go |= taken || (begun && p.state() != State.RETURNING);
                if (p.state() == State.GRANTED || (p.state() == State.DRAINING && !begun)) {
                    lines.add(Order.beginWords(router, p.fence(), life));
                } else if (p.state() == State.RETURNING && !gone && !p.here()) {
                    lines.add(Order.servesWords(router, life));
                } else if (done && gone && hold.clients() == 0) {
                    lines.add(Order.clearWords(router, p.fence(), router, life));
                }
            } else if (!m.isRouter()
                    && done
                    && leftOut.contains(m.id())
                    && hold.open(m.id()) == 0) {
                lines.add(Order.clearWords(m.id(), p.fence(), router, life));
            }
        }
        return leavesOut(out, h) || goes(go, h) || says(lines, h);
    }

    private boolean leavesOut(Set<String> out, Hands h) {
        for (String m : out) {
            if (leftOut.add(m)) {
                h.leaveOut(m, true);
                return true;
            }
        }
        for (String m : leftOut) {
            if (!out.contains(m)) {
                leftOut.remove(m);
                h.leaveOut(m, false);
                return true;
            }
        }
        return false;
    }

    private boolean goes(boolean go, Hands h) {
        if (go == gone) {
            return false;
        }
        gone = go;
        h.letGo(go);
        return true;
    }

    private boolean says(List<String> lines, Hands h) {
        said.keySet().retainAll(lines);
        long next = Long.MAX_VALUE;
        for (String line : lines) {
            long at = said.getOrDefault(line, Long.MIN_VALUE / 2) + againUs;
            if (now >= at) {
                said.put(line, now);
                h.propose(line);
                return true;
            }
            next = Math.min(next, at);
        }
        if (next != Long.MAX_VALUE && (next < armed || armed <= now)) {
            armed = next;
            h.wake(next);
        }
        return false;
    }
}

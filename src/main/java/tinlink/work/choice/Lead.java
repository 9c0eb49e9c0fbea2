package tinlink.work.choice;

import tinlink.cluster.membership.LineCodec;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * What the router that leads puts to the others: the bounds, once; what routers report of machines,
 * joined; which routers there are; and what time has passed. It decides nothing by it: the order
 * does, in all routers alike. Reports get lost and come late, so they are said again and again, and
 * what is old counts for nothing.
 */
public final class Lead {
    /** Puts a line to the vote; {@link #answered} is called as it has been agreed, or has not. */
    public interface Hands {
        void propose(String line);
    }

    /** Lines that are put to the vote at a time; what more there is follows. */
    private static final int MOST_AT_A_TIME = 64;
    /** An answer that has not come after so many beats won't. */
    private static final int AWAITED_BEATS = 20;

    private final Bounds bounds;
    private final Sight sight;
    private final long beatUs;
    private final int most;
    /** By name, as each says of itself; as many as there are routers. */
    private final Map<String, Machine> routers = new LinkedHashMap<>();
    /** Lives of routers that have said that they end; emptied as that is agreed. */
    private final Map<String, String> left = new TreeMap<>();

    private long now;
    private long lastTick = Long.MIN_VALUE;
    private long beatAt = Long.MIN_VALUE;
    private int awaited;
    private long awaitedSince;
    private boolean leads;
    /** Routers that vote, as the group stands. */
    private Set<String> seated = Set.of();

    /** @param bounds as the leader's file has them; the first ones agreed on hold, whoever leads */
    public Lead(Bounds bounds, long beatUs, long oldUs, int most) {
        this.bounds = bounds;
        this.beatUs = beatUs;
        this.most = most;
        sight = new Sight(oldUs, most);
    }

    public void clock(long nowUs) {
        now = nowUs;
    }

    /**
     * Whether this router leads now. Danger: time that passed under another leader, or none, must
     * not be counted by this one: grants would end that nobody could begin.
     */
    public void leads(boolean is) {
        if (is && !leads) {
            lastTick = now;
            awaited = 0;
            routers.clear();
        }
        leads = is;
    }

    /** Who votes now: what a router says of itself may be behind. */
    public void seated(Set<String> routers) {
        seated = routers;
    }

    // ---- What routers report, in lines of words. ----

    /** Of machines that the speaker looks after. */
    public static String sawWords(Map<String, Boolean> saw) {
        List<Object> w = new ArrayList<>(List.of("saw"));
        saw.forEach((m, sound) -> {
            w.add(m);
            w.add(sound);
        });
        return LineCodec.encode(w.toArray());
    }

    /** The speaker's own list of data nodes, whole: what routers of before {@link ListDifference} say. */
    public static String listWords(String site, Collection<Machine> nodes) {
        List<Object> w = new ArrayList<>(List.of("list", site));
        nodes.forEach(m -> w.add(m.words()));
        return LineCodec.encode(w.toArray());
    }

    /** The speaker itself. */
    public static String selfWords(Machine router) {
        return LineCodec.encode("self", router.words());
    }

    /** The speaker has let its last client go, and ends. */
    public static String leftWords(String life) {
        return LineCodec.encode("left", life);
    }

    /**
     * Hears a report from another router.
     *
     * @param from proved by its key; it speaks for itself alone
     */
    public void told(String from, String line) {
        List<String> w = LineCodec.decode(line);
        try {
            switch (w.get(0)) {
                case "saw" -> {
                    for (int i = 1; i + 1 < w.size(); i += 2) {
                        sight.saw(from, w.get(i), Boolean.parseBoolean(w.get(i + 1)), now);
                    }
                }
                case "list" -> {
                    List<Machine> all = new ArrayList<>();
                    for (String m : w.subList(2, w.size())) {
                        all.add(Machine.of(LineCodec.decode(m)));
                    }
                    sight.listed(from, w.get(1), all, now);
                }
                case ListDifference.KIND -> sight.differs(from, ListDifference.of(w), now);
                case "self" -> {
                    Machine m = Machine.of(LineCodec.decode(w.get(1)));
                    if (m.isRouter()
                            && m.id().equals(from)
                            && (routers.size() < most || routers.containsKey(from))) {
                        routers.put(from, m);
                    }
                }
                case "left" -> {
                    if (left.size() < most) {
                        left.put(from, w.get(1));
                    }
                }
                default -> {}
            }
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            // A report that can't be read is no report; its router is one that says nothing.
        }
    }

    /** One of its lines has come to an end, this way or that. */
    public void answered() {
        awaited = Math.max(0, awaited - 1);
    }

    /** One beat's lines; false where there is nothing to put now. */
    public boolean decide(Order order, Hands h) {
        if (!leads
                || now < beatAt
                || (awaited > 0 && now - awaitedSince < AWAITED_BEATS * beatUs)) {
            return false;
        }
        beatAt = now + beatUs;
        List<String> all = lines(order);
        awaited = all.size();
        awaitedSince = now;
        all.forEach(h::propose);
        return !all.isEmpty();
    }

    private List<String> lines(Order order) {
        List<String> all = new ArrayList<>();
        if (!order.isBounded()) {
            all.add(Order.boundsWords(bounds));
            return all; // Machines are counted against them: all else comes after.
        }
        sight.agreed(order.agreedNodes());
        left.values().removeIf(life -> order.lives().noneMatch(life::equals));
        left.forEach((router, life) -> all.add(Order.endedWords(router, life)));
        for (Machine self : routers.values()) {
            Machine r = self.votes(seated.contains(self.id()));
            if (!r.equals(order.machine(r.id()))) {
                all.add(Order.machineWords(r));
            }
        }
        all.addAll(sight.proposes(order, now));
        long passed = now - lastTick;
        if (all.size() < MOST_AT_A_TIME && !order.open().isEmpty()) {
            all.add(Order.tickWords(passed));
            lastTick = now;
        } else if (order.open().isEmpty()) {
            lastTick = now; // Nothing waits by it.
        }
        return all.size() > MOST_AT_A_TIME ? all.subList(0, MOST_AT_A_TIME) : all;
    }
}

package tinlink.work.choice;

import tinlink.cluster.membership.LineCodec;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * The order in which machines are taken out for work. All routers agree on the commands and on
 * their order; each plays them through this and comes to the same grants. Nothing here asks a
 * clock: agreed time is the sum of what leaders say has passed, by clocks that only go on, and it
 * stands still while there is no leader.
 *
 * <p>What is safe rests on the order of commands alone: a grant that has not been begun may end by
 * time, one that has counts as away until its machine has come back and been sound for as long as
 * is stated.
 */
public final class Order {
    private static final long NEVER = Long.MAX_VALUE;
    /** One tick is no longer, whatever its leader says. */
    public static final long MOST_TICK = 1_000_000;
    /**
     * A piece that has waited for so many agings keeps its place free: what would be in its way
     * waits.
     */
    private static final int STARVED_AGINGS = 2;
    /** Those that were agreed on; nothing is granted before. */
    private Bounds bounds;
    /** By id. Those that are gone leave, once no work on them is in hand. */
    private final Map<String, Machine> machines = new TreeMap<>();
    /** Worked out from the machines as it is asked for; null after they have changed. */
    private AgreedNodes agreedNodes;

    /**
     * Those not sound, and since when; of sound ones, since when they are. Leave with their
     * machine.
     */
    private final Map<String, Long> unsound = new TreeMap<>();

    private final Map<String, Long> soundSince = new TreeMap<>();
    /** Routers that may serve: their names, and of each its newest life. */
    private final Map<String, String> lives = new TreeMap<>();
    /** By id of the request; ended ones leave, oldest first, past the number that is kept. */
    private final Map<String, List<Piece>> requests = new LinkedHashMap<>();
    /** Those of them that are not over: what each turn looks at. */
    private final List<Piece> open = new ArrayList<>();
    /**
     * Work by which machines are away, null after a change until somebody asks. Danger: looked for
     * among all work for each piece that waits, a thousand requests made each command a million
     * steps.
     */
    private Map<String, Piece> awayBy;

    private long now;
    private long fences;
    private long asked;
    private int pieces;

    public Order(Bounds bounds) {
        this.bounds = bounds;
    }

    /** A copy that goes its own way from here; what never changes is held in common. */
    public Order copy() {
        Order copy = new Order(bounds);
        copy.machines.putAll(machines);
        copy.unsound.putAll(unsound);
        copy.soundSince.putAll(soundSince);
        copy.lives.putAll(lives);
        for (Map.Entry<String, List<Piece>> request : requests.entrySet()) {
            List<Piece> pieces = new ArrayList<>();
            for (Piece piece : request.getValue()) {
                pieces.add(new Piece(piece));
            }
            copy.requests.put(request.getKey(), pieces);
        }
        for (Piece piece : open) {
            List<Piece> all = copy.requests.get(piece.request.id());
            copy.open.add(all.get(requests.get(piece.request.id()).indexOf(piece)));
        }
        copy.now = now;
        copy.fences = fences;
        copy.asked = asked;
        copy.pieces = pieces;
        return copy;
    }

    /** Of a fleet that has agreed on nothing yet, not even on its bounds. */
    public Order() {
        this(Bounds.NONE);
    }

    // ---- What stands. ----

    public Bounds bounds() {
        return bounds;
    }

    /** Whether bounds have been agreed on. */
    @SuppressWarnings("ReferenceEquality") // Equal figures may have been agreed on.
    public boolean isBounded() {
        return bounds != Bounds.NONE;
    }

    /** Of each router that may serve, its newest life. */
    public Stream<String> lives() {
        return lives.values().stream();
    }

    /** Agreed time, microseconds. */
    public long now() {
        return now;
    }

    /** The data nodes among the machines, by which lists are told apart; held until they change. */
    public AgreedNodes agreedNodes() {
        if (agreedNodes == null) {
            agreedNodes = AgreedNodes.of(machines.values());
        }
        return agreedNodes;
    }

    public Collection<Machine> machines() {
        return machines.values();
    }

    public Machine machine(String id) {
        return machines.get(id);
    }

    public Collection<List<Piece>> requests() {
        return requests.values();
    }

    /** The pieces of a request; empty where it is not known, or not any more. */
    public List<Piece> request(String id) {
        return requests.getOrDefault(id, List.of());
    }

    /** Work that is in hand or waits. */
    public List<Piece> open() {
        return List.copyOf(open);
    }

    public boolean sound(String machine) {
        return !unsound.containsKey(machine);
    }

    /** The work by which a machine is away; null where it is not. */
    public Piece away(String machine) {
        if (awayBy == null) {
            awayBy = new HashMap<>();
            for (Piece p : open) {
                if (p.away()) {
                    awayBy.putIfAbsent(p.machine, p);
                }
            }
        }
        return awayBy.get(machine);
    }

    /** The life of a router that counts as one that may serve; null where none does. */
    public String life(String router) {
        return lives.get(router);
    }

    /** Whether this life of this router counts as one that may serve. */
    public boolean lives(String router, String life) {
        return life.equals(lives.get(router));
    }

    // ---- Commands, in the order agreed on. ----

    /**
     * Plays one command; what is not understood changes nothing. @return what is said to whoever
     * asked
     */
    public String play(String line) {
        List<String> w = LineCodec.decode(line);
        try {
            return switch (w.get(0)) {
                case "bounds" -> bounds(Bounds.of(w));
                case "tick" -> tick(Long.parseLong(w.get(1)));
                case "machine" -> machine(Machine.of(w));
                case "gone" -> gone(w.get(1));
                case "sound" -> sound(w.get(1), Boolean.parseBoolean(w.get(2)));
                case "life" -> life(w.get(1), w.get(2));
                case "ended" -> ended(w.get(1), w.get(2));
                case "request" -> ask(Request.of(w));
                case "call-off" -> callOff(w.get(1), w.get(2));
                case "begin" -> begin(w.get(1), Long.parseLong(w.get(2)), w.get(3));
                case "clear" -> clear(w.get(1), Long.parseLong(w.get(2)), w.get(3), w.get(4));
                case "serves" -> serves(w.get(1), w.get(2));
                case "done" -> done(w.get(1), w.get(2), w.get(3));
                default -> "not understood: " + w.get(0);
            };
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            return "not understood: " + line;
        }
    }

    public static String boundsWords(Bounds b) {
        return b.words();
    }

    /**
     * The command for a step of time.
     *
     * @param passedUs since the last one, on the leader's monotonic clock
     */
    public static String tickWords(long passedUs) {
        return LineCodec.encode("tick", passedUs);
    }

    public static String machineWords(Machine m) {
        return m.words();
    }

    public static String goneWords(String machine) {
        return LineCodec.encode("gone", machine);
    }

    public static String soundWords(String machine, boolean sound) {
        return LineCodec.encode("sound", machine, sound);
    }

    public static String lifeWords(String router, String life) {
        return LineCodec.encode("life", router, life);
    }

    public static String endedWords(String router, String life) {
        return LineCodec.encode("ended", router, life);
    }

    public static String askWords(Request r) {
        return r.words();
    }

    public static String callOffWords(String request, String why) {
        return LineCodec.encode("call-off", request, why);
    }

    public static String beginWords(String router, long fence, String life) {
        return LineCodec.encode("begin", router, fence, life);
    }

    public static String clearWords(String machine, long fence, String router, String life) {
        return LineCodec.encode("clear", machine, fence, router, life);
    }

    public static String servesWords(String router, String life) {
        return LineCodec.encode("serves", router, life);
    }

    /**
     * The command that ends work on a machine.
     *
     * @param machine empty for all of the request
     * @param lost it will not come back
     */
    public static String doneWords(String request, String machine, boolean lost) {
        return LineCodec.encode("done", request, machine, lost ? "lost" : "back");
    }

    /**
     * Danger: routers whose files differ would come to different grants; so bounds are agreed on
     * like all else. The first hold; what changes them is a change of policy.
     */
    private String bounds(Bounds b) {
        if (isBounded()) {
            return bounds.equals(b) ? "" : "other bounds are agreed on";
        }
        bounds = b;
        return "";
    }

    /**
     * Danger: a leader that stood still, or whose machine slept, would end grants that nobody could
     * begin.
     */
    private String tick(long passedUs) {
        now += Math.max(0, Math.min(passedUs, MOST_TICK));
        moveOn();
        return "";
    }

    private String machine(Machine m) {
        if (machines.size() >= bounds.most() && !machines.containsKey(m.id())) {
            return "too many machines";
        }
        agreedNodes = null;
        if (machines.put(m.id(), m) == null) {
            soundSince.putIfAbsent(m.id(), now);
        }
        moveOn();
        return "";
    }

    private String gone(String id) {
        // Danger: a machine that is out for work is off the lists as well; forgotten, its block
        // would look
        // whole.
        if (away(id) == null && machines.remove(id) != null) {
            agreedNodes = null;
            unsound.remove(id);
            soundSince.remove(id);
            for (Piece p : List.copyOf(open)) {
                if (p.machine.equals(id)) {
                    ends(p, State.REFUSED, "the machine is gone from the lists");
                }
            }
        }
        moveOn();
        return "";
    }

    private String sound(String id, boolean is) {
        if (machines.containsKey(id) && is == unsound.containsKey(id)) {
            if (is) {
                unsound.remove(id);
                soundSince.put(id, now);
            } else {
                unsound.put(id, now);
            }
        }
        moveOn();
        return "";
    }

    private String life(String router, String life) {
        if (lives.size() >= bounds.most() && !lives.containsKey(router)) {
            return "too many routers";
        }
        lives.put(router, life);
        moveOn();
        return "";
    }

    private String ended(String router, String life) {
        lives.remove(router, life);
        moveOn();
        return "";
    }

    /** One with an id that is known is that one, whatever else it says. */
    private String ask(Request r) {
        List<Piece> known = requests.get(r.id());
        if (known != null) {
            return known.get(0).request.equals(r) ? "" : "another request has that id";
        }
        if (!isBounded()) {
            return "no bounds are agreed on yet: ask again";
        }
        if (open.size() + r.machines().size() > bounds.most()) {
            return "too much work is asked for";
        }
        List<Piece> all = new ArrayList<>();
        for (String id : r.machines().isEmpty()
                ? List.of("")
                : new ArrayList<>(new TreeSet<>(r.machines()))) {
            Piece p = new Piece(r, id, now, asked++);
            all.add(p);
            open.add(p);
            String never = never(id);
            if (never != null) {
                ends(p, State.REFUSED, never);
            }
        }
        requests.put(r.id(), all);
        pieces += all.size();
        forget();
        moveOn();
        return "";
    }

    /** Why it can't be granted even with all machines sound and here; null where it can. */
    private String never(String id) {
        if (id.isEmpty()) {
            return "it names no machine";
        }
        Machine m = machines.get(id);
        if (m == null) {
            return "no machine has that name";
        }
        String bound = new Tally(bounds, machines.values(), x -> true).without(m);
        return bound == null ? null : "it can never be granted: without it " + bound;
    }

    private String callOff(String request, String why) {
        List<Piece> all = requests.get(request);
        if (all == null) {
            return "no request has that id";
        }
        StringBuilder out = new StringBuilder();
        for (Piece p : all) {
            switch (p.state) {
                case WAITING, GRANTED -> ends(p, State.CALLED_OFF, why);
                case DRAINING -> {
                    p.calledOff = true;
                    p.again = false;
                    p.why = why;
                    stands(p, State.RETURNING);
                }
                case RETURNING -> {
                    if (p.again) {
                        p.again = false;
                        p.calledOff = true;
                        p.why = why;
                    }
                }
                case OUT, OVERDUE -> {
                    if (p.away()) {
                        out.append(
                                        out.length() == 0
                                                ? "out already, say done when it is back: "
                                                : ", ")
                                .append(p.machine);
                    }
                }
                default -> {}
            }
        }
        moveOn();
        return out.toString();
    }

    /**
     * This life of its holder acts by that grant from now on. What comes by an older grant is
     * refused; and what a holder reads of work that an earlier life of it began, it may be reading
     * from an old copy.
     */
    private String begin(String router, long fence, String life) {
        Piece p = away(router);
        if (p == null
                || p.fence != fence
                || !lives(router, life)
                || (p.state != State.GRANTED && p.state != State.DRAINING)) {
            return "that grant is over";
        }
        if (p.state == State.GRANTED) {
            begin(p);
        }
        p.begunBy = life;
        moveOn();
        return "";
    }

    private void begin(Piece p) {
        stands(p, State.DRAINING);
        p.until = NEVER;
    }

    private String clear(String machine, long fence, String router, String life) {
        Piece p = away(machine);
        if (p == null || p.fence != fence || p.state != State.DRAINING || !lives(router, life)) {
            return "that grant is over";
        }
        p.clear.add(router + " " + life);
        moveOn();
        return "";
    }

    /**
     * A router that was away has its door open again. Until it says so itself it may still be
     * closing it.
     */
    private String serves(String router, String life) {
        Piece p = away(router);
        if (p == null || p.state != State.RETURNING || !lives(router, life)) {
            return "nothing of it is returning";
        }
        p.here = true;
        moveOn();
        return "";
    }

    private String done(String request, String machine, String how) {
        List<Piece> all = requests.get(request);
        if (all == null) {
            return "no request has that id";
        }
        String early = "";
        for (Piece p : all) {
            if (!machine.isEmpty() && !p.machine.equals(machine)) {
                continue;
            }
            if (p.away() && how.equals("lost")) {
                ends(p, State.OVERDUE, "given up by its operator: the machine does not come back");
                gone(p.machine);
                lives.remove(p.machine);
            } else if (p.state == State.OUT || (p.state == State.OVERDUE && p.away())) {
                stands(p, State.RETURNING);
            } else if (!p.over() && p.state != State.RETURNING) {
                early = "not out yet: " + p.machine;
            }
        }
        moveOn();
        return early;
    }

    private void stands(Piece p, State s) {
        awayBy = null;
        p.state = s;
        p.since = now;
    }

    private void ends(Piece p, State s, String why) {
        stands(p, s);
        p.why = why;
        p.fence = 0;
        p.clear.clear();
        open.remove(p);
        awayBy = null;
    }

    private void forget() {
        for (Iterator<List<Piece>> all = requests.values().iterator();
                all.hasNext() && pieces > bounds.kept(); ) {
            List<Piece> one = all.next();
            if (one.stream().allMatch(Piece::over)) {
                pieces -= one.size();
                all.remove();
            }
        }
    }

    // ---- What follows from what stands; the same for all. ----

    private void moveOn() {
        for (Piece p : List.copyOf(open)) {
            follows(p);
        }
        grant();
        // A grant may be carried out at once where nobody has anything open there.
        for (Piece p : List.copyOf(open)) {
            if (p.state == State.DRAINING) {
                follows(p);
            }
        }
    }

    private void follows(Piece p) {
        Machine m = machines.get(p.machine);
        switch (p.state) {
            case WAITING -> {
                if (now - p.askedAt > p.request.withinUs()) {
                    ends(p, State.OVERDUE, "it could not start in time: " + p.why);
                }
            }
            case GRANTED -> {
                if (now > p.until) {
                    p.fence = 0;
                    p.why = "its machine has not begun by its grant";
                    stands(p, State.WAITING);
                }
            }
            case DRAINING -> {
                if (p.dead && sound(p.machine) && m != null && without(m) != null) {
                    backToWait(p, m, "it was granted as one that had failed, and is sound again");
                    return;
                }
                String owed = owed(p);
                String lacks = p.dead || m == null || !sound(p.machine) ? null : without(m);
                if (lacks != null) {
                    // Danger: another machine has failed since; taken now, this one is what is
                    // left. Its
                    // operator has not been told that it is out, so it may serve on.
                    backToWait(p, m, "called back, since without it " + lacks);
                    return;
                }
                p.why = owed == null ? "" : "not yet done with it: " + owed;
                if (owed == null) {
                    stands(p, State.OUT);
                    p.until = now + p.request.forUs();
                }
            }
            case OUT -> {
                if (now > p.until) {
                    p.why = "it is out for longer than was asked";
                    stands(p, State.OVERDUE);
                }
            }
            case RETURNING -> {
                boolean warm = m != null
                        && sound(p.machine)
                        && (p.here || !m.isRouter())
                        && now
                                >= Math.max(p.since, soundSince.getOrDefault(p.machine, now))
                                        + bounds.warmUs();
                if (warm && p.again) {
                    p.again = false;
                    p.fence = 0;
                    stands(p, State.WAITING);
                } else if (warm) {
                    ends(p, p.calledOff ? State.CALLED_OFF : State.BACK, p.calledOff ? p.why : "");
                }
            }
            default -> {}
        }
    }

    /**
     * It was granted and is not out, and waits for another grant. A router that has begun may have
     * let its clients go by now, and counts again only once it has said that it serves.
     */
    private void backToWait(Piece p, Machine m, String why) {
        p.why = why;
        if (m.isRouter()) {
            p.again = true;
            stands(p, State.RETURNING);
        } else {
            p.fence = 0;
            stands(p, State.WAITING);
        }
    }

    /**
     * The bound that is broken without this machine as things are now, if it counts itself; null
     * where none is. Danger: a failed machine is granted whatever its block lacks; come back, it is
     * what the block has left.
     */
    private String without(Machine m) {
        return new Tally(
                        bounds,
                        machines.values(),
                        x -> x.equals(m) || (sound(x.id()) && away(x.id()) == null))
                .without(m);
    }

    /** Routers that have not said yet that they have nothing open there; null where all have. */
    private String owed(Piece p) {
        StringBuilder owed = new StringBuilder();
        Machine m = machines.get(p.machine);
        lives.forEach((router, life) -> {
            // A router's clients are its own affair; a data node may be sent to by all routers but
            // those that
            // have said that they serve nobody, and have not been started again since.
            Piece own = away(router);
            boolean serves = (m != null && m.isRouter())
                    ? router.equals(p.machine)
                    : own == null
                            || own.state == State.RETURNING
                            || !own.clear.contains(router + " " + life);
            if (serves && !p.clear.contains(router + " " + life)) {
                owed.append(owed.length() == 0 ? "" : ", ").append(router);
            }
        });
        return owed.length() == 0 ? null : owed.toString();
    }

    /** As urgent as was said, and a step more for each aging that it has waited. */
    private long urgency(Piece p) {
        return p.request.urgency() + (now - p.askedAt) / bounds.agingUs();
    }

    private void grant() {
        List<Piece> waiting = new ArrayList<>();
        for (Piece p : open) {
            if (p.state == State.WAITING) {
                waiting.add(p);
            }
        }
        if (waiting.isEmpty()) {
            return;
        }
        Tally tally =
                new Tally(bounds, machines.values(), m -> sound(m.id()) && away(m.id()) == null);
        String broken = tally.broken();
        waiting.sort(Comparator.comparingLong((Piece p) -> -urgency(p))
                .thenComparingLong(p -> p.number));
        for (Piece p : waiting) {
            Machine m = machines.get(p.machine);
            boolean there = sound(p.machine) && away(p.machine) == null;
            if (away(p.machine) != null) {
                p.why = "other work is being done on it";
                continue;
            }
            if (broken != null && there) {
                p.why = "nothing is granted while " + broken;
                continue;
            }
            // What has failed already counts for nothing; taking it out loses nothing more.
            String bound = there ? tally.without(m) : null;
            if (bound != null) {
                p.why = "without it " + bound;
                if (now - p.askedAt >= STARVED_AGINGS * bounds.agingUs()) {
                    tally.take(m); // Its place is kept for it: those behind it that would be in its
                    // way wait.
                }
                continue;
            }
            if (there) {
                tally.take(m);
            }
            p.fence = ++fences;
            p.clear.clear();
            p.here = false;
            p.begunBy = "";
            p.dead = !there;
            p.why = "";
            p.until = now + bounds.beginUs();
            stands(p, State.GRANTED);
            if (!m.isRouter()) {
                begin(p); // Nobody has to be awake for it: all routers leave it out from here on.
            }
        }
    }

    // ---- Kept and read again. ----

    /** All of it, a line each; {@link #of} makes the same from them. */
    public List<String> lines() {
        List<String> all = new ArrayList<>();
        all.add(LineCodec.encode("order", 1, now, fences, asked));
        if (isBounded()) {
            all.add(bounds.words());
        }
        machines.values().forEach(m -> all.add(m.words()));
        unsound.forEach((m, at) -> all.add(LineCodec.encode("unsound", m, at)));
        soundSince.forEach((m, at) -> all.add(LineCodec.encode("since", m, at)));
        lives.forEach((r, life) -> all.add(LineCodec.encode("life", r, life)));
        for (List<Piece> some : requests.values()) {
            all.add(some.get(0).request.words());
            some.forEach(p -> all.add(p.words()));
        }
        return all;
    }

    /**
     * Reads an order from its lines.
     *
     * @throws IllegalArgumentException where these are no lines of an order
     */
    public static Order of(List<String> lines) {
        Order o = new Order();
        Request r = null;
        for (String line : lines) {
            List<String> w = LineCodec.decode(line);
            switch (w.get(0)) {
                case "order" -> {
                    if (!w.get(1).equals("1")) {
                        throw new IllegalArgumentException("an order of version " + w.get(1));
                    }
                    o.now = Long.parseLong(w.get(2));
                    o.fences = Long.parseLong(w.get(3));
                    o.asked = Long.parseLong(w.get(4));
                }
                case "bounds" -> o.bounds = Bounds.of(w);
                case "machine" -> {
                    Machine m = Machine.of(w);
                    o.machines.put(m.id(), m);
                }
                case "unsound" -> o.unsound.put(w.get(1), Long.parseLong(w.get(2)));
                case "since" -> o.soundSince.put(w.get(1), Long.parseLong(w.get(2)));
                case "life" -> o.lives.put(w.get(1), w.get(2));
                case "request" -> {
                    r = Request.of(w);
                    o.requests.put(r.id(), new ArrayList<>());
                }
                case "piece" -> {
                    if (r == null || !r.id().equals(w.get(1))) {
                        throw new IllegalArgumentException("a piece without its request: " + line);
                    }
                    Piece p = Piece.of(w, r);
                    o.requests.get(r.id()).add(p);
                    o.pieces++;
                    if (!p.over()) {
                        o.open.add(p);
                    }
                }
                default -> throw new IllegalArgumentException("no line of an order: " + line);
            }
        }
        o.open.sort(Comparator.comparingLong(p -> p.number));
        return o;
    }
}

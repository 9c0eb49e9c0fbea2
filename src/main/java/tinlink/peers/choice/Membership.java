package tinlink.peers.choice;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Which routers there are, and which of them answer, as this one knows it. Inputs only update what
 * is known; decisions are pulled until there is none. Times are microseconds of one clock that
 * never goes back.
 *
 * <p>Source: A. Das, I. Gupta and A. Motivala, "SWIM" (DSN 2002): one member is probed a round,
 * through others where it is silent, and what is found travels with probes and answers. A. Dadgar,
 * J. Phillips and J. Currey, "Lifeguard" (2018): who finds many silent doubts itself first, a
 * suspicion ends the sooner the more have confirmed it, and a suspect is told at the next word with
 * it. Own: the lives of one router, told apart ({@link Life}), and a bound on all tables.
 */
public final class Membership {
    /** A rumour is told so many times the logarithm of the members. */
    private static final int TOLD = 3;

    private static final int RUMORS_A_MESSAGE = 8;
    private static final int MOST_DOUBT = 8;
    /**
     * A suspicion lasts so many rounds, times the logarithm of the members, once it has been
     * confirmed.
     */
    private static final double SUSPECT_ROUNDS = 4;
    /** And so many times longer before. */
    private static final double UNCONFIRMED = 4;

    private static final int CONFIRMED_BY = 3;
    /**
     * Who is dead or has left is known for so many suspicions more, so that old rumours don't bring
     * it back.
     */
    private static final int KEPT_SUSPICIONS = 20;
    /**
     * Danger: a rumour can't have been of an incarnation that its life has not reached; a liar's
     * may be.
     */
    private static final long MOST_INCARNATION = 1L << 40;
    /** Named routers that never answer are asked again, in turn with the members. */
    private static final int SEED_EVERY = 4;

    /**
     * The pace of probes.
     *
     * @param roundUs between two probes; an answer is awaited for half of it, then others are asked
     * @param helpers who are asked to probe a silent one
     * @param most members that are known at a time
     */
    public record Pace(long roundUs, int helpers, int most) {}

    /** What becomes of decisions. */
    public interface Hands {
        /**
         * Sends a probe.
         *
         * @param at where it is reached; the word goes there whoever answers
         */
        void probe(String at, long number, List<Rumor> rumors);

        void answer(String at, long number, List<Rumor> rumors);

        /** Asks the first to probe the second. */
        void probeFor(String at, long number, String target, List<Rumor> rumors);

        /** It was asked to probe another one, which is silent; so the helper at least is heard. */
        void noAnswer(String at, long number, List<Rumor> rumors);

        /** A member's life or standing has changed, or it has shown a twin. */
        void changed(Member m);

        /** Of this process: another life of this router is about. */
        void self(Life.Other how, Life other);

        void wake(long atUs);
    }

    private static final class Probe {
        final Member target;
        final String at;
        final long number;
        final long helpersAt;
        final long endAt;
        boolean helped;
        int helpersOwed;

        Probe(Member target, String at, long number, long helpersAt, long endAt) {
            this.target = target;
            this.at = at;
            this.number = number;
            this.helpersAt = helpersAt;
            this.endAt = endAt;
        }
    }

    /** A probe made for another router. */
    private record Favour(String asker, long theirs, long until) {}

    private static final class Told {
        final Rumor rumor;
        int times;

        Told(Rumor rumor) {
            this.rumor = rumor;
        }
    }

    private record Out(int kind, String at, long number, String target) {}

    private static final int PROBE = 0;
    private static final int ANSWER = 1;
    private static final int PROBE_FOR = 2;
    private static final int NO_ANSWER = 3;

    private final Pace pace;
    private final SplittableRandom random;
    private final Life self;
    private final String selfAt;
    private final List<String> seeds;
    private long incarnation = 1;
    /**
     * By name; dead ones and those that left go after a time, and first where there are too many.
     */
    private final Map<String, Member> members = new LinkedHashMap<>();
    /** Emptied as they have been told often enough; one a member. */
    private final Map<String, Told> rumors = new LinkedHashMap<>();
    /** Whom the rounds go through; filled anew once it is empty. */
    private final ArrayDeque<String> turn = new ArrayDeque<>();

    private int seedTurn;
    private int rounds;
    /** Probes under way, by number; each ends with its answer or its time. */
    private final Map<Long, Probe> probes = new LinkedHashMap<>();
    /** Each ends with its answer or its time. */
    private final Map<Long, Favour> favours = new HashMap<>();
    /** Emptied as they are pulled. */
    private final ArrayDeque<Out> outbox = new ArrayDeque<>();

    private final ArrayDeque<Runnable> events = new ArrayDeque<>();
    private Hands hands;
    private long number;
    private long now;
    private long nextRound = Long.MIN_VALUE;
    private long armed = Long.MAX_VALUE;
    /** How much this router doubts itself: it stretches its own patience so many times more. */
    private int doubt;

    private boolean leaving;

    /** @param seeds addresses of some routers to begin with; this one's own may be among them */
    public Membership(
            Life self, String selfAt, List<String> seeds, Pace pace, SplittableRandom random) {
        this.self = self;
        this.selfAt = selfAt;
        this.seeds = seeds.stream().filter(s -> !s.equals(selfAt)).toList();
        this.pace = pace;
        this.random = random;
    }

    // ---- What is known. ----

    public Collection<Member> members() {
        return members.values();
    }

    public Member member(String name) {
        return members.get(name);
    }

    public int doubt() {
        return doubt;
    }

    /** Routers that serve as far as is known, this one counted. */
    public int serving() {
        return 1
                + (int) members.values().stream()
                        .filter(m -> m.standing.serves())
                        .count();
    }

    public Rumor self() {
        return new Rumor(self, incarnation, leaving ? Standing.LEFT : Standing.ALIVE, selfAt, "");
    }

    private int spread() {
        return Math.max(1, (int) Math.ceil(Math.log(members.size() + 2) / Math.log(2)));
    }

    // ---- Inputs. ----

    public void clock(long nowUs) {
        now = nowUs;
        if (nextRound == Long.MIN_VALUE) {
            nextRound = now + random.nextLong(Math.max(1, pace.roundUs()));
        }
    }

    /** Somebody there probes us; what travelled with it is told before. */
    public void probed(String from, long theirs) {
        send(new Out(ANSWER, from, theirs, null));
    }

    public void probeAsked(String from, long theirs, String target) {
        if (favours.size() < pace.most()) {
            long n = ++number;
            favours.put(n, new Favour(from, theirs, now + pace.roundUs() / 2));
            send(new Out(PROBE, target, n, null));
        }
    }

    public void answered(long ours) {
        Favour f = favours.remove(ours);
        if (f != null) {
            send(new Out(ANSWER, f.asker(), f.theirs(), null));
            return;
        }
        Probe p = probes.remove(ours);
        if (p != null) {
            doubt = Math.max(0, doubt - 1);
            if (p.target != null && members.get(p.target.name()) == p.target) {
                p.target.accusers.clear();
            }
        }
    }

    /** A helper has found it silent too: the helper is heard, so this router hears. */
    public void helperAnswered(long ours) {
        Probe p = probes.get(ours);
        if (p != null && p.helpersOwed > 0) {
            p.helpersOwed--;
        }
    }

    public void heard(List<Rumor> all) {
        all.forEach(this::heard);
    }

    /** What a rumour says is taken in where it outdoes what is held. */
    public void heard(Rumor r) {
        if (r.incarnation() < 0 || r.incarnation() > MOST_INCARNATION) {
            return;
        }
        if (r.life().name().equals(self.name())) {
            ofSelf(r);
            return;
        }
        Member m = members.get(r.life().name());
        if (m == null) {
            if (r.standing().serves() && hasRoom()) {
                Member fresh = new Member(r.life(), r.incarnation(), r.standing(), r.at(), now);
                members.put(fresh.name(), fresh);
                accused(fresh, r);
                tell(fresh.rumor(r.by()));
                event(fresh);
            }
            return;
        }
        switch (m.life.is(r.life())) {
            case LATER -> {
                m.life = r.life();
                m.twin = null;
                m.accusers.clear();
                take(m, r);
            }
            case SAME -> {
                boolean over = r.incarnation() > m.incarnation
                        || (r.incarnation() == m.incarnation
                                && r.standing().compareTo(m.standing) > 0);
                // Danger: a dead life stays dead; what returns says a higher incarnation of its
                // own.
                if (over && (m.standing != Standing.LEFT || r.incarnation() > m.incarnation)) {
                    take(m, r);
                } else if (r.incarnation() == m.incarnation
                        && r.standing() == Standing.SUSPECT
                        && m.standing == Standing.SUSPECT
                        && accused(m, r)) {
                    tell(r);
                }
            }
            case TWIN -> {
                // Neither is believed more than the other; whoever asks is told of both.
                if (!r.life().equals(m.twin)) {
                    m.twin = r.life();
                    tell(r);
                    event(m);
                }
            }
            default -> {
                // An earlier life: what is said of it is over. The one that says so is told what is
                // held.
                tell(m.rumor(""));
            }
        }
    }

    private void take(Member m, Rumor r) {
        boolean changed = m.standing != r.standing() || m.incarnation == 0;
        m.incarnation = r.incarnation();
        m.standing = r.standing();
        m.at = r.standing() == Standing.ALIVE ? r.at() : m.at;
        if (m.standing != Standing.SUSPECT || changed) {
            m.accusers.clear();
        }
        accused(m, r);
        m.since = changed ? now : m.since;
        tell(m.rumor(r.by()));
        event(m);
    }

    private static boolean accused(Member m, Rumor r) {
        return r.standing() == Standing.SUSPECT
                && !r.by().isEmpty()
                && m.accusers.size() < CONFIRMED_BY + 1
                && m.accusers.add(r.by());
    }

    /** Danger: names made up by a liar, or a fleet larger than was meant, would fill the heap. */
    private boolean hasRoom() {
        if (members.size() < pace.most()) {
            return true;
        }
        Member out = members.values().stream()
                .filter(m -> !m.standing.serves())
                .min(Comparator.comparingLong(m -> m.since))
                .orElse(null);
        if (out != null) {
            members.remove(out.name());
        }
        return out != null;
    }

    private void ofSelf(Rumor r) {
        Life.Other how = self.is(r.life());
        if (how != Life.Other.SAME) {
            if (how != Life.Other.EARLIER) {
                events.add(() -> hands.self(how, r.life()));
            }
            tell(self());
            return;
        }
        if (r.standing() != Standing.ALIVE && r.incarnation() >= incarnation && !leaving) {
            incarnation = r.incarnation() + 1;
            // Somebody found this router silent: it may be slow itself.
            doubt = Math.min(MOST_DOUBT, doubt + 1);
            tell(self());
        } else if (r.incarnation() > incarnation) {
            incarnation = r.incarnation() + 1;
            tell(self());
        }
    }

    /** Says to all that this process ends. */
    public void leave() {
        leaving = true;
        incarnation++;
        tell(self());
        int told = 0;
        for (Member m : members.values()) {
            if (m.standing.serves() && told++ < pace.helpers() + spread()) {
                send(new Out(PROBE, m.at, ++number, null));
            }
        }
    }

    private void event(Member m) {
        events.add(() -> hands.changed(m));
    }

    private void tell(Rumor r) {
        rumors.remove(r.life().name());
        rumors.put(r.life().name(), new Told(r));
    }

    private void send(Out o) {
        outbox.add(o);
    }

    // ---- Decisions. ----

    /** One decision; false when there is none until the time that was last woken for. */
    public boolean decide(Hands h) {
        hands = h;
        if (!events.isEmpty()) {
            events.poll().run();
            return true;
        }
        if (!outbox.isEmpty()) {
            carry(outbox.poll(), h);
            return true;
        }
        if (probesDue() || suspicionsDue() || favoursDue()) {
            return true;
        }
        if (now >= nextRound && !leaving) {
            round();
            return true;
        }
        long next = next();
        if (next < armed || armed <= now) {
            armed = next;
            h.wake(next);
        }
        return false;
    }

    private long next() {
        long next = leaving ? Long.MAX_VALUE : nextRound;
        for (Probe p : probes.values()) {
            next = Math.min(next, p.helped ? p.endAt : p.helpersAt);
        }
        for (Member m : members.values()) {
            next = m.standing == Standing.ALIVE ? next : Math.min(next, changesAt(m));
        }
        for (Favour f : favours.values()) {
            next = Math.min(next, f.until());
        }
        return Math.max(next, now + 1);
    }

    private long changesAt(Member m) {
        return m.since
                + (m.standing == Standing.SUSPECT
                        ? suspicionUs(m)
                        : (long) (KEPT_SUSPICIONS
                                * UNCONFIRMED
                                * SUSPECT_ROUNDS
                                * spread()
                                * pace.roundUs()));
    }

    /** Shorter the more have found it silent; longer the more this router doubts itself. */
    private long suspicionUs(Member m) {
        double least = SUSPECT_ROUNDS * spread() * pace.roundUs();
        int want = Math.min(CONFIRMED_BY, Math.max(0, serving() - 3));
        double confirmed = want == 0
                ? 1
                : Math.log(Math.max(0, m.accusers.size() - 1) + 1.0) / Math.log(want + 1.0);
        double most = UNCONFIRMED * least;
        return ((long) Math.max(least, most - (most - least) * confirmed)) * (1 + doubt);
    }

    private boolean suspicionsDue() {
        for (Iterator<Member> all = members.values().iterator(); all.hasNext(); ) {
            Member m = all.next();
            if (m.standing == Standing.ALIVE || now < changesAt(m)) {
                continue;
            }
            if (m.standing == Standing.SUSPECT) {
                stands(m, Standing.DEAD);
            } else {
                all.remove();
                rumors.remove(m.name());
            }
            return true;
        }
        return false;
    }

    private void stands(Member m, Standing how) {
        m.standing = how;
        m.since = now;
        if (how == Standing.SUSPECT) {
            m.accusers.clear();
            m.accusers.add(self.name());
        }
        tell(m.rumor(self.name()));
        event(m);
    }

    private boolean probesDue() {
        for (Iterator<Probe> all = probes.values().iterator(); all.hasNext(); ) {
            Probe p = all.next();
            if (!p.helped && now >= p.helpersAt) {
                p.helped = true;
                if (p.target != null) {
                    for (Member helper : some(pace.helpers(), p.target)) {
                        p.helpersOwed++;
                        outbox.add(new Out(PROBE_FOR, helper.at, p.number, p.at));
                    }
                }
                return true;
            }
            if (now >= p.endAt) {
                all.remove();
                failed(p);
                return true;
            }
        }
        return false;
    }

    /**
     * Danger: a router that hears nobody takes all others for dead. Helpers that are silent too
     * tell it so.
     */
    private void failed(Probe p) {
        if (p.target == null) {
            return; // A named router that has never been heard.
        }
        doubt = Math.min(MOST_DOUBT, doubt + (p.helpersOwed > 0 ? 1 : 0));
        Member m = members.get(p.target.name());
        if (m == p.target && m.standing == Standing.ALIVE) {
            stands(m, Standing.SUSPECT);
        } else if (m == p.target
                && m.standing == Standing.SUSPECT
                && m.accusers.size() <= CONFIRMED_BY
                && m.accusers.add(self.name())) {
            tell(m.rumor(self.name()));
        }
    }

    private boolean favoursDue() {
        for (Iterator<Favour> all = favours.values().iterator(); all.hasNext(); ) {
            Favour f = all.next();
            if (now >= f.until()) {
                all.remove();
                send(new Out(NO_ANSWER, f.asker(), f.theirs(), null));
                return true;
            }
        }
        return false;
    }

    private List<Member> some(int most, Member not) {
        List<Member> all = new ArrayList<>();
        for (Member m : members.values()) {
            if (m != not && m.standing == Standing.ALIVE) {
                all.add(m);
            }
        }
        List<Member> some = new ArrayList<>();
        while (some.size() < most && !all.isEmpty()) {
            some.add(all.remove(random.nextInt(all.size())));
        }
        return some;
    }

    /**
     * One member is probed; now and then a named router that is no member, or one held for dead.
     */
    private void round() {
        long round = pace.roundUs() * (1 + doubt);
        nextRound = now + round;
        rounds++;
        String at = null;
        Member target = null;
        if (rounds % SEED_EVERY == 0 || members.isEmpty()) {
            at = stranger();
        }
        while (at == null) {
            if (turn.isEmpty()) {
                fillTurn();
                if (turn.isEmpty()) {
                    at = stranger();
                    if (at == null) {
                        return;
                    }
                    break;
                }
            }
            Member m = members.get(turn.poll());
            if (m != null && m.standing.serves()) {
                target = m;
                at = m.at;
            }
        }
        Probe p = new Probe(target, at, ++number, now + round / 2, nextRound);
        probes.put(p.number, p);
        outbox.add(new Out(PROBE, at, p.number, null));
    }

    /**
     * A named router that is no member as far as is known, or a member that is held for dead: a cut
     * may heal.
     */
    private String stranger() {
        List<String> all = new ArrayList<>();
        for (String s : seeds) {
            if (members.values().stream().noneMatch(m -> m.at.equals(s) && m.standing.serves())) {
                all.add(s);
            }
        }
        for (Member m : members.values()) {
            if (m.standing == Standing.DEAD && !all.contains(m.at)) {
                all.add(m.at);
            }
        }
        return all.isEmpty() ? null : all.get(Math.floorMod(seedTurn++, all.size()));
    }

    private void fillTurn() {
        List<String> all = new ArrayList<>();
        for (Member m : members.values()) {
            if (m.standing.serves()) {
                all.add(m.name());
            }
        }
        for (int i = all.size() - 1; i > 0; i--) {
            int j = random.nextInt(i + 1);
            String x = all.get(i);
            all.set(i, all.get(j));
            all.set(j, x);
        }
        turn.addAll(all);
    }

    private void carry(Out o, Hands h) {
        List<Rumor> with = with(o.at);
        switch (o.kind) {
            case PROBE -> h.probe(o.at, o.number, with);
            case ANSWER -> h.answer(o.at, o.number, with);
            case PROBE_FOR -> h.probeFor(o.at, o.number, o.target, with);
            default -> h.noAnswer(o.at, o.number, with);
        }
    }

    /**
     * What travels along: who we are; what is held of the receiver, where it stands ill; the least
     * told rest.
     */
    private List<Rumor> with(String at) {
        List<Rumor> some = new ArrayList<>();
        some.add(self());
        for (Member m : members.values()) {
            if (m.at.equals(at) && m.standing != Standing.ALIVE) {
                some.add(m.rumor(
                        m.accusers.isEmpty() ? "" : m.accusers.iterator().next()));
            }
        }
        List<Told> all = new ArrayList<>(rumors.values());
        all.sort(Comparator.comparingInt(t -> t.times));
        int most = TOLD * spread();
        for (int i = 0; i < all.size() && some.size() < RUMORS_A_MESSAGE; i++) {
            Told t = all.get(i);
            some.add(t.rumor);
            if (++t.times >= most) {
                rumors.remove(t.rumor.life().name(), t);
            }
        }
        return some;
    }
}

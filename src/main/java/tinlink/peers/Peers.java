package tinlink.peers;

import io.microraft.model.message.RaftMessage;

import tinlink.net.BadMessage;
import tinlink.net.Counters;
import tinlink.net.Loop;
import tinlink.net.Network;
import tinlink.peers.choice.Entry;
import tinlink.peers.choice.Floor;
import tinlink.peers.choice.Life;
import tinlink.peers.choice.Member;
import tinlink.peers.choice.Membership;
import tinlink.peers.choice.Rumor;
import tinlink.peers.choice.Seats;
import tinlink.sealed.Keys;
import tinlink.sealed.Message;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import java.util.function.LongConsumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The routers that this one knows, and what it agrees on with them: the hands of
 * {@link Membership}, {@link Entry} and {@link Agreement}. All state belongs to the loop's thread;
 * the agreement has one of its own, for its disk blocks. Nothing that serves waits for any of it.
 */
public final class Peers implements Membership.Hands, PeerLinks.Hears, Agreement.Hears, Loop.Turn {
    private static final Logger LOG = Logger.getLogger("tinlink.peers");

    /**
     * Which cluster, and who we are in it.
     *
     * @param at where others reach us
     */
    public record Names(String cluster, String router, InetSocketAddress listen, String at) {}

    /**
     * The other routers, as configured.
     *
     * @param known by router where it is reached from here; others are reached where they say
     * @param voters who agrees at the very first start of the cluster
     */
    public record Others(Map<String, String> known, Set<String> voters) {}

    /**
     * The paces of membership, agreement and links, in microseconds.
     *
     * @param secondUs one beat of the agreement; a leader is missed after four of them
     */
    public record Pacing(long roundUs, int helpers, long secondUs, long handshakeUs, long idleUs) {}

    /**
     * @param most routers that are known
     * @param strangers connections that have not proved themselves, at a time
     * @param diskBytes of the log
     * @param lines between two snapshots
     */
    public record Bounds(int most, int strangers, long diskBytes, int lines) {
        /** With as many strangers as where nothing is stated. */
        public Bounds(int most, long diskBytes, int lines) {
            this(most, PeerLinks.STRANGERS, diskBytes, lines);
        }
    }

    private static final int PROBE = 1;
    private static final int ANSWER = 2;
    private static final int PROBE_FOR = 3;
    private static final int NO_ANSWER = 4;

    private static final int LEARN = 1;
    private static final int LEARNED = 2;
    private static final int PROPOSE = 3;
    private static final int PROPOSED = 4;
    private static final int MAY_VOTE = 5;
    private static final int HAS_HEARD = 6;
    private static final int NEWS = 7;
    private static final int SEAT = 8;
    private static final int REPLACE = 9;
    private static final int CONFIRM = 10;
    private static final int CONFIRMED = 11;
    /** Who has not said for so many beats that its disk is there is not counted on. */
    private static final int PRESENT_BEATS = 16;
    /** Proposals of this router that wait for their answer; the oldest give way. */
    private static final int MOST_PROPOSALS = 256;

    private final Loop loop;
    private final Names names;
    private final Others others;
    private final Pacing pacing;
    private final Bounds bounds;
    private final Identity identity;
    private final DiskRecords records;
    private final PeerLinks links;
    private final Membership membership;
    private final SplittableRandom random;
    private final Pace pace;
    private final Shown shown;
    /** As the agreement's thread has it; the loop's copy is with {@link #shown}. */
    private final Agreed voted;

    private final Counters counters;
    private Agreement agreement;
    /** Before it is known whether this disk may vote; and after, for what it holds to. */
    private Entry entry;

    private Entry entered;
    private Kept kept;
    private boolean old;
    /** As whom this disk votes, once it may. */
    private Voter own;
    /** Its seat was given to another: this disk does not vote any more. */
    private boolean unseated;
    /**
     * On the leader: by router, the disk with which it is there, and since when; as many as are
     * known.
     */
    private final Map<String, String> present = new TreeMap<>();

    private final Map<String, Long> presentAt = new TreeMap<>();
    /**
     * By an operator's word: whose seat goes to whom. Emptied as it has gone, or as another leads.
     */
    private final Map<String, String> replaced = new TreeMap<>();

    private boolean changing;
    private String leader = "";
    /** How far others' disks have been heard to be: as many as there have been voters, bounded. */
    private final Map<Voter, Entry.Reached> reached = new LinkedHashMap<>();

    private final Map<Long, BiConsumer<String, String>> proposals = new LinkedHashMap<>();
    private long proposal;
    /** Of the newest question for a confirmation alone. */
    private LongConsumer confirms = index -> {};

    private long confirm;
    private BiConsumer<String, String> news = (from, line) -> {};
    private Runnable played = () -> {};
    private boolean over;

    /**
     * @param book what is agreed on, as the loop has it
     * @param voted the same once more, for the
     *     agreement's thread
     * @throws IOException where the folder can't be used
     */
    public Peers(
            Loop loop,
            Network network,
            Names names,
            Others others,
            Keys keys,
            Pacing pacing,
            Bounds bounds,
            Path folder,
            long seed,
            Agreed book,
            Agreed voted)
            throws IOException {
        this.loop = loop;
        this.names = names;
        this.others = others;
        this.pacing = pacing;
        this.bounds = bounds;
        this.voted = voted;
        identity = new Identity(folder, names.router());
        records = new DiskRecords(folder, bounds.diskBytes());
        kept = records.kept();
        random = new SplittableRandom(seed);
        pace = new Pace(pacing.secondUs());
        shown = new Shown(book, bounds.lines());
        links = new PeerLinks(
                loop,
                network,
                names.cluster(),
                identity.life,
                keys,
                new PeerLinks.Times(pacing.handshakeUs(), pacing.idleUs(), pacing.roundUs() / 2),
                new PeerLinks.Most(bounds.most(), bounds.strangers()),
                this);
        counters = links.counters();
        links.listen(names.listen());
        String at = names.at().isEmpty() ? "127.0.0.1:" + links.address().getPort() : names.at();
        membership = new Membership(
                identity.life,
                at(names.router(), at),
                others.known().entrySet().stream()
                        .map(e -> at(e.getKey(), e.getValue()))
                        .toList(),
                new Membership.Pace(pacing.roundUs(), pacing.helpers(), bounds.most()),
                random.split());
    }

    /**
     * Names go with addresses, since the same router may be reached at different ones from
     * different places.
     */
    private static String at(String router, String address) {
        return router + "@" + address;
    }

    private String address(String at) {
        int cut = at.lastIndexOf('@');
        return others.known()
                .getOrDefault(at.substring(0, Math.max(0, cut)), at.substring(cut + 1));
    }

    private String addressOf(String router) {
        Member m = membership.member(router);
        String known = others.known().get(router);
        return known != null ? known : m == null ? null : address(m.at());
    }

    /** From now on it looks for others and takes its part in agreeing. */
    public void start() {
        boolean first = others.voters().contains(names.router()) && !identity.isLost();
        own = kept.self() != null
                ? kept.self()
                : new Voter(names.router(), first ? 0 : identity.disk);
        if (kept.self() != null || first) {
            // Also with nothing kept: it may be that the disk was lost, and that it has voted
            // before.
            long[] to = kept.reached();
            entry = new Entry(
                    identity.life,
                    new Entry.Reached((int) to[0], to[1]),
                    without(others.voters(), names.router()),
                    identity.fresh);
        }
        beat();
    }

    private static Set<String> without(Set<String> all, String one) {
        Set<String> some = new TreeSet<>(all);
        some.remove(one);
        return some;
    }

    /** Disks of the first start are number 0: those of others are not known then. */
    private void agree() {
        Collection<Voter> first = new ArrayList<>();
        others.voters().forEach(r -> first.add(new Voter(r, 0)));
        agreement = new Agreement(
                own,
                first,
                kept,
                voted,
                this,
                new Agreement.Ground(
                        pace, pace, new Random(random.nextLong()), this::sendRaft, v -> true),
                bounds.lines());
        if (entered != null) {
            agreement.holdsTo(entered.floor());
        }
        agreement.start();
        LOG.log(Level.INFO, "event=votes router={0} life={1} as={2}", new Object[] {
            names.router(), identity.life, own
        });
    }

    // ---- What stands. ----

    public Membership membership() {
        return membership;
    }

    public Life life() {
        return identity.life;
    }

    public Counters counters() {
        return counters;
    }

    /** Messages and bytes by kind. */
    public Traffic traffic() {
        return links.traffic();
    }

    /** Open connections with other routers. */
    public int connections() {
        return links.connections();
    }

    /** Who leads, as far as is known; empty where nobody is known to. */
    public String leader() {
        return leader;
    }

    public boolean leads() {
        return agreement != null && agreement.leads();
    }

    /** Its disk is an old copy, or another process is this start too: it never votes by it. */
    public boolean isOld() {
        return old;
    }

    public InetSocketAddress address() throws IOException {
        return links.address();
    }

    /** Runs on the loop whenever something agreed has been played. */
    public void whenPlayed(Runnable what) {
        played = what;
    }

    /** Hears what routers tell the leader, by name; on the leader alone. */
    public void whenTold(BiConsumer<String, String> who) {
        news = who;
    }

    public void keys(Keys now) {
        links.keys(now);
    }

    // ---- Its part in a turn. ----

    @Override
    public void begins(long nowUs) {
        membership.clock(nowUs);
    }

    @Override
    public void decides() {
        while (!over && membership.decide(this)) {
            // Each has been carried out.
        }
    }

    private void beat() {
        if (over) {
            return;
        }
        if (entry != null) {
            enter();
        } else if (entered != null && agreement != null) {
            // Danger: whoever was far ahead as it was asked may be gone for good; what binds this
            // voter is
            // what
            // those know who are there now.
            if (leader.isEmpty() && !agreement.isAsFar()) {
                entered.asks()
                        .forEach(r -> word(r, MAY_VOTE, new Message.Out().text(own.toString())));
            }
            agreement.holdsTo(entered.floor());
        }
        if (agreement != null) {
            leader = agreement.leader() == null ? "" : agreement.leader().router();
        }
        if (agreement != null && agreement.isOver()) {
            LOG.log(Level.WARNING, "event=seat_given_away router={0} as={1}", new Object[] {
                names.router(), own
            });
            agreement = null;
            unseated = true;
        }
        if (agreement == null) {
            learn();
        } else {
            agreement.tend();
        }
        seat();
        loop.at(loop.now() + pacing.secondUs() / 2, this::beat);
    }

    /**
     * Says with which disk it is there; on the leader, gives seats whose disks are lost to those.
     */
    private void seat() {
        if (entry == null && !old && !unseated && !leader.isEmpty()) {
            String disk = Long.toHexString(own.disk());
            if (leads()) {
                present(names.router(), disk);
            } else {
                word(leader, SEAT, new Message.Out().text(disk));
            }
        }
        if (!leads()) {
            present.clear();
            presentAt.clear();
            replaced.clear();
            changing = false;
            return;
        }
        presentAt.values().removeIf(at -> loop.now() - at > PRESENT_BEATS * pacing.secondUs());
        present.keySet().retainAll(presentAt.keySet());
        Map<String, String> seated = new TreeMap<>();
        agreement
                .group()
                .getMembers()
                .forEach(m ->
                        seated.put(((Voter) m).router(), Long.toHexString(((Voter) m).disk())));
        Map<String, String> may = new TreeMap<>(present);
        may.keySet()
                .removeIf(r -> !seated.containsKey(r)
                        && !others.voters().contains(r)
                        && !replaced.containsValue(r));
        replaced.keySet()
                .removeIf(r -> !seated.containsKey(r)
                        && seated.size() >= others.voters().size());
        Seats.Change next = changing
                ? null
                : Seats.next(seated, may, replaced, others.voters().size());
        if (next != null
                && !Voter.of(next.goes() == null ? next.comes() : next.goes()).equals(own)) {
            changing = true;
            Voter who = Voter.of(next.goes() == null ? next.comes() : next.goes());
            LOG.log(Level.WARNING, "event=seat {0}={1}", new Object[] {
                next.goes() == null ? "comes" : "goes", who
            });
            agreement.change(
                    who,
                    next.goes() == null,
                    (said, e) -> loop.ready(() -> {
                        changing = false;
                        counters.add(e == null ? "peers_seats_changed" : "peers_seats_not_changed");
                    }));
        }
    }

    private void present(String router, String disk) {
        if (present.size() < bounds.most() || present.containsKey(router)) {
            present.put(router, disk);
            presentAt.put(router, loop.now());
        }
    }

    /** An operator gives a router's seat to another; what came of it is seen in {@link #seated}. */
    public void replace(String from, String to) {
        if (leads()) {
            if (replaced.size() < bounds.most()) {
                replaced.put(from, to);
            }
        } else if (!leader.isEmpty()) {
            word(leader, REPLACE, new Message.Out().text(from).text(to));
        }
    }

    /** Routers that vote, as the group stands; those of the file where this one does not vote. */
    public Set<String> seated() {
        if (agreement == null) {
            return others.voters();
        }
        Set<String> all = new TreeSet<>();
        agreement.group().getMembers().forEach(m -> all.add(((Voter) m).router()));
        return all;
    }

    private void enter() {
        for (String r : entry.asks()) {
            word(r, MAY_VOTE, new Message.Out().text(own.toString()));
        }
        switch (entry.at(loop.now(), 8 * pacing.secondUs())) {
            case VOTE -> {
                entered = entry;
                entry = null;
                agree();
            }
            case OLD, TWIN -> {
                if (entry.isLost()) {
                    standsForLost();
                } else {
                    LOG.log(
                            Level.SEVERE,
                            "event=does_not_vote router={0} why=\"its folder is an old copy, or another "
                                    + "process runs with it: start it with an empty one\"",
                            names.router());
                }
                old = true;
                entry = null;
            }
            default -> {}
        }
    }

    /** Danger: an empty folder may be the first start, or a disk that was lost and had voted. */
    private void standsForLost() {
        try {
            identity.standsFor(entry.laterStarts());
            LOG.log(
                    Level.SEVERE,
                    "event=does_not_vote router={0} why=\"its folder is empty, and the "
                            + "router was known before: start it once more, and it gets its seat back\"",
                    names.router());
        } catch (IOException e) {
            LOG.log(Level.SEVERE, "event=folder_not_written", e);
        }
    }

    private void learn() {
        List<String> all = new ArrayList<>(without(others.voters(), names.router()));
        if (!all.isEmpty()) {
            word(
                    all.get(random.nextInt(all.size())),
                    LEARN,
                    new Message.Out().eight(shown.index()));
        }
    }

    /**
     * Proposes a line to whoever leads; what is told is what is said to it, or why that is not
     * known.
     */
    public void propose(String line, BiConsumer<String, String> told) {
        if (leads()) {
            agreement.propose(
                    line,
                    (said, e) ->
                            loop.ready(() -> told.accept(said, e == null ? null : e.toString())));
            return;
        }
        if (leader.isEmpty()) {
            told.accept(null, "nobody is known to lead");
            return;
        }
        long n = ++proposal;
        proposals.put(n, told);
        if (proposals.size() > MOST_PROPOSALS) {
            BiConsumer<String, String> first =
                    proposals.remove(proposals.keySet().iterator().next());
            first.accept(null, "it was not answered");
        }
        word(leader, PROPOSE, new Message.Out().eight(n).longText(line));
    }

    /** The place in the order up to which this router has heard. */
    public long heardUpTo() {
        return shown.index();
    }

    /**
     * Asks whoever leads for a majority's word on how much there is by now.
     *
     * @param told the place that everybody had to have heard of to know all; it may never be told
     */
    public void confirm(LongConsumer told) {
        if (leads()) {
            agreement.settled((index, e) -> loop.ready(() -> {
                if (e == null) {
                    told.accept(index);
                }
            }));
        } else if (!leader.isEmpty()) {
            confirms = told;
            word(leader, CONFIRM, new Message.Out().eight(++confirm));
        }
    }

    /** Tells whoever leads; it may get lost. */
    public void tellLeader(String line) {
        if (leads()) {
            news.accept(names.router(), line);
        } else if (!leader.isEmpty()) {
            word(leader, NEWS, new Message.Out().longText(line));
        }
    }

    /** Says to all that this process ends. */
    public void leave() {
        membership.leave();
    }

    /** Ends it all; the folder is free once this returns. */
    public void close() throws IOException {
        over = true;
        links.close();
        if (agreement != null) {
            agreement.end();
        }
        pace.end();
        records.close();
        identity.close();
    }

    // ---- Words to others. ----

    private void word(String router, int kind, Message.Out body) {
        String at = addressOf(router);
        if (at != null && !over) {
            byte[] b = body.made();
            links.send(
                    at,
                    PeerWire.WORD,
                    new Message.Out().byt(kind).text(names.router()).bytes(b).made());
        }
    }

    private void member(String at, int kind, long number, String target, List<Rumor> rumors) {
        Message.Out o = new Message.Out().byt(kind).eight(number).text(target);
        PeerWire.rumors(o, rumors);
        links.send(address(at), PeerWire.MEMBER, o.made());
    }

    @Override
    public void probe(String at, long number, List<Rumor> rumors) {
        member(at, PROBE, number, "", rumors);
    }

    @Override
    public void answer(String at, long number, List<Rumor> rumors) {
        member(at, ANSWER, number, "", rumors);
    }

    @Override
    public void probeFor(String at, long number, String target, List<Rumor> rumors) {
        member(at, PROBE_FOR, number, target, rumors);
    }

    @Override
    public void noAnswer(String at, long number, List<Rumor> rumors) {
        member(at, NO_ANSWER, number, "", rumors);
    }

    @Override
    public void changed(Member m) {
        LOG.log(Level.INFO, "event=peer router={0} life={1} standing={2}{3}", new Object[] {
            m.name(), m.life(), m.standing(), m.twin() == null ? "" : " twin=" + m.twin()
        });
        counters.add("peers_" + m.standing().name().toLowerCase(java.util.Locale.ROOT));
    }

    @Override
    public void self(Life.Other how, Life other) {
        counters.add("peers_self_" + how.name().toLowerCase(java.util.Locale.ROOT));
        LOG.log(
                Level.SEVERE,
                "event=another_of_this_router how={0} other={1} own={2}",
                new Object[] {how, other, identity.life});
        old = true;
    }

    @Override
    public void wake(long atUs) {
        loop.at(atUs, () -> {}); // The turn in which it is due pulls decisions.
    }

    // ---- Words of others. ----

    @Override
    public void heard(Life from, byte type, ByteBuffer in) throws BadMessage {
        switch (type) {
            case PeerWire.MEMBER -> ofMembers(in);
            case PeerWire.RAFT -> ofRaft(in);
            case PeerWire.WORD -> word(from, in);
            default -> throw Message.bad("a word of type " + type);
        }
    }

    private void ofMembers(ByteBuffer in) throws BadMessage {
        int kind = in.get();
        long number = in.getLong();
        String target = Message.text(in);
        List<Rumor> rumors = PeerWire.rumors(in);
        if (rumors.isEmpty()) {
            throw Message.bad("a word that does not say whose it is");
        }
        String from = rumors.get(0).at();
        membership.heard(rumors);
        switch (kind) {
            case PROBE -> membership.probed(from, number);
            case ANSWER -> membership.answered(number);
            case PROBE_FOR -> membership.probeAsked(from, number, target);
            case NO_ANSWER -> membership.helperAnswered(number);
            default -> throw Message.bad("a word of kind " + kind);
        }
    }

    /** On the agreement's thread. */
    private void sendRaft(Voter to, RaftMessage m) {
        byte[] b = RaftCodec.bytes(m);
        loop.ready(() -> {
            String at = addressOf(to.router());
            if (at != null && !over) {
                links.send(
                        at,
                        PeerWire.RAFT,
                        new Message.Out().text(to.toString()).bytes(b).made());
            }
        });
    }

    private void ofRaft(ByteBuffer in) throws BadMessage {
        Voter to = RaftCodec.voter(in);
        RaftMessage m = RaftCodec.message(in);
        Entry.Reached shows = Agreement.shows(m);
        if (shows != null) {
            reached.merge((Voter) m.getSender(), shows, Entry.Reached::with);
        }
        if (reached.size() > bounds.most()) {
            reached.remove(reached.keySet().iterator().next());
        }
        if (agreement == null
                && entry == null
                && !old
                && !unseated
                && own != null
                && own.equals(to)
                && kept.self() == null) {
            agree(); // Its disk has been given a seat: whoever leads speaks to it.
        }
        if (agreement != null && agreement.self().equals(to)) {
            agreement.heard(m);
        }
    }

    private void word(Life from, ByteBuffer in) throws BadMessage {
        int kind = in.get();
        String router = Message.text(in);
        if (!router.equals(from.name())) {
            throw Message.bad("it speaks for another router");
        }
        switch (kind) {
            case LEARN -> {
                long after = in.getLong();
                Shown.Piece p = shown.after(after);
                Message.Out o = new Message.Out()
                        .text(leader)
                        .eight(after)
                        .byt(p == null ? 0 : p.whole() ? 2 : 1);
                if (p != null) {
                    o.eight(p.index()).longText(String.join("\n", p.lines()));
                }
                word(router, LEARNED, o);
            }
            case LEARNED -> {
                String leads = Message.text(in);
                long after = in.getLong();
                int what = in.get();
                leader = leads.isEmpty() ? leader : leads;
                if (what != 0 && agreement == null) {
                    long index = in.getLong();
                    String lines = Message.longText(in, RaftCodec.MOST_TEXT);
                    if (shown.learned(
                            after,
                            new Shown.Piece(index, what == 2, lines.lines().toList()))) {
                        played.run();
                    }
                }
            }
            case PROPOSE -> {
                long n = in.getLong();
                String line = Message.longText(in, RaftCodec.MOST_TEXT);
                if (!leads()) {
                    word(
                            router,
                            PROPOSED,
                            new Message.Out().eight(n).byt(0).longText("it does not lead"));
                    return;
                }
                agreement.propose(
                        line,
                        (said, e) -> loop.ready(() -> word(
                                router,
                                PROPOSED,
                                new Message.Out()
                                        .eight(n)
                                        .byt(e == null ? 1 : 0)
                                        .longText(
                                                e == null ? String.valueOf(said) : e.toString()))));
            }
            case PROPOSED -> {
                BiConsumer<String, String> told = proposals.remove(in.getLong());
                boolean is = in.get() == 1;
                String text = Message.longText(in, RaftCodec.MOST_TEXT);
                if (told != null) {
                    told.accept(is ? text : null, is ? null : text);
                }
            }
            case MAY_VOTE -> {
                Member m = membership.member(router);
                Entry.Reached r = reached.get(RaftCodec.voter(in));
                Message.Out o = new Message.Out().byt(m == null ? 0 : 1);
                if (m != null) {
                    // Whom we know besides the one who asks, if there is another.
                    PeerWire.life(
                            o, m.twin() != null && m.life().equals(from) ? m.twin() : m.life());
                }
                o.byt(r == null ? 0 : 1);
                if (r != null) {
                    o.four(r.term()).eight(r.confirmed());
                }
                Floor end = kept.end();
                o.four(end.term()).four(end.lastTerm()).eight(end.lastIndex());
                word(router, HAS_HEARD, o);
            }
            case HAS_HEARD -> {
                Life known = in.get() == 0 ? null : PeerWire.life(in);
                Entry.Reached r =
                        in.get() == 0 ? null : new Entry.Reached(in.getInt(), in.getLong());
                Floor stands = new Floor(in.getInt(), in.getInt(), in.getLong());
                Entry e = entry != null ? entry : entered;
                if (e != null) {
                    e.answered(router, known, r, stands, loop.now());
                }
            }
            case CONFIRM -> {
                long n = in.getLong();
                if (leads()) {
                    agreement.settled((index, e) -> loop.ready(() -> {
                        if (e == null) {
                            word(router, CONFIRMED, new Message.Out().eight(n).eight(index));
                        }
                    }));
                }
            }
            case CONFIRMED -> {
                long n = in.getLong();
                long index = in.getLong();
                if (n == confirm) {
                    confirms.accept(index);
                }
            }
            case SEAT -> {
                String disk = Message.text(in);
                if (leads()) {
                    present(router, disk);
                }
            }
            case REPLACE -> {
                String goes = Message.text(in);
                String comes = Message.text(in);
                if (leads()) {
                    replace(goes, comes);
                }
            }
            case NEWS -> {
                String line = Message.longText(in, RaftCodec.MOST_TEXT);
                if (leads()) {
                    news.accept(router, line);
                }
            }
            default -> throw Message.bad("a word of kind " + kind);
        }
    }

    // ---- What was agreed; on the agreement's thread. ----

    @Override
    public void played(long index, String line) {
        loop.ready(() -> {
            if (shown.played(index, line) && !line.isEmpty()) {
                played.run();
            }
        });
    }

    @Override
    public void from(long index, List<String> lines) {
        loop.ready(() -> {
            if (shown.from(index, lines)) {
                played.run();
            }
        });
    }
}

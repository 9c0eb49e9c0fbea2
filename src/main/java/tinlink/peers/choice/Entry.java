package tinlink.peers.choice;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Whether a disk that was found at the start may vote, and what it holds to if it does. Danger: a
 * folder restored from an old copy has forgotten votes that it gave and lines that it confirmed;
 * voting by it, the same term gets two leaders. So the others are asked first how far they have
 * heard this disk to be, which life of its router they know, and where their own disks are.
 *
 * <p>It may vote once no other voter that answers knows of anything later and more than half of the
 * others have answered; from then on it holds to their {@link Floor}. With half of the others away
 * for long it votes without one, as soon as a majority of the group, this one counted, has
 * answered: then what is not found out is an old copy whose missing votes and confirmations only
 * those who are away know of.
 */
public final class Entry {
    /** What is known of this disk so far. */
    public enum May {
        NOT_KNOWN,
        VOTE,
        OLD,
        TWIN
    }

    /**
     * How far a disk has been heard to be.
     *
     * @param term the highest in which it said something
     * @param confirmed the end of the log that
     *     it confirmed in that term
     */
    public record Reached(int term, long confirmed) {
        /** Whether a disk that is there can have said this. */
        boolean within(Reached disk) {
            return term < disk.term || (term == disk.term && confirmed <= disk.confirmed);
        }

        /** Both heard. */
        public Reached with(Reached o) {
            return o.term > term || (o.term == term && o.confirmed > confirmed) ? o : this;
        }
    }

    private final Life self;
    private final Reached disk;
    private final int group;
    private final Set<String> others;
    private final boolean empty;
    /** By router, where its disk was as it answered last. */
    private final Map<String, Floor> answered = new HashMap<>();

    private May may;
    private long since = Long.MIN_VALUE;

    /** What is heard of this router's later life, where its disk is found to be lost; 0 before. */
    private long laterStarts;

    public Entry(Life self, Reached disk, Set<String> others) {
        this(self, disk, others, false);
    }

    /**
     * @param others names of the routers of the other voters
     * @param empty nothing is on the disk: it may be the first start, or the disk before it was
     *     lost
     */
    public Entry(Life self, Reached disk, Set<String> others, boolean empty) {
        this.empty = empty;
        this.self = self;
        this.disk = disk;
        this.others = Set.copyOf(others);
        group = others.size() + 1;
        may = others.isEmpty() ? May.VOTE : May.NOT_KNOWN;
    }

    public May may() {
        return may;
    }

    /**
     * The disk was empty and its router has been known before: this one may stand for the one lost.
     */
    public boolean isLost() {
        return may == May.OLD && empty;
    }

    /** So often its router has been started as far as others know, where {@link #isLost}. */
    public long laterStarts() {
        return laterStarts;
    }

    /**
     * What another voter has said.
     *
     * @param known the newest life of this router that it has heard of; null for none
     * @param heard how far it has heard this disk to be; null for nothing
     * @param stands where its own disk is
     */
    public void answered(String router, Life known, Reached heard, Floor stands, long now) {
        if (may == May.VOTE && answered.containsKey(router)) {
            answered.put(router, stands); // It has voted since; what binds it may have become less.
        }
        if (may != May.NOT_KNOWN || !others.contains(router)) {
            return;
        }
        Life.Other other = known == null ? Life.Other.EARLIER : self.is(known);
        if (other == Life.Other.TWIN && !empty) {
            may = May.TWIN;
        } else if (other == Life.Other.LATER
                || (empty && known != null && other != Life.Other.SAME)
                || (heard != null && !heard.within(disk))) {
            may = May.OLD;
            laterStarts = known == null ? 1 : known.starts();
        } else {
            answered.put(router, stands);
            since = answered.size() == group / 2 ? now : since;
        }
    }

    /** More than half of the others: they can't all lack what this disk had a part in. */
    private int need() {
        return Math.min(others.size(), others.size() / 2 + 1);
    }

    /**
     * Those that have not answered are waited for a while past the majority: each may be the one
     * that knows.
     *
     * @param graceUs how long; five times as long where it has to vote without a floor
     */
    public May at(long now, long graceUs) {
        boolean floor = answered.size() >= need();
        if (may == May.NOT_KNOWN
                && (answered.size() == others.size()
                        || (floor && now >= since + graceUs)
                        || (answered.size() >= group / 2 && now >= since + 5 * graceUs))) {
            may = May.VOTE;
        }
        return may;
    }

    /** What this voter holds to, by the newest answers. */
    public Floor floor() {
        return Floor.of(answered.values(), need());
    }

    /**
     * Whom to ask, again and again until it is known; and after that for as long as nobody leads.
     */
    public Set<String> asks() {
        Set<String> some = new java.util.TreeSet<>(others);
        if (may == May.NOT_KNOWN) {
            some.removeAll(answered.keySet());
        }
        return some;
    }
}

package tinlink.peers.choice;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Whether a disk that was found at the start may vote. Danger: a folder restored from an old copy has
 * forgotten votes that it gave and lines that it confirmed; voting by it, the same term gets two leaders. So
 * the others are asked first how far they have heard this disk to be, and which life of its router they know.
 *
 * <p>It may vote once all other voters that answer agree that they have heard of nothing later, and a
 * majority of the group, this one counted, has answered. What is not found out: an old copy whose missing
 * votes and confirmations were heard only by voters that are away, or have themselves lost their memory of
 * them by a restart.
 */
public final class Entry {
    /** What is known of this disk so far. */
    public enum May { NOT_KNOWN, VOTE, OLD, TWIN }

    /**
     * How far a disk has been heard to be.
     *
     * @param term the highest in which it said something; @param confirmed the end of the log that it
     * confirmed in that term
     */
    public record Reached(int term, long confirmed) {
        /** Whether a disk that is there can have said this. */
        boolean within(Reached disk) {
            return term < disk.term || term == disk.term && confirmed <= disk.confirmed;
        }

        /** Both heard. */
        public Reached with(Reached o) {
            return o.term > term || o.term == term && o.confirmed > confirmed ? o : this;
        }
    }

    private final Life self;
    private final Reached disk;
    private final int group;
    private final Set<String> others;
    private final Map<String, Boolean> answered = new HashMap<>();
    private May may;
    private long since = Long.MIN_VALUE;

    /** @param others names of the routers of the other voters */
    public Entry(Life self, Reached disk, Set<String> others) {
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
     * What another voter has said.
     *
     * @param known the newest life of this router that it has heard of; null for none
     * @param heard how far it has heard this disk to be; null for nothing
     */
    public void answered(String router, Life known, Reached heard, long now) {
        if (may != May.NOT_KNOWN || !others.contains(router)) {
            return;
        }
        Life.Other other = known == null ? Life.Other.EARLIER : self.is(known);
        if (other == Life.Other.TWIN) {
            may = May.TWIN;
        } else if (other == Life.Other.LATER || heard != null && !heard.within(disk)) {
            may = May.OLD;
        } else {
            answered.put(router, true);
            since = answered.size() == group / 2 ? now : since;
        }
    }

    /**
     * Those that have not answered are waited for a while past the majority: each may be the one that knows.
     *
     * @param graceUs how long
     */
    public May at(long now, long graceUs) {
        if (may == May.NOT_KNOWN && (answered.size() == others.size()
                || answered.size() >= group / 2 && now >= since + graceUs)) {
            may = May.VOTE;
        }
        return may;
    }

    /** Whom to ask, again and again until it is known. */
    public Set<String> asks() {
        Set<String> some = new java.util.TreeSet<>(others);
        some.removeAll(answered.keySet());
        return some;
    }
}

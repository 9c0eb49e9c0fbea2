package tinlink.policy.choice;

import tinlink.policy.choice.Outcome.Reason;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The replicated state of changes of policy: commands in one agreed order, applied alike by all routers. A
 * change is open, and then in force or withdrawn, once and for ever. Nothing here asks a clock; times are
 * those that participants and coordinators have written into their commands.
 *
 * <p>What makes it safe. A participant that votes yes binds itself: past the time in its vote it takes no
 * lookup by the old policy unless it knows how the change ended. A change is committed for a time that no
 * vote reaches beyond. Of a router that is enrolled and has not voted yes nothing is known; it has to be
 * waited for, or its lease has to have run out, which it got before the proposal was agreed on (one that it
 * got later tells it of the proposal).
 */
public final class Changes {
    private static final int MOST_TEXT = 1 << 16;
    private final int kept;
    private final int most;
    /** Routers that may take lookups, and the life of each; those that leave go. */
    private final Map<String, Enrolled> enrolled = new TreeMap<>();

    /** @param starts how often the router had been started, this life counted: a later one is told by it */
    public record Enrolled(String life, long starts) {}

    /** The newest, by id; ended ones leave, oldest first, past the number that is kept. */
    private final Map<String, Change> changes = new LinkedHashMap<>();

    private Version inForce;
    /** The one before it, which holds until the newest one's time has come; null before the first change. */
    private Version before;

    private Change open;

    /**
     * @param kept ended changes that are remembered
     * @param most routers
     */
    public Changes(int kept, int most, Absent first) {
        this.kept = kept;
        this.most = most;
        inForce = new Version(0, "", "", "", "", "each router's own file", first, 0);
    }

    // ---- What stands. ----

    public Version inForce() {
        return inForce;
    }

    /** The one before {@link #inForce}; null where there has been none. */
    public Version before() {
        return before;
    }

    /** The one that is not settled; null where there is none. */
    public Change open() {
        return open;
    }

    /** Null where no change has that id, or not any more. */
    public Change change(String id) {
        return changes.get(id);
    }

    public Collection<Change> history() {
        return changes.values();
    }

    public boolean isEnrolled(String router, String life) {
        Enrolled e = enrolled.get(router);
        return e != null && e.life().equals(life);
    }

    public Map<String, Enrolled> enrolled() {
        return enrolled;
    }

    /** Routers that have not said yes, and are not bound beyond any doubt. */
    public List<String> owing() {
        List<String> all = new ArrayList<>();
        if (open != null) {
            enrolled.forEach((router, e) -> {
                if (open.boundUntil(router, e.life()) == 0) {
                    all.add(router);
                }
            });
        }
        return all;
    }

    /** Who has said no to the open change; null where nobody has. */
    public String saidNo() {
        return open == null
                ? null
                : enrolled.keySet().stream()
                        .filter(open::hasSaidNo)
                        .findFirst()
                        .map(r -> r + ": " + open.votes.get(r).why())
                        .orElse(null);
    }

    /**
     * Whether the policy in force has come to be so by a leader's clock. Danger: settled before that, the
     * next
     * one would leave a router with two to choose from and the one that holds not among them.
     */
    boolean hasCome() {
        return open == null || open.seenUs >= inForce.atUs() + inForce.absent().errorUs();
    }

    /** The earliest time at which the open change may take hold; Long.MAX_VALUE while it may not yet. */
    public long mayHoldFrom() {
        if (open == null || saidNo() != null || !hasCome()) {
            return Long.MAX_VALUE;
        }
        long at = 0;
        for (Map.Entry<String, Enrolled> e : enrolled.entrySet()) {
            at = Math.max(at, open.boundUntil(e.getKey(), e.getValue().life()));
        }
        if (!owing().isEmpty()) {
            // The lease that counts is the one under the policy in force: that is what the absent
            // go by.
            Absent now = inForce.absent();
            if (now.rule() != Absent.Rule.FENCE || open.seenUs == 0) {
                return Long.MAX_VALUE;
            }
            at = Math.max(at, open.seenUs + now.leaseUs());
        }
        return at + inForce.absent().errorUs();
    }

    // ---- Commands, in the order agreed on. ----

    /** Applies one command; what is not understood changes nothing. @return what came of it, for who asked */
    public Outcome apply(PolicyCommand command) {
        if (command instanceof PolicyCommand.Propose c) {
            return propose(c);
        } else if (command instanceof PolicyCommand.Seen c) {
            return seen(c);
        } else if (command instanceof PolicyCommand.VoteYes c) {
            return voteYes(c);
        } else if (command instanceof PolicyCommand.VoteNo c) {
            return voteNo(c);
        } else if (command instanceof PolicyCommand.Commit c) {
            return commit(c);
        } else if (command instanceof PolicyCommand.Abort c) {
            return abort(c);
        } else if (command instanceof PolicyCommand.Enrol c) {
            return enrol(c);
        } else if (command instanceof PolicyCommand.Leave c) {
            return leave(c);
        } else if (command instanceof PolicyCommand.NotUnderstood c) {
            return Outcome.refused(Reason.NOT_UNDERSTOOD, "not understood: " + c.what());
        }
        throw new IllegalStateException("a command of another kind: " + command);
    }

    /** One with an id that is known is that one, however often it is proposed. */
    private Outcome propose(PolicyCommand.Propose p) {
        Change known = changes.get(p.change());
        if (known != null) {
            return known.digest.equals(p.digest()) && known.against == p.againstEpoch()
                    ? Outcome.accepted()
                    : Outcome.refused(Reason.ID_TAKEN, "another change has that id");
        }
        if (p.change().isEmpty() || p.text().length() > MOST_TEXT) {
            return Outcome.refused(
                    Reason.INVALID_PROPOSAL,
                    "a change needs an id and a text of at most " + MOST_TEXT + " characters");
        }
        if (open != null) {
            return Outcome.refused(
                    Reason.ANOTHER_CHANGE_OPEN, "another change is open: " + open.id);
        }
        if (p.againstEpoch() != inForce.epoch()) {
            return Outcome.refused(
                    Reason.STALE_EPOCH,
                    "it is written against epoch " + p.againstEpoch() + ", and " + inForce.epoch()
                            + " is in force");
        }
        open = new Change(
                p.change(),
                p.againstEpoch(),
                p.digest(),
                p.text(),
                p.author(),
                p.reason(),
                p.absent());
        changes.put(open.id, open);
        forget();
        return Outcome.accepted();
    }

    private Change openOne(String id) {
        return open != null && open.id.equals(id) ? open : null;
    }

    private static Outcome settled() {
        return Outcome.refused(Reason.CHANGE_SETTLED, "that change is settled");
    }

    private static Outcome notEnrolled() {
        return Outcome.refused(Reason.NOT_ENROLLED, "that router is not enrolled");
    }

    private Outcome seen(PolicyCommand.Seen s) {
        Change c = openOne(s.change());
        if (c == null) {
            return settled();
        }
        // The latest is kept: leases are older than all of them.
        c.seenUs = Math.max(c.seenUs, s.clockUs());
        return Outcome.accepted();
    }

    private Outcome voteYes(PolicyCommand.VoteYes v) {
        Change c = openOne(v.change());
        if (c == null) {
            return settled();
        }
        if (!isEnrolled(v.router(), v.incarnation())) {
            return notEnrolled();
        }
        // Danger: a vote that comes late would take back what a later one has promised.
        long until = Math.max(v.untilUs(), c.boundUntil(v.router(), v.incarnation()));
        c.votes.put(v.router(), new Change.Vote(v.incarnation(), true, until, ""));
        return Outcome.accepted();
    }

    private Outcome voteNo(PolicyCommand.VoteNo v) {
        Change c = openOne(v.change());
        if (c == null) {
            return settled();
        }
        if (!isEnrolled(v.router(), v.incarnation())) {
            return notEnrolled();
        }
        c.votes.put(v.router(), new Change.Vote(v.incarnation(), false, 0, v.reason()));
        return Outcome.accepted();
    }

    /** It takes hold then, if by what is agreed on it may. */
    private Outcome commit(PolicyCommand.Commit command) {
        Change c = openOne(command.change());
        if (c == null) {
            return settled();
        }
        if (command.atUs() < mayHoldFrom()) {
            return Outcome.refused(Reason.COMMIT_TOO_EARLY, "it may not take hold then");
        }
        c.state = Change.State.IN_FORCE;
        c.epoch = inForce.epoch() + 1;
        c.atUs = command.atUs();
        c.votes.clear();
        before = inForce;
        inForce = new Version(c.epoch, c.digest, c.text, c.id, c.author, c.why, c.absent, c.atUs);
        open = null;
        forget();
        return Outcome.accepted();
    }

    private Outcome abort(PolicyCommand.Abort command) {
        Change c = openOne(command.change());
        if (c == null) {
            return abortSettled(command.change());
        }
        c.state = Change.State.WITHDRAWN;
        c.said = command.reason();
        c.votes.clear();
        open = null;
        forget();
        return Outcome.accepted();
    }

    private Outcome abortSettled(String id) {
        Change known = changes.get(id);
        if (known == null) {
            return Outcome.refused(Reason.UNKNOWN_CHANGE, "no change has that id");
        }
        return known.state == Change.State.WITHDRAWN
                ? Outcome.accepted()
                : Outcome.refused(
                        Reason.CHANGE_IN_FORCE, "it is in force: undo it by another change");
    }

    /**
     * Danger: a command of an earlier process that comes late would put that one in the place of the one that
     * runs, and what it had promised would be taken for a promise of this one's.
     */
    private Outcome enrol(PolicyCommand.Enrol e) {
        Enrolled known = enrolled.get(e.router());
        if (known != null && known.starts() > e.starts()) {
            return Outcome.refused(
                    Reason.LATER_INCARNATION_ENROLLED, "a later life of that router is enrolled");
        }
        if (enrolled.size() >= most && known == null) {
            return Outcome.refused(Reason.TOO_MANY_ROUTERS, "too many routers");
        }
        enrolled.put(e.router(), new Enrolled(e.incarnation(), e.starts()));
        return Outcome.accepted();
    }

    private Outcome leave(PolicyCommand.Leave l) {
        enrolled.computeIfPresent(
                l.router(), (r, e) -> e.life().equals(l.incarnation()) ? null : e);
        return Outcome.accepted();
    }

    private void forget() {
        for (Iterator<Change> all = changes.values().iterator();
                all.hasNext() && changes.size() > kept; ) {
            if (all.next() != open) {
                all.remove();
            }
        }
    }

    // ---- Written, and read again. ----

    /** All of it, words a line; {@link #of} makes the same from them. */
    public List<List<String>> lines() {
        return ChangesSnapshot.write(this);
    }

    /**
     * Reads changes from their lines.
     *
     * @throws IllegalArgumentException where these are no lines of changes
     */
    public static Changes of(int kept, int most, Absent first, List<List<String>> lines) {
        Changes all = new Changes(kept, most, first);
        ChangesSnapshot.read(all, lines);
        return all;
    }

    void restoreInForce(Version version) {
        inForce = version;
    }

    void restoreBefore(Version version) {
        before = version;
    }

    void restoreEnrolled(String router, Enrolled as) {
        enrolled.put(router, as);
    }

    void restore(Change change) {
        changes.put(change.id, change);
        open = change.state == Change.State.OPEN ? change : open;
    }
}

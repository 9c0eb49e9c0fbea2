package tinlink.policy;

import tinlink.net.Loop;
import tinlink.cluster.ClusterNode;
import tinlink.policy.choice.Absent;
import tinlink.policy.choice.Change;
import tinlink.policy.choice.Changes;
import tinlink.policy.choice.Coordinator;
import tinlink.policy.choice.Participant;
import tinlink.policy.choice.PolicyCommand;
import tinlink.policy.choice.Version;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Changes of policy in a router that serves: carries out what {@link Participant} and {@link Coordinator}
 * decide. All of it belongs to the loop's thread.
 */
public final class Policy implements Loop.Turn {
    private static final Logger LOG = Logger.getLogger("tinlink.policy");
    private final Loop loop;
    private final ClusterNode clusterNode;
    private final PolicyBook book;
    private final Participant participant;
    private final Coordinator coordinator;
    private final LongSupplier shared;
    private final long againUs;
    private String why = "";
    private long epoch = -1;
    /** A confirmation that was given and counts once so much has been heard of; below 0 none. */
    private long confirmed = -1;

    private long confirmedAsked;
    private boolean ends;

    /**
     * @param check of a text by this router's own start checks: why it can't be used, or empty
     * @param shared the clock that all machines read, microseconds
     */
    public Policy(
            Loop loop,
            ClusterNode clusterNode,
            PolicyBook book,
            Function<Change, String> check,
            LongSupplier shared,
            long againUs) {
        this.loop = loop;
        this.clusterNode = clusterNode;
        this.book = book;
        this.shared = shared;
        this.againUs = againUs;
        participant = new Participant(
                clusterNode.incarnation().router(),
                clusterNode.incarnation().toString(),
                clusterNode.incarnation().startCount(),
                againUs,
                check);
        coordinator = new Coordinator(againUs);
    }

    public void start() {
        beat();
    }

    public Changes changes() {
        return book.changes();
    }

    /**
     * By which version a lookup that comes now is taken; null where none may be, and {@link #why}
     * says why.
     */
    public Version takes() {
        participant.clock(shared.getAsLong(), loop.now());
        Participant.Takes t = participant.takes(changes());
        if (t.epoch() != epoch || !t.why().equals(why)) {
            LOG.log(
                    t.any() ? Level.INFO : Level.WARNING,
                    "event=policy epoch={0} why=\"{1}\"",
                    new Object[] {Long.toString(t.epoch()), t.why()});
        }
        epoch = t.epoch();
        why = t.why();
        Version v = changes().inForce();
        return !t.any() ? null : v.epoch() == t.epoch() ? v : changes().before();
    }

    /** Why no lookups are taken; empty where they are, as of the last that came. */
    public String why() {
        return why;
    }

    // ---- Its part in a turn. ----

    @Override
    public void begins(long nowUs) {
        // It reads its clocks as it decides.
    }

    @Override
    public void decides() {
        if (ends) {
            return;
        }
        long now = loop.now();
        participant.clock(shared.getAsLong(), now);
        if (confirmed >= 0 && clusterNode.learnedIndex() >= confirmed) {
            participant.leased(confirmedAsked, changes().inForce().absent().leaseUs());
            confirmed = -1;
        }
        participant.decide(changes(), this::propose);
        coordinator.clock(now, shared.getAsLong());
        coordinator.leads(clusterNode.isLeader());
        coordinator.decide(changes(), this::propose);
    }

    private void beat() {
        if (ends) {
            return;
        }
        Absent absent = changes().inForce().absent();
        Change open = changes().open();
        boolean fences = absent.rule() == Absent.Rule.FENCE
                || (open != null && open.absent().rule() == Absent.Rule.FENCE);
        if (fences) {
            long asked = loop.now();
            clusterNode.confirmCommitIndex(index -> {
                if (confirmed < 0) {
                    confirmed = index;
                    confirmedAsked = asked;
                }
            });
        }
        takes(); // So that what it says of itself is not of the last lookup, which may be long ago.
        loop.at(loop.now() + againUs / 2, this::beat);
    }

    private void propose(PolicyCommand command) {
        clusterNode.propose(PolicyBook.line(command), (said, e) -> {
            if (e != null || !said.isEmpty()) {
                LOG.log(Level.FINE, "event=not_taken command={0} said={1}", new Object[] {
                    command.getClass().getSimpleName(), e == null ? said : e
                });
            }
        });
    }

    /** Nothing is taken any more. */
    public void leave() {
        ends = true;
        propose(new PolicyCommand.Leave(clusterNode.incarnation().router(), clusterNode.incarnation().toString()));
    }

    // ---- For operators. ----

    /** An operator vouches that this router's process is gone: no change waits for it. */
    public void ended(String router) {
        Changes.Enrolled e = changes().enrolled().get(router);
        if (e != null) {
            propose(new PolicyCommand.Leave(router, e.life()));
        }
    }

    /**
     * Proposes a change, for an operator.
     *
     * @param told what is said to it, or why that is not known
     */
    public void propose(
            String id,
            long against,
            String digest,
            String text,
            String author,
            String reason,
            Absent absent,
            BiConsumer<String, String> told) {
        clusterNode.propose(
                PolicyBook.line(new PolicyCommand.Propose(
                        id, against, digest, text, author, reason, absent)),
                told);
    }

    public void withdraw(String id, String reason, BiConsumer<String, String> told) {
        clusterNode.propose(PolicyBook.line(new PolicyCommand.Abort(id, reason)), told);
    }

    /** How this router stands. */
    public Map<String, Object> shown() {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("epoch", epoch);
        all.put("why", why);
        all.put("in_force", shown(changes().inForce()));
        if (changes().before() != null) {
            all.put("before", shown(changes().before()));
        }
        Change open = changes().open();
        all.put("open", open == null ? "" : open.id());
        all.put("owing", changes().owing());
        return all;
    }

    private static Map<String, Object> shown(Version v) {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("epoch", v.epoch());
        all.put("digest", v.digest());
        all.put("change", v.change());
        all.put("author", v.author());
        all.put("reason", v.why());
        all.put("at_us", v.atUs());
        all.put("text", v.text());
        return all;
    }

    /** A change as far as this router has heard; null where it has not. */
    public Map<String, Object> shown(String id) {
        Change c = changes().change(id);
        return c == null ? null : shown(c);
    }

    public List<Object> history() {
        List<Object> all = new ArrayList<>();
        changes().history().forEach(c -> all.add(shown(c)));
        return all;
    }

    private static Map<String, Object> shown(Change c) {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("id", c.id());
        all.put(
                "state",
                switch (c.state()) {
                    case OPEN -> "not settled";
                    case IN_FORCE -> "in force";
                    case WITHDRAWN -> "withdrawn";
                });
        all.put("why", c.said());
        all.put("epoch", c.epoch());
        all.put("at_us", c.atUs());
        all.put("digest", c.digest());
        all.put("author", c.author());
        all.put("reason", c.why());
        return all;
    }
}

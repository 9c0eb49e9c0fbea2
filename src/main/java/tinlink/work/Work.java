package tinlink.work;

import tinlink.net.Counters;
import tinlink.net.Ending;
import tinlink.net.Link;
import tinlink.net.Loop;
import tinlink.net.Network;
import tinlink.net.Ring;
import tinlink.cluster.ClusterNode;
import tinlink.cluster.membership.Member;
import tinlink.cluster.membership.MemberState;
import tinlink.work.choice.Bounds;
import tinlink.work.choice.Holder;
import tinlink.work.choice.Lead;
import tinlink.work.choice.ListDifference;
import tinlink.work.choice.Machine;
import tinlink.work.choice.Order;
import tinlink.work.choice.Watch;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Work on machines in a router that serves: carries out what {@link Holder}, {@link Watch} and
 * {@link Lead} decide. All of it belongs to the loop's thread. What serves waits for none of it but
 * once, at the start, for a bounded time.
 */
public final class Work implements Holder.Hands, Watch.Hands, Loop.Turn {
    private static final Logger LOG = Logger.getLogger("tinlink.work");

    /** A data node as this router has it on its list. */
    public record Listed(String id, int cell, String zone, String kind, InetSocketAddress at) {}

    /** What serves, as far as it is led by work on machines. */
    public interface Serves extends Holder.Hold {
        /** Nothing new goes to this data node from now on, or again as the list says. */
        void leaveOut(String machine, boolean out);

        /**
         * Clients are sent elsewhere and those that are here served to their end, or let in again.
         */
        void letGo(boolean go);

        /** The list of data nodes as it is held now. */
        Collection<Listed> nodes();
    }

    /**
     * The figures of a router's work.
     *
     * @param zone this router's
     * @param sites by zone; a zone that is not named is a site of its own
     * @param bounds for the first start of a fleet; later the ones agreed on hold
     */
    public record Figures(
            String zone,
            Map<String, String> sites,
            Bounds bounds,
            int watchers,
            long probeUs,
            int misses,
            long oldUs,
            long reportUs) {
        String site(String z) {
            return sites.getOrDefault(z, z);
        }
    }

    private final Loop loop;
    private final Network network;
    private final ClusterNode clusterNode;
    private final WorkBook book;
    private final Serves serves;
    private final Figures figures;
    private final LeftOut leftOut;
    private final Holder holder;
    private final Watch watch;
    private final Lead lead;
    private final Counters counters = new Counters();
    /** Where data nodes are reached: as many as are on the list. */
    private final Map<String, InetSocketAddress> reached = new TreeMap<>();

    private Runnable whenKnown = () -> {};
    private boolean known;
    private boolean moved = true;
    private boolean looks;
    private long listTold = Long.MIN_VALUE;
    private ListDifference told;
    private boolean ends;

    /** @param book as the loop has it; the peers play into it */
    public Work(
            Loop loop,
            Network network,
            ClusterNode clusterNode,
            WorkBook book,
            Serves serves,
            Figures figures,
            Path folder)
            throws IOException {
        this(loop, network, clusterNode, book, serves, figures, new LeftOut(loop, folder));
    }

    private Work(
            Loop loop,
            Network network,
            ClusterNode clusterNode,
            WorkBook book,
            Serves serves,
            Figures figures,
            LeftOut leftOut) {
        this.loop = loop;
        this.network = network;
        this.clusterNode = clusterNode;
        this.book = book;
        this.serves = serves;
        this.figures = figures;
        String name = clusterNode.incarnation().router();
        this.leftOut = leftOut;
        holder = new Holder(name, clusterNode.incarnation().toString(), figures.reportUs(), leftOut.before());
        watch = new Watch(name, figures.watchers(), figures.probeUs(), figures.misses());
        lead = new Lead(
                figures.bounds(),
                figures.reportUs() / 2,
                figures.oldUs(),
                figures.bounds().most());
        clusterNode.setAppliedListener(() -> moved = true);
        clusterNode.setReportListener(lead::told);
    }

    /** What is not written down yet counts as open: it would be forgotten by a stop. */
    private final Holder.Hold hold = new Holder.Hold() {
        @Override
        public int open(String machine) {
            return serves.open(machine) + (leftOut.isKept(machine) ? 0 : 1);
        }

        @Override
        public int clients() {
            return serves.clients();
        }
    };

    /**
     * From now on it takes its part.
     *
     * @param whenKnown runs once this router's start is agreed on
     */
    public void start(Runnable whenKnown) {
        this.whenKnown = whenKnown;
        clusterNode.start();
        report();
        LOG.log(Level.INFO, "event=work_on router={0} life={1}", new Object[] {
            clusterNode.incarnation().router(), clusterNode.incarnation()
        });
    }

    public Order order() {
        return book.order();
    }

    public ClusterNode peers() {
        return clusterNode;
    }

    public Counters counters() {
        return counters;
    }

    public boolean isGone() {
        return holder.isGone();
    }

    // ---- Its part in a turn. ----

    @Override
    public void begins(long nowUs) {
        clusterNode.begins(nowUs);
        holder.clock(nowUs);
        watch.clock(nowUs);
        lead.clock(nowUs);
    }

    @Override
    public void decides() {
        if (ends) {
            clusterNode.decides();
            return;
        }
        // What is open here changes with each call that ends; nothing else tells, so it is looked
        // at anew
        // while it matters.
        if (moved || looks) {
            moved = false;
            while (holder.decide(order(), hold, this)) {
                // Each has been carried out.
            }
            if (!known && holder.isKnown(order())) {
                known = true;
                whenKnown.run();
            }
            looks = order().open().stream().anyMatch(p -> p.away());
        }
        while (watch.decide(this)) {
            // Each has been sent.
        }
        boolean leads = clusterNode.isLeader();
        lead.leads(leads);
        if (leads) {
            lead.seated(clusterNode.voters());
        }
        while (lead.decide(
                order(),
                line -> clusterNode.propose(line, (said, why) -> {
                    lead.answered();
                    if (why != null) {
                        counters.add("work_not_agreed");
                    }
                }))) {
            // Each has been put to the vote.
        }
        clusterNode.decides();
    }

    /** Says to whoever leads what is seen from here, again and again. */
    private void report() {
        if (ends) {
            return;
        }
        List<String> alive = new ArrayList<>(List.of(clusterNode.incarnation().router()));
        for (Member m : clusterNode.membership().members()) {
            if (m.state() == MemberState.ALIVE) {
                alive.add(m.router());
            }
        }
        List<Machine> list = new ArrayList<>();
        reached.clear();
        for (Listed n : serves.nodes()) {
            list.add(new Machine(
                    n.id(),
                    Machine.Kind.NODE,
                    n.cell(),
                    n.zone(),
                    figures.site(n.zone()),
                    n.kind(),
                    false));
            reached.put(n.id(), n.at());
        }
        List<String> members =
                clusterNode.membership().members().stream().map(Member::router).toList();
        watch.share(alive, members, reached.keySet());
        Map<String, Boolean> saw = watch.sees();
        for (Member m : clusterNode.membership().members()) {
            if (watch.watches(m.router())) {
                saw.put(m.router(), m.state() == MemberState.ALIVE && m.duplicate() == null);
            }
        }
        String site = figures.site(figures.zone());
        clusterNode.reportToLeader(Lead.selfWords(new Machine(
                clusterNode.incarnation().router(),
                Machine.Kind.ROUTER,
                -1,
                figures.zone(),
                site,
                "router",
                clusterNode.voters().contains(clusterNode.incarnation().router()))));
        clusterNode.reportToLeader(Lead.sawWords(saw));
        reportList(ListDifference.between(site, list, order().agreedNodes()));
        moved = true; // What was said and got lost is said again.
        loop.at(loop.now() + figures.reportUs(), this::report);
    }

    /** It goes when it has changed, and before the one that was told grows old. */
    private void reportList(ListDifference difference) {
        boolean changed = !difference.equals(told);
        if (changed || loop.now() - listTold > figures.oldUs() / 3) {
            told = difference;
            listTold = loop.now();
            clusterNode.reportToLeader(difference.line());
        }
    }

    // ---- What is decided. ----

    @Override
    public void propose(String line) {
        clusterNode.propose(line, (said, why) -> {
            if (why != null || !said.isEmpty()) {
                LOG.log(Level.FINE, "event=not_taken line={0} said={1}", new Object[] {
                    line, why == null ? said : why
                });
            }
        });
    }

    /**
     * For an operator.
     *
     * @param told what is said to it, or why that is not known
     */
    public void propose(String line, BiConsumer<String, String> told) {
        clusterNode.propose(line, told);
    }

    @Override
    public void leaveOut(String machine, boolean out) {
        LOG.log(Level.INFO, "event={0} machine={1}", new Object[] {
            out ? "left_out" : "taken_again", machine
        });
        counters.add(out ? "work_left_out" : "work_taken_again");
        serves.leaveOut(machine, out);
        leftOut.leaveOut(machine, out);
    }

    @Override
    public void letGo(boolean go) {
        LOG.log(Level.INFO, "event={0}", go ? "lets_clients_go" : "serves_again");
        serves.letGo(go);
    }

    @Override
    public void wake(long atUs) {
        loop.at(atUs, () -> moved = true);
    }

    /** A part call has ended at a data node. */
    public void called(String machine, boolean answered) {
        watch.called(machine, answered);
    }

    /**
     * A connection that comes up and stays up for a while. Danger: what stands between takes
     * connections for a node that is gone, and ends them a moment later.
     */
    @Override
    public void probe(String machine) {
        InetSocketAddress at = reached.get(machine);
        if (at == null) {
            return;
        }
        Probe p = new Probe(machine);
        try {
            p.link = network.connect(at, p);
            p.limit = loop.at(loop.now() + figures.probeUs() / 2, () -> p.link.end(Ending.NOT_UP));
        } catch (IOException | RuntimeException e) {
            p.ends(false);
        }
    }

    private final class Probe implements Link.Owner {
        private final String machine;
        private Link link;
        private Loop.Timer limit;
        private boolean over;

        Probe(String machine) {
            this.machine = machine;
        }

        @Override
        public void up() {
            loop.takeBack(limit);
            limit = loop.at(loop.now() + figures.probeUs() / 4, () -> {
                ends(true);
                link.end(Ending.DONE);
            });
        }

        @Override
        public void arrived(Ring in) {
            // Nothing is asked.
        }

        @Override
        public void ended(Ending how) {
            ends(false);
        }

        private void ends(boolean answered) {
            loop.takeBack(limit);
            if (!over) {
                over = true;
                watch.found(machine, answered);
            }
        }
    }

    // ---- The stop. ----

    /** Its last client has gone: nobody need wait for a word of it any more. */
    public void leave() {
        clusterNode.reportToLeader(Lead.leftWords(clusterNode.incarnation().toString()));
        clusterNode.leave();
        ends = true;
    }

    public void close() {
        ends = true;
        leftOut.close();
        try {
            clusterNode.close();
        } catch (IOException e) {
            LOG.log(Level.WARNING, "event=folder_not_closed", e);
        }
    }

    /** How this router stands, for an operator. */
    public Map<String, Object> shown() {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("router", clusterNode.incarnation().router());
        all.put("life", clusterNode.incarnation().toString());
        all.put("leader", clusterNode.leader());
        all.put("known", known);
        all.put("old_disk", clusterNode.hasStaleDisk());
        all.put("voters", List.copyOf(clusterNode.voters()));
        Map<String, String> standing = new TreeMap<>();
        clusterNode.membership()
                .members()
                .forEach(m -> standing.put(
                        m.router(), m.state().name().toLowerCase(java.util.Locale.ROOT)));
        all.put("peers", standing);
        return all;
    }
}

package tinlink.router;

import tinlink.decision.Aggregator;
import tinlink.decision.DataNode;
import tinlink.decision.Host;
import tinlink.decision.Lookup;
import tinlink.decision.Outcome;
import tinlink.decision.Part;
import tinlink.decision.PartCall;
import tinlink.net.EventLoop;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/** A turn of the module: its clock, its inputs, its decisions, and then what these ask for. */
final class ModuleTurn implements Host, EventLoop.EventLoopParticipant {
    private static final Logger LOG = Logger.getLogger("tinlink.turn");
    private final EventLoop loop;
    private final Aggregator module;
    /** Queries in hand; each leaves with its answer or its client. */
    private final Map<String, Query> queries = new HashMap<>();
    /**
     * Ids of queries that are over, and since when; each leaves after the time that a client waits
     * at most.
     */
    private final Map<String, Long> ended = new LinkedHashMap<>();

    private final long keptUs;
    /** Queries with inputs in this turn; emptied at its end. */
    private final Set<Query> touched = new LinkedHashSet<>();
    /** What this turn's decisions ask for; emptied at its end. */
    private final List<Runnable> asked = new ArrayList<>();

    private int parts;
    private boolean carrying;
    private final long mostComeBackUs;
    private PartSends sends;
    private Runnable follow;
    /** What else decides in each turn, beside the module; null where nothing does. */
    private EventLoop.EventLoopParticipant beside;
    /** Work on machines; null where it is off. */
    private EventLoop.EventLoopParticipant also;

    /** @param mostComeBackUs clients are told to come back no later */
    ModuleTurn(EventLoop loop, Aggregator module, long keptUs, long mostComeBackUs) {
        this.loop = loop;
        this.keptUs = keptUs;
        this.mostComeBackUs = mostComeBackUs;
        this.module = module;
    }

    void serves(PartSends sends, Runnable follow) {
        this.sends = sends;
        this.follow = follow;
    }

    void beside(EventLoop.EventLoopParticipant what) {
        beside = what;
    }

    void also(EventLoop.EventLoopParticipant what) {
        also = what;
    }

    // ---- Inputs. ----

    @Override
    public void turnStarted(long nowUs) {
        module.clock(nowUs);
        if (beside != null) {
            beside.turnStarted(nowUs);
        }
        if (also != null) {
            also.turnStarted(nowUs);
        }
    }

    /**
     * Danger: a lookup that takes the id of another, in hand or just over, would run parts that
     * data nodes take for those of the other.
     */
    boolean knows(String callId) {
        long old = loop.nowUs() - keptUs;
        for (Iterator<Long> at = ended.values().iterator(); at.hasNext() && at.next() <= old; ) {
            at.remove();
        }
        return queries.containsKey(callId) || ended.containsKey(callId);
    }

    /** Lookups and parts in hand. */
    int open() {
        return queries.size() + parts;
    }

    void take(Query q) {
        List<Part> all = q.parts;
        q.parts = new ArrayList<>(all.size());
        queries.put(q.callId, q);
        parts += q.announced;
        touched.add(q);
        module.lookup(q);
        all.forEach(module::part);
    }

    void clientGone(Query q) {
        drop(q);
        try {
            if (!q.ended) {
                module.clientGone(q);
            }
        } catch (RuntimeException e) {
            LOG.log(Level.SEVERE, "a fault in the module as a client left", e);
        }
    }

    /**
     * What ends while decisions are carried out is an input of the next turn. No report is passed
     * on.
     */
    void outcome(Sent s, Outcome how) {
        outcome(s, how, loop.nowUs() - s.call.sentAt);
    }

    /** @param tookUs without what a line to another site took; below 0 where it says nothing */
    void outcome(Sent s, Outcome how, long tookUs) {
        input(m -> {
            if (s.call.outcome == null) {
                touched.add(s.segment().query());
                m.outcome(s.call, how, tookUs, -1);
            }
        });
    }

    void input(Consumer<Aggregator> what) {
        if (carrying) {
            loop.execute(() -> what.accept(module));
        } else {
            what.accept(module);
        }
    }

    // ---- Decisions. ----

    @Override
    public void turnEnding() {
        besides(); // What has come over the lines is an input of this turn.
        // Danger: a fault in the module would come back at every pull. First the lookups with
        // inputs in this
        // turn are given up, then all; each as failed, since some part of it may have run.
        if (!pulled(touched)) {
            pulled(queries.values());
        }
        touched.clear();
        carrying = true;
        for (int i = 0; i < asked.size(); i++) {
            try {
                asked.get(i).run();
            } catch (RuntimeException e) {
                LOG.log(Level.SEVERE, "a decision could not be carried out", e);
            }
        }
        asked.clear();
        sends.depart();
        besides();
        carrying = false;
        alsoDecides();
    }

    /** Danger: a fault there must not keep the module from deciding. */
    private void besides() {
        try {
            if (beside != null) {
                beside.turnEnding();
            }
        } catch (RuntimeException e) {
            LOG.log(Level.SEVERE, "a fault beside the module", e);
        }
    }

    /** What it changes of the list is an input of the next turn's decisions. */
    private void alsoDecides() {
        try {
            if (also != null) {
                also.turnEnding();
            }
        } catch (RuntimeException e) {
            LOG.log(Level.SEVERE, "a fault in work on machines", e);
        }
    }

    /**
     * Pulls decisions until there is none; false after a fault, for which these lookups have been
     * ended.
     */
    private boolean pulled(Collection<Query> blamed) {
        try {
            while (module.decide(this)) {
                // Each decision has been noted as it left.
            }
            return true;
        } catch (RuntimeException e) {
            LOG.log(Level.SEVERE, "a fault in the module ends " + blamed.size() + " lookups", e);
            for (Query q : List.copyOf(blamed)) {
                clientGone(q);
                q.asker.failed(q);
            }
            return false;
        }
    }

    private void drop(Query q) {
        if (queries.remove(q.callId, q)) {
            parts -= q.announced;
            ended.put(q.callId, loop.nowUs());
        }
    }

    @Override
    public void send(PartCall call, long limitUs) {
        long until = loop.nowUs() + limitUs;
        asked.add(() -> sends.send(call, until));
    }

    @Override
    public void cancel(PartCall call) {
        asked.add(() -> sends.cancel(call));
    }

    @Override
    public void release(DataNode node) {
        asked.add(() -> sends.release(node));
    }

    @Override
    public void answer(Lookup lk, boolean whole) {
        ends(lk, q -> q.asker.answered(q, whole));
    }

    @Override
    public void nack(Lookup lk, long comeBackUs) {
        // A far router's advice counts too, where advice is given at all.
        ends(
                lk,
                q -> q.asker.nacked(
                        q,
                        comeBackUs <= 0
                                ? comeBackUs
                                : Math.max(comeBackUs, Math.min(q.comeBackUs, mostComeBackUs))));
    }

    @Override
    public void abort(Lookup lk) {
        ends(lk, q -> q.asker.aborted(q));
    }

    private void ends(Lookup lk, Consumer<Query> how) {
        Query q = (Query) lk;
        drop(q);
        asked.add(() -> how.accept(q));
    }

    @Override
    public void wake(long atUs) {
        loop.schedule(atUs, module::timer);
    }

    @Override
    public void followList() {
        asked.add(follow);
    }
}

package tinlink.router;

import tinlink.decision.DataNode;
import tinlink.decision.Outcome;
import tinlink.decision.PartCall;
import tinlink.net.CloseReason;
import tinlink.net.Connection;
import tinlink.net.EventLoop;
import tinlink.net.Network;
import tinlink.start.RouterStart;

import java.io.IOException;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Carries part calls to data nodes: frames, connections, time limits, and each call's one outcome.
 */
final class PartSends {
    private static final Logger LOG = Logger.getLogger("tinlink.nodes");
    private final EventLoop loop;
    private final Network network;
    private final Descriptors descriptors;
    private final ModuleTurn turn;
    private final RouterStart.Links links;
    private final long idleUs;
    private final StreamSends streams;
    private Intake intake;
    /** Null where nobody wants to know. */
    private BiConsumer<String, Outcome> told;
    /** Nodes on the list, and those off it with connections; each leaves when it is neither. */
    private final IdentityHashMap<DataNode, Target> targets = new IdentityHashMap<>();
    /** This turn's frames; emptied at its end. */
    private final IdentityHashMap<PartCall.Shared, Bundle> bundles = new IdentityHashMap<>();

    private final List<Bundle> leaving = new ArrayList<>();

    PartSends(
            EventLoop loop,
            Network network,
            Descriptors descriptors,
            ModuleTurn turn,
            RouterStart.Links links) {
        this.loop = loop;
        this.network = network;
        this.descriptors = descriptors;
        this.turn = turn;
        this.links = links;
        // Danger: what is written after the node's machine has closed ends as a reset. Ours closes
        // first, by
        // as much as a connect may take: no message is under way for longer.
        idleUs = Math.max(links.idleUs() / 2, links.idleUs() - links.connectUs());
        streams = new StreamSends(loop, network, this, links, idleUs);
    }

    /** A descriptor for one more connection to a data node; an idle client's gives way to it. */
    boolean mayOpen() {
        return descriptors.hasForNode() || intake.closeIdle();
    }

    Descriptors descriptors() {
        return descriptors;
    }

    StreamSends streams() {
        return streams;
    }

    /** Hears of each part call's outcome at a data node of the list. */
    void tells(BiConsumer<String, Outcome> who) {
        told = who;
    }

    void serves(Intake intake) {
        this.intake = intake;
    }

    long now() {
        return loop.nowUs();
    }

    /** A frame comes whole within the time in which a connection comes up. */
    EventLoop.Timer whenStuck(Runnable what) {
        return loop.schedule(now() + links.connectUs(), what);
    }

    /**
     * What leaves in this turn has arrived by then; a turn and a way to a node are a part of a
     * connect.
     */
    long arrivesWithinUs() {
        return links.connectUs() / 4;
    }

    int callsPerLink() {
        return links.callsPerLink();
    }

    void takeBack(EventLoop.Timer t) {
        loop.cancel(t);
    }

    // ---- What the list says. ----

    Target target(DataNode node) {
        return targets.computeIfAbsent(node, Target::new);
    }

    /** Its state or address has changed: what waits for it may be stale, and so may connections. */
    void changed(Target t, boolean moved) {
        for (NodeLink l : List.copyOf(t.links)) {
            if (moved) {
                l.retire();
            }
            l.dropStale();
            endUnused(l, l.endsUnused());
        }
        streams.changed(t, moved);
        forgetIfGone(t);
    }

    void forgetIfGone(Target t) {
        if (t.node.state == DataNode.State.GONE
                && t.links.isEmpty()
                && (t.streams == null || t.streams.isIdle())) {
            targets.remove(t.node);
        }
    }

    // ---- Decisions. ----

    void send(PartCall call, long until) {
        Sent s = new Sent(call, until);
        s.segment().sent.add(s);
        Target t = target(call.node);
        if (t.far != null) {
            t.far.accept(s);
            return;
        }
        t.open++;
        s.to = t;
        s.limit = loop.schedule(until, () -> unanswered(s));
        if (streams.offered(t)) {
            streams.send(t, s);
            return;
        }
        byFrames(s);
    }

    /** With others of this turn that the module lets travel together. */
    void byFrames(Sent s) {
        PartCall call = s.call;
        Bundle b = bundles.computeIfAbsent(call.shared, x -> new Bundle());
        if (b.sent.isEmpty()) {
            leaving.add(b);
        }
        b.sent.add(s);
        b.open++;
        s.bundle = b;
        s.by = b;
    }

    void cancel(PartCall call) {
        Sent s = ((Segment) call.part).sent.get(call.number);
        if (!s.over) {
            over(s, s.by.waits() ? Outcome.NOT_SENT : Outcome.CANCELLED, true);
        }
    }

    void release(DataNode node) {
        for (NodeLink l : List.copyOf(target(node).links)) {
            if (l.calls() == 0) {
                l.end(CloseReason.RELEASED);
            }
        }
        streams.release(target(node));
    }

    /** Puts this turn's frames on connections. */
    void depart() {
        departFrames();
        streams.depart();
    }

    void departFrames() {
        for (Bundle b : leaving) {
            if (b.open > 0) {
                place(b);
            }
        }
        leaving.clear();
        bundles.clear();
    }

    private void place(Bundle b) {
        Target t = target(b.sent.get(0).call.node);
        NodeLink best = null;
        for (NodeLink l : List.copyOf(t.links)) {
            if (l.calls() == 0 && now() - l.usedAt() >= idleUs) {
                l.end(CloseReason.IDLE);
            } else if (l.calls() < links.callsPerLink()
                    && l.isTrusted()
                    && b.sent.stream().noneMatch(l::confuses)
                    && (best == null || (l.isUp() && !best.isUp()))) {
                best = l;
            }
        }
        best = best == null ? open(t) : best;
        if (best != null) {
            best.add(b);
            return;
        }
        for (Sent s : b.sent) {
            if (!s.over) {
                over(s, CloseReason.NO_SOCKET.toOutcome(false, true), false);
            }
        }
    }

    private NodeLink open(Target t) {
        if (t.address == null || !mayOpen()) {
            return null;
        }
        NodeLink l = new NodeLink(this, t, now());
        try {
            Connection link = network.connect(t.address, l);
            l.on(link, loop.schedule(now() + links.connectUs(), () -> link.close(CloseReason.NOT_UP)));
            descriptors.nodeOpened();
            t.links.add(l);
            return l;
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.WARNING, "no connection to " + t.address, e);
            return null;
        }
    }

    /** Nothing more will be sent. */
    void endAll() {
        List.copyOf(targets.values())
                .forEach(t -> List.copyOf(t.links).forEach(l -> l.end(CloseReason.DONE)));
    }

    // ---- Outcomes. ----

    /** The limit has passed. */
    private void unanswered(Sent s) {
        if (!s.over) {
            boolean waits = s.by.waits();
            s.by.unanswered(s);
            over(s, waits ? Outcome.NOT_SENT : Outcome.NO_ANSWER, true);
        }
    }

    /**
     * The one outcome of a part call; one that is given up is taken off its node, where that is
     * allowed.
     */
    void over(Sent s, Outcome how, boolean giveUp) {
        s.over = true;
        loop.cancel(s.limit);
        s.limit = null;
        if (s.to != null) {
            s.to.open--;
            if (told != null && s.to.uid != null) {
                told.accept(s.to.uid, how);
            }
        }
        s.by.over(s, giveUp && links.mayCancel());
        turn.outcome(s, how);
    }

    // ---- Links. ----

    /** A link with no call out is closed before its node's machine does it. */
    EventLoop.Timer idle(NodeLink l) {
        CloseReason closeReason = l.endsUnused();
        if (closeReason != null) {
            loop.execute(() -> endUnused(l, closeReason));
            return null;
        }
        return loop.schedule(l.usedAt() + idleUs, () -> endUnused(l, CloseReason.IDLE));
    }

    private static void endUnused(NodeLink l, CloseReason closeReason) {
        if (l.calls() == 0 && closeReason != null) {
            l.end(closeReason);
        }
    }

    void closed(NodeLink l) {
        l.target().links.remove(l);
        descriptors.nodeClosed();
        forgetIfGone(l.target());
    }
}

package tinlink.router;

import tinlink.decision.Aggregator;
import tinlink.decision.DataNode;
import tinlink.decision.Index;
import tinlink.decision.Outcome;
import tinlink.decision.Part;
import tinlink.gateway.IncomingPart;
import tinlink.gateway.Gateway;
import tinlink.gateway.GatewayKeys;
import tinlink.gateway.OutgoingPart;
import tinlink.gateway.forwarding.RemoteRouter;
import tinlink.gateway.forwarding.PartStatus;
import tinlink.net.MessageRejectedException;
import tinlink.net.EventLoop;
import tinlink.net.Network;
import tinlink.start.GatewayStart;
import tinlink.start.RouterStart;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.BitSet;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * What a request's stages and the links with other sites have to do with each other. Far routers
 * stand before the module as data nodes, one a cell; parts that come from other sites are lookups
 * of one part.
 */
final class SiteLinks implements Gateway.PartHandler, Query.Asker {
    private static final Logger LOG = Logger.getLogger("tinlink.gateway");
    private final EventLoop loop;
    private final Stages stages;
    private final Gateway gateway;
    private final int cells;
    /** Names of indexes; the module knows them as objects. */
    private final IdentityHashMap<Index, String> names = new IdentityHashMap<>();
    /**
     * Of each far router by cell, made as it first serves one: as many as the settings have cells.
     */
    private final IdentityHashMap<RemoteRouter, DataNode[]> nodes = new IdentityHashMap<>();

    private long begun;

    SiteLinks(EventLoop loop, Network network, RouterStart start, Stages stages) {
        this.loop = loop;
        this.stages = stages;
        cells = start.cells;
        start.lookups.indexes().forEach((name, index) -> names.put(index, name));
        GatewayStart g = start.gateway;
        gateway = new Gateway(
                loop,
                network,
                new Gateway.Identity(g.site, g.router, loop.nowUs(), g.accepts),
                keys(g),
                new Gateway.Timing(g.beatUs, g.handshakeUs, g.recoverUs, start.longestUs),
                new Gateway.Limits(
                        g.takesParts, g.remembers, g.remembersBytes, g.routers, g.waiting),
                g.far.stream()
                        .map(f -> new Gateway.RemoteEndpoint(f.site(), f.router(), f.lines()))
                        .toList(),
                start.seed,
                this);
    }

    private static GatewayKeys keys(GatewayStart g) {
        return new GatewayKeys(Map.copyOf(g.keys), g.useKey);
    }

    /** From now on lines are opened and taken. */
    void start(GatewayStart g) throws IOException {
        if (g.listen != null) {
            gateway.listen(g.listen);
        }
        stages.roster.tells(gateway::announceCells);
        stages.turn.beside(gateway.turn());
        gateway.logCounters();
        LOG.log(
                Level.INFO,
                "event=gateway_on site={0} router={1} far={2} listen={3}",
                new Object[] {
                    g.site, g.router, g.far.size(), g.listen == null ? "-" : gateway.address()
                });
    }

    /** The keys alone are taken over in service. */
    void again(GatewayStart g) {
        gateway.keys(keys(g));
    }

    /** From another thread. */
    long count(String name) {
        return loop.submitAndWait(() -> gateway.counters().get(name));
    }

    /** From another thread. */
    int farCells() {
        return loop.submitAndWait(() -> (int) nodes.values().stream()
                .flatMap(Arrays::stream)
                .filter(n -> n != null && n.state == DataNode.State.READY)
                .count());
    }

    Gateway gateway() {
        return gateway;
    }

    // ---- Parts that go out. ----

    @Override
    public void cellsChanged(RemoteRouter router, BitSet which, long lineUs) {
        DataNode[] known = nodes.computeIfAbsent(router, r -> new DataNode[cells]);
        for (int cell = 0; cell < cells; cell++) {
            if (known[cell] == null && which.get(cell)) {
                known[cell] = stages.roster.farNode(gateway.siteOf(router), cell);
                stages.sends.target(known[cell]).far = s -> forward(router, s);
            }
            DataNode n = known[cell];
            if (n != null) {
                n.lineUs = lineUs;
                DataNode.State now =
                        which.get(cell) ? DataNode.State.READY : DataNode.State.DRAINING;
                boolean changed = n.state != now;
                n.state = now;
                if (changed) {
                    stages.turn.input(m -> m.listed(n, false));
                }
            }
        }
        stages.turn.input(m -> m.nodes(Aggregator.News.CHANGES));
    }

    private void forward(RemoteRouter to, Sent s) {
        Query q = s.segment().query();
        OutgoingPart part = new OutgoingPart(
                s,
                loop.nowUs(),
                s.until,
                s.call.node.cell,
                q.index.effect == Index.Effect.IDEMPOTENT,
                s.segment().id,
                names.get(q.index),
                s.segment().shard,
                q.key,
                q.text,
                q.repeat,
                effectUntil(s));
        s.by = new Carried() {
            @Override
            public boolean waits() {
                return part.isQueued();
            }

            @Override
            public void unanswered(Sent x) {
                // The links keep its time themselves.
            }

            @Override
            public void over(Sent x, boolean giveUp) {
                gateway.cancel(to, part);
            }
        };
        gateway.forward(to, part);
    }

    /** Danger: what comes later on a line must not be the first of its key to run. */
    private static long effectUntil(Sent s) {
        Index x = s.segment().lookup.index;
        return x.effect != Index.Effect.FINGERPRINTED
                ? Long.MAX_VALUE
                : Math.min(s.effectUntil(), x.windowUs + s.call.sentAt);
    }

    @Override
    public void partEnded(OutgoingPart part, Outcome how, long tookUs) {
        Sent s = (Sent) part.attachment;
        if (s.over) {
            return;
        }
        s.over = true;
        Query q = s.segment().query();
        if (how == Outcome.SATISFIED) {
            s.segment().value = new String(part.value, StandardCharsets.UTF_8);
        } else if (how == Outcome.TURNED_AWAY) {
            q.comeBackUs = Math.max(q.comeBackUs, part.retryAfterUs);
        }
        stages.turn.outcome(s, how, tookUs);
    }

    // ---- Parts that come in. ----

    @Override
    public void startPart(IncomingPart part) {
        try {
            Query q = stages.reader.forwarded(part, "/" + begun++, this);
            part.attachment = q;
            q.origin = part;
            if (stages.intake.hasRoom(q)) {
                stages.turn.take(q);
                return;
            }
        } catch (MessageRejectedException e) {
            LOG.log(Level.FINE, "event=part_not_used why=\"{0}\"", e.getMessage());
        }
        gateway.partEnded(part, PartStatus.REFUSED, null, 0);
    }

    @Override
    public void cancelPart(IncomingPart part) {
        if (part.attachment instanceof Query q && !q.ended) {
            stages.turn.clientGone(q);
        }
    }

    @Override
    public void answered(Query q, boolean whole) {
        String value = ((Segment) q.parts.get(0)).value;
        gateway.partEnded((IncomingPart) q.origin, PartStatus.DONE, value.getBytes(StandardCharsets.UTF_8), 0);
    }

    @Override
    public void nacked(Query q, long comeBackUs) {
        over(q, comeBackUs);
    }

    @Override
    public void aborted(Query q) {
        over(q, 0);
    }

    @Override
    public void failed(Query q) {
        over(q, 0);
    }

    /**
     * Danger: for an idempotent part a nack says that a repeat is harmless, not that it never ran.
     */
    private void over(Query q, long comeBackUs) {
        boolean never = true;
        for (Part p : q.parts) {
            never &= p.calls.stream().allMatch(c -> c.outcome != null && c.outcome.neverRan);
        }
        gateway.partEnded((IncomingPart) q.origin, never ? PartStatus.REFUSED : PartStatus.FAILED, null, comeBackUs);
    }
}

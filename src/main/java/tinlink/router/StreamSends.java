package tinlink.router;

import tinlink.decision.DataNode;
import tinlink.decision.Outcome;
import tinlink.http2.NodeStreams;
import tinlink.http2.PartRequest;
import tinlink.http2.choice.Pool;
import tinlink.net.Counters;
import tinlink.net.Loop;
import tinlink.net.Network;
import tinlink.start.Http2Start;
import tinlink.start.RouterStart;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/** Part calls that go to data nodes over HTTP/2; nothing of it is there while no node offers it. */
final class StreamSends {
    private final Loop loop;
    private final Network network;
    private final PartSends sends;
    private final RouterStart.Links links;
    private final long idleUs;
    private Predicate<DataNode> offers = n -> false;
    private Pool.Bounds bounds;
    private Counters counters;
    /** Nodes with decisions to pull; emptied each turn. */
    private Set<NodeStreams> touched = new LinkedHashSet<>();

    StreamSends(Loop loop, Network network, PartSends sends, RouterStart.Links links, long idleUs) {
        this.loop = loop;
        this.network = network;
        this.sends = sends;
        this.links = links;
        this.idleUs = idleUs;
    }

    /** Nodes of these kinds and zones are served by HTTP/2. */
    void offeredBy(Http2Start s, Predicate<DataNode> offers) {
        this.offers = offers;
        counters = new Counters();
        bounds = new Pool.Bounds(
                s.connections,
                s.firstStreams,
                s.waiting,
                s.waitUs,
                links.connectUs(),
                idleUs,
                s.pingUs,
                s.rememberUs);
    }

    Counters counters() {
        return counters;
    }

    boolean offered(Target t) {
        if (t.streams == null && offers.test(t.node)) {
            t.streams = new NodeStreams(loop, network, new Host(t), counters, bounds);
        }
        return t.streams != null && t.streams.speaks();
    }

    void send(Target t, Sent s) {
        Query q = s.segment().query();
        PartRequest r = new PartRequest(
                s,
                s.segment().shard,
                s.segment().id,
                q.key,
                q.text,
                s.until,
                s.effectUntil() - sends.arrivesWithinUs());
        s.by = new Carried() {
            @Override
            public boolean waits() {
                return r.waits();
            }

            @Override
            public void unanswered(Sent x) {
                // A connection that says nothing is asked by a ping.
            }

            @Override
            public void over(Sent x, boolean giveUp) {
                if (!r.isOver()) {
                    t.streams.cancel(r, giveUp);
                }
            }
        };
        t.streams.send(r, t.address);
    }

    void release(Target t) {
        if (t.streams != null) {
            t.streams.release();
        }
    }

    /**
     * Danger: what waits for a connection may go out after its node was told as draining or gone.
     */
    void changed(Target t, boolean moved) {
        if (t.streams == null) {
            return;
        }
        if (moved) {
            t.streams.moved();
        }
        if (t.node.state != DataNode.State.READY) {
            t.streams.dropWaiting();
        }
        if (t.node.state == DataNode.State.GONE) {
            t.streams.gone();
        }
    }

    void depart() {
        while (!touched.isEmpty()) {
            List<NodeStreams> all = new ArrayList<>(touched);
            touched.clear();
            all.forEach(NodeStreams::decides);
        }
    }

    private final class Host implements NodeStreams.Host {
        private final Target target;

        Host(Target target) {
            this.target = target;
        }

        @Override
        public boolean mayOpen() {
            return sends.mayOpen();
        }

        @Override
        public void opened() {
            sends.descriptors().nodeOpened();
        }

        @Override
        public void closed() {
            sends.descriptors().nodeClosed();
            sends.forgetIfGone(target);
        }

        @Override
        public void over(PartRequest r, Outcome how, String value) {
            Sent s = (Sent) r.what;
            if (!s.over) {
                s.segment().value = value == null ? s.segment().value : value;
                sends.over(s, how, false);
            }
        }

        @Override
        public void otherwise(PartRequest r) {
            Sent s = (Sent) r.what;
            if (!s.over) {
                sends.byFrames(s);
                sends.departFrames();
            }
        }

        @Override
        public void touched(NodeStreams node) {
            touched.add(node);
        }
    }
}

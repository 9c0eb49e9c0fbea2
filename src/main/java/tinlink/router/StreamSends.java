package tinlink.router;

import tinlink.decision.DataNode;
import tinlink.decision.Outcome;
import tinlink.http2.Http2NodeClient;
import tinlink.http2.PartRequest;
import tinlink.http2.pool.ConnectionPool;
import tinlink.net.Counters;
import tinlink.net.EventLoop;
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
    private final EventLoop loop;
    private final Network network;
    private final PartSends sends;
    private final RouterStart.Links links;
    private final long idleUs;
    private Predicate<DataNode> offers = n -> false;
    private ConnectionPool.Settings settings;
    private Counters counters;
    /** Nodes with decisions to pull; emptied each turn. */
    private Set<Http2NodeClient> touched = new LinkedHashSet<>();

    StreamSends(EventLoop loop, Network network, PartSends sends, RouterStart.Links links, long idleUs) {
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
        settings = new ConnectionPool.Settings(
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
            t.streams = new Http2NodeClient(loop, network, new Host(t), counters, settings);
        }
        return t.streams != null && t.streams.supportsHttp2();
    }

    void send(Target t, Sent s) {
        Query q = s.segment().query();
        PartRequest request = new PartRequest(
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
                return request.isPending();
            }

            @Override
            public void unanswered(Sent x) {
                // A connection that says nothing is asked by a ping.
            }

            @Override
            public void over(Sent x, boolean giveUp) {
                if (!request.isEnded()) {
                    t.streams.cancel(request, giveUp);
                }
            }
        };
        t.streams.send(request, t.address);
    }

    void release(Target t) {
        if (t.streams != null) {
            t.streams.closeUnused();
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
            t.streams.nodeMoved();
        }
        if (t.node.state != DataNode.State.READY) {
            t.streams.dropPending();
        }
        if (t.node.state == DataNode.State.GONE) {
            t.streams.nodeRemoved();
        }
    }

    void depart() {
        while (!touched.isEmpty()) {
            List<Http2NodeClient> all = new ArrayList<>(touched);
            touched.clear();
            all.forEach(Http2NodeClient::decide);
        }
    }

    private final class Host implements Http2NodeClient.CallHandler {
        private final Target target;

        Host(Target target) {
            this.target = target;
        }

        @Override
        public boolean mayOpenConnection() {
            return sends.mayOpen();
        }

        @Override
        public void connectionOpened() {
            sends.descriptors().nodeOpened();
        }

        @Override
        public void connectionClosed() {
            sends.descriptors().nodeClosed();
            sends.forgetIfGone(target);
        }

        @Override
        public void callEnded(PartRequest request, Outcome how, String value) {
            Sent s = (Sent) request.attachment;
            if (!s.over) {
                s.segment().value = value == null ? s.segment().value : value;
                sends.over(s, how, false);
            }
        }

        @Override
        public void fallBackToFrames(PartRequest request) {
            Sent s = (Sent) request.attachment;
            if (!s.over) {
                sends.byFrames(s);
                sends.departFrames();
            }
        }

        @Override
        public void decisionsPending(Http2NodeClient nodeClient) {
            touched.add(nodeClient);
        }
    }
}

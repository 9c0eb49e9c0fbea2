package tinlink.router;

import tinlink.config.Http2Config;
import tinlink.config.RouterConfig;
import tinlink.decision.DataNode;
import tinlink.decision.Outcome;
import tinlink.http2.Http2NodeClient;
import tinlink.http2.PartRequest;
import tinlink.http2.pool.ConnectionPool;
import tinlink.net.Counters;
import tinlink.net.EventLoop;
import tinlink.net.Network;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/** Attempts that go to data nodes over HTTP/2; nothing of it is allocated while no node offers it. */
final class Http2Dispatcher {
    private final EventLoop loop;
    private final Network network;
    private final AttemptDispatcher dispatcher;
    private final NodeConnections connections;
    private final RouterConfig.NodeConnectionSettings linkSettings;
    private Predicate<DataNode> offersHttp2 = node -> false;
    private ConnectionPool.Settings settings;
    private Counters counters;
    /** Nodes with decisions to pull; emptied each turn. */
    private Set<Http2NodeClient> nodesToDecide = new LinkedHashSet<>();

    Http2Dispatcher(
            EventLoop loop,
            Network network,
            AttemptDispatcher dispatcher,
            NodeConnections connections,
            RouterConfig.NodeConnectionSettings linkSettings) {
        this.loop = loop;
        this.network = network;
        this.dispatcher = dispatcher;
        this.connections = connections;
        this.linkSettings = linkSettings;
    }

    /** Nodes of these kinds and zones are served by HTTP/2. */
    void enable(Http2Config config, Predicate<DataNode> offersHttp2) {
        this.offersHttp2 = offersHttp2;
        counters = new Counters();
        settings = new ConnectionPool.Settings(
                config.maxConnections,
                config.initialMaxStreams,
                config.maxQueuedParts,
                config.maxQueueWaitUs,
                linkSettings.connectTimeoutUs(),
                connections.idleTimeoutUs(),
                config.pingTimeoutUs,
                config.fallbackMemoryUs);
    }

    Counters counters() {
        return counters;
    }

    boolean isOffered(NodeEndpoint endpoint) {
        if (endpoint.http2 == null && offersHttp2.test(endpoint.node)) {
            endpoint.http2 = new Http2NodeClient(
                    loop, network, new EndpointHandler(endpoint), counters, settings);
        }
        return endpoint.http2 != null && endpoint.http2.supportsHttp2();
    }

    void send(NodeEndpoint endpoint, SentAttempt sent) {
        Query query = sent.part().query();
        PartRequest request = new PartRequest(
                sent,
                sent.part().shard,
                sent.part().id,
                query.idempotencyKey,
                query.text,
                sent.deadlineUs,
                sent.effectDeadlineUs() - connections.maxTransitUs());
        sent.transport = new AttemptTransport() {
            @Override
            public boolean isQueued() {
                return request.isPending();
            }

            @Override
            public void onTimeout(SentAttempt sent) {
                // A connection that says nothing is asked by a ping.
            }

            @Override
            public void onOutcome(SentAttempt sent, boolean cancelAtNode) {
                if (!request.isEnded()) {
                    endpoint.http2.cancel(request, cancelAtNode);
                }
            }
        };
        endpoint.http2.send(request, endpoint.address);
    }

    void release(NodeEndpoint endpoint) {
        if (endpoint.http2 != null) {
            endpoint.http2.closeUnused();
        }
    }

    /**
     * Danger: what waits for a connection may go out after its node was listed as draining or removed.
     */
    void endpointChanged(NodeEndpoint endpoint, boolean hasMoved) {
        if (endpoint.http2 == null) {
            return;
        }
        if (hasMoved) {
            endpoint.http2.nodeMoved();
        }
        if (endpoint.node.state != DataNode.State.READY) {
            endpoint.http2.dropPending();
        }
        if (endpoint.node.state == DataNode.State.GONE) {
            endpoint.http2.nodeRemoved();
        }
    }

    void flush() {
        while (!nodesToDecide.isEmpty()) {
            List<Http2NodeClient> all = new ArrayList<>(nodesToDecide);
            nodesToDecide.clear();
            all.forEach(Http2NodeClient::decide);
        }
    }

    private final class EndpointHandler implements Http2NodeClient.CallHandler {
        private final NodeEndpoint endpoint;

        EndpointHandler(NodeEndpoint endpoint) {
            this.endpoint = endpoint;
        }

        @Override
        public boolean mayOpenConnection() {
            return connections.canOpenConnection();
        }

        @Override
        public void connectionOpened() {
            connections.descriptors().nodeOpened();
        }

        @Override
        public void connectionClosed() {
            connections.descriptors().nodeClosed();
            connections.forgetIfRemoved(endpoint);
        }

        @Override
        public void callEnded(PartRequest request, Outcome outcome, String value) {
            SentAttempt sent = (SentAttempt) request.attachment;
            if (!sent.isEnded) {
                sent.part().value = value == null ? sent.part().value : value;
                dispatcher.recordOutcome(sent, outcome, false);
            }
        }

        @Override
        public void fallBackToFrames(PartRequest request) {
            SentAttempt sent = (SentAttempt) request.attachment;
            if (!sent.isEnded) {
                dispatcher.sendByFrames(sent);
                dispatcher.flushFrames();
            }
        }

        @Override
        public void decisionsPending(Http2NodeClient nodeClient) {
            nodesToDecide.add(nodeClient);
        }
    }
}

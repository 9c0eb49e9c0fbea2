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

/** Sends attempts to data nodes over HTTP/2. Allocates nothing while no node offers HTTP/2. */
final class Http2Dispatcher {
    private final EventLoop loop;
    private final Network network;
    private final AttemptDispatcher dispatcher;
    private final NodeConnections connections;
    private final RouterConfig.NodeConnectionSettings connectionSettings;
    /** Whether a data node may be reached over HTTP/2; none before {@link #enable}. */
    private Predicate<DataNode> offersHttp2 = node -> false;

    private ConnectionPool.Settings settings;
    /** Null before {@link #enable}, like the settings. */
    private Counters counters;
    /** Clients whose decisions are to be pulled; emptied each turn. */
    private final Set<Http2NodeClient> clientsToDecide = new LinkedHashSet<>();

    Http2Dispatcher(
            EventLoop loop,
            Network network,
            AttemptDispatcher dispatcher,
            NodeConnections connections,
            RouterConfig.NodeConnectionSettings connectionSettings) {
        this.loop = loop;
        this.network = network;
        this.dispatcher = dispatcher;
        this.connections = connections;
        this.connectionSettings = connectionSettings;
    }

    /** Enables HTTP/2 for the data nodes that the predicate accepts. */
    void enable(Http2Config config, Predicate<DataNode> offersHttp2) {
        this.offersHttp2 = offersHttp2;
        counters = new Counters();
        settings = new ConnectionPool.Settings(
                config.maxConnections,
                config.initialMaxStreams,
                config.maxQueuedParts,
                config.maxQueueWaitUs,
                connectionSettings.connectTimeoutUs(),
                connections.idleTimeoutUs(),
                config.pingTimeoutUs,
                config.fallbackMemoryUs);
    }

    Counters counters() {
        return counters;
    }

    /** Whether attempts to that data node go over HTTP/2; creates its client at the first use. */
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
                // The HTTP/2 client detects an unresponsive connection by a ping.
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

    /** Closes the connections to that data node on which nothing is in flight. */
    void release(NodeEndpoint endpoint) {
        if (endpoint.http2 != null) {
            endpoint.http2.closeUnused();
        }
    }

    /**
     * Called when the state or address of a data node has changed. Attempts that wait for a connection are
     * dropped, since they must not be sent to a node that is listed as draining or removed.
     */
    void endpointChanged(NodeEndpoint endpoint, boolean moved) {
        if (endpoint.http2 == null) {
            return;
        }
        if (moved) {
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
        while (!clientsToDecide.isEmpty()) {
            List<Http2NodeClient> pending = new ArrayList<>(clientsToDecide);
            clientsToDecide.clear();
            pending.forEach(Http2NodeClient::decide);
        }
    }

    /** Passes the outcomes and connection events of one data node to the dispatcher. */
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
            if (!sent.ended) {
                sent.part().value = value == null ? sent.part().value : value;
                dispatcher.recordOutcome(sent, outcome, false);
            }
        }

        @Override
        public void fallBackToFrames(PartRequest request) {
            SentAttempt sent = (SentAttempt) request.attachment;
            if (!sent.ended) {
                dispatcher.sendByFrames(sent);
                dispatcher.flushFrames();
            }
        }

        @Override
        public void decisionsPending(Http2NodeClient nodeClient) {
            clientsToDecide.add(nodeClient);
        }
    }
}

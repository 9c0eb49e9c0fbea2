package tinlink.router;

import tinlink.config.RouterConfig;
import tinlink.decision.DataNode;
import tinlink.net.CloseReason;
import tinlink.net.Connection;
import tinlink.net.EventLog;
import tinlink.net.EventLoop;
import tinlink.net.Network;

import java.io.IOException;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.logging.Level;

/**
 * The data nodes as this router reaches them, and the framed connections to each: which one takes a batch,
 * when one is opened, and when an unused one is closed. Of the event loop's thread; bounded by the endpoint
 * list and the descriptors.
 */
final class NodeConnections {
    private static final EventLog LOG = new EventLog("tinlink.nodes");
    private final EventLoop loop;
    private final Network network;
    private final DescriptorBudget descriptors;
    private final RouterConfig.NodeConnectionSettings settings;
    private final AttemptDispatcher dispatcher;
    private final long idleTimeoutUs;
    private ClientAcceptor acceptor;
    /** Nodes on the list, and those off it with connections; each leaves when it is neither. */
    private final IdentityHashMap<DataNode, NodeEndpoint> endpoints = new IdentityHashMap<>();

    /** @param dispatcher gets the outcomes of what its connections carry */
    NodeConnections(
            EventLoop loop,
            Network network,
            DescriptorBudget descriptors,
            RouterConfig.NodeConnectionSettings settings,
            AttemptDispatcher dispatcher) {
        this.loop = loop;
        this.network = network;
        this.descriptors = descriptors;
        this.settings = settings;
        this.dispatcher = dispatcher;
        // Danger: what is written after the node's machine has closed ends as a reset. Ours closes
        // first, by as much as
        // a connect may take: no message is under way for longer.
        idleTimeoutUs = Math.max(
                settings.idleTimeoutUs() / 2,
                settings.idleTimeoutUs() - settings.connectTimeoutUs());
    }

    /** Whose idle connections give way to those to data nodes; called once, before the first turn. */
    void setAcceptor(ClientAcceptor acceptor) {
        this.acceptor = acceptor;
    }

    /** After so long without use a connection is closed, in microseconds. */
    long idleTimeoutUs() {
        return idleTimeoutUs;
    }

    /** A descriptor for one more connection to a data node; an idle client's gives way to it. */
    boolean canOpenConnection() {
        return descriptors.hasForNode() || acceptor.closeIdle();
    }

    DescriptorBudget descriptors() {
        return descriptors;
    }

    long nowUs() {
        return loop.nowUs();
    }

    /** A frame comes whole within the time in which a connection comes up. */
    EventLoop.Timer scheduleFrameTimeout(Runnable task) {
        return loop.schedule(nowUs() + settings.connectTimeoutUs(), task);
    }

    /** What leaves in this turn has arrived by then; a turn and a way to a node are a part of a connect. */
    long maxTransitUs() {
        return settings.connectTimeoutUs() / 4;
    }

    int callsPerConnection() {
        return settings.callsPerConnection();
    }

    void cancelTimer(EventLoop.Timer timer) {
        loop.cancel(timer);
    }

    NodeEndpoint endpointOf(DataNode node) {
        return endpoints.computeIfAbsent(node, NodeEndpoint::new);
    }

    /** Its state or address has changed: what is queued for it may be stale, and so may connections. */
    void endpointChanged(NodeEndpoint endpoint, boolean hasMoved) {
        for (NodeConnection nodeConnection : List.copyOf(endpoint.connections)) {
            if (hasMoved) {
                nodeConnection.retire();
            }
            nodeConnection.dropStale();
            closeUnused(nodeConnection, nodeConnection.closeReasonWhenUnused());
        }
    }

    void forgetIfRemoved(NodeEndpoint endpoint) {
        if (endpoint.node.state == DataNode.State.GONE
                && endpoint.connections.isEmpty()
                && (endpoint.http2 == null || endpoint.http2.isIdle())) {
            endpoints.remove(endpoint.node);
        }
    }

    /** The module wants new connections to that node: those with nothing in flight are closed. */
    void closeIdle(NodeEndpoint endpoint) {
        for (NodeConnection nodeConnection : List.copyOf(endpoint.connections)) {
            if (nodeConnection.slotsInUse() == 0) {
                nodeConnection.close(CloseReason.RELEASED);
            }
        }
    }

    /** The connection that takes a batch, a new one where no other can; null where none can be opened. */
    NodeConnection connectionFor(AttemptBatch batch) {
        NodeEndpoint endpoint = endpointOf(batch.sentAttempts.get(0).attempt.node);
        NodeConnection bestConnection = null;
        for (NodeConnection nodeConnection : List.copyOf(endpoint.connections)) {
            if (nodeConnection.slotsInUse() == 0
                    && nowUs() - nodeConnection.lastUsedUs() >= idleTimeoutUs) {
                nodeConnection.close(CloseReason.IDLE_TIMEOUT);
            } else if (canTake(nodeConnection, batch)
                    && (bestConnection == null
                            || (nodeConnection.isUp() && !bestConnection.isUp()))) {
                bestConnection = nodeConnection;
            }
        }
        return bestConnection == null ? open(endpoint) : bestConnection;
    }

    private boolean canTake(NodeConnection nodeConnection, AttemptBatch batch) {
        return nodeConnection.slotsInUse() < settings.callsPerConnection()
                && nodeConnection.isUsable()
                && batch.sentAttempts.stream().noneMatch(nodeConnection::hasIdInUse);
    }

    private NodeConnection open(NodeEndpoint endpoint) {
        if (endpoint.address == null || !canOpenConnection()) {
            return null;
        }
        NodeConnection nodeConnection = new NodeConnection(this, dispatcher, endpoint);
        try {
            Connection connection = network.connect(endpoint.address, nodeConnection);
            nodeConnection.attach(
                    connection,
                    loop.schedule(
                            nowUs() + settings.connectTimeoutUs(),
                            () -> connection.close(CloseReason.CONNECT_TIMEOUT)));
            descriptors.nodeOpened();
            endpoint.connections.add(nodeConnection);
            return nodeConnection;
        } catch (IOException | RuntimeException e) {
            LOG.logFailure(Level.WARNING, "node_connect_failed", e, "node", endpoint.address);
            return null;
        }
    }

    /** A connection with nothing in flight is closed before its node's machine does it. */
    EventLoop.Timer scheduleIdleClose(NodeConnection nodeConnection) {
        CloseReason closeReason = nodeConnection.closeReasonWhenUnused();
        if (closeReason != null) {
            loop.execute(() -> closeUnused(nodeConnection, closeReason));
            return null;
        }
        return loop.schedule(
                nodeConnection.lastUsedUs() + idleTimeoutUs,
                () -> closeUnused(nodeConnection, CloseReason.IDLE_TIMEOUT));
    }

    private static void closeUnused(NodeConnection nodeConnection, CloseReason closeReason) {
        if (nodeConnection.slotsInUse() == 0 && closeReason != null) {
            nodeConnection.close(closeReason);
        }
    }

    void connectionClosed(NodeConnection nodeConnection) {
        nodeConnection.endpoint().connections.remove(nodeConnection);
        descriptors.nodeClosed();
        forgetIfRemoved(nodeConnection.endpoint());
    }

    /** Nothing more will be sent. */
    void closeAll() {
        List.copyOf(endpoints.values())
                .forEach(endpoint -> List.copyOf(endpoint.connections)
                        .forEach(c -> c.close(CloseReason.COMPLETED)));
    }
}

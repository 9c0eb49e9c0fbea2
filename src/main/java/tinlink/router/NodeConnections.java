package tinlink.router;

import tinlink.config.RouterConfig;
import tinlink.decision.DataNode;
import tinlink.net.CloseReason;
import tinlink.net.Connection;
import tinlink.net.EventLog;
import tinlink.net.EventLoop;
import tinlink.net.FrameTimeout;
import tinlink.net.Network;

import java.io.IOException;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.logging.Level;

/**
 * The framed connections of this router to data nodes. Chooses the connection for each batch, opens one if
 * no other can take it, and closes unused ones. Event loop thread only; the number of nodes is bounded by
 * the endpoint list, that of connections by the file descriptors.
 */
final class NodeConnections {
    private static final EventLog LOG = new EventLog("tinlink.nodes");
    private final EventLoop loop;
    private final Network network;
    private final DescriptorBudget descriptors;
    private final RouterConfig.NodeConnectionSettings settings;
    private final AttemptDispatcher dispatcher;
    /** The time after which an unused connection is closed, in microseconds. */
    private final long idleTimeoutUs;

    private ClientAcceptor acceptor;
    /** Data nodes that are in the endpoint list or still have connections. */
    private final IdentityHashMap<DataNode, NodeEndpoint> endpoints = new IdentityHashMap<>();

    /** @param dispatcher records the outcomes of the attempts on these connections */
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
        // A request written after the data node has closed the connection is answered by a reset.
        // The router therefore closes idle connections first. The margin is the connect timeout,
        // since no message is in transit for longer.
        idleTimeoutUs = Math.max(
                settings.idleTimeoutUs() / 2,
                settings.idleTimeoutUs() - settings.connectTimeoutUs());
    }

    /**
     * Sets the acceptor whose idle client connections are closed to free descriptors for data nodes. Called
     * once, before the first turn.
     */
    void setAcceptor(ClientAcceptor acceptor) {
        this.acceptor = acceptor;
    }

    /** The time after which an unused connection is closed, in microseconds. */
    long idleTimeoutUs() {
        return idleTimeoutUs;
    }

    /**
     * Whether a descriptor is available for one more connection to a data node. An idle client connection is
     * closed if that is needed to free one.
     */
    boolean canOpenConnection() {
        return descriptors.hasForNode() || acceptor.closeIdle();
    }

    DescriptorBudget descriptors() {
        return descriptors;
    }

    long nowUs() {
        return loop.nowUs();
    }

    /** Returns a timeout for the rest of a frame, which has to arrive within the connect timeout. */
    FrameTimeout newFrameTimeout(Runnable task) {
        return new FrameTimeout(loop, settings.connectTimeoutUs(), task);
    }

    /**
     * The time within which a message written in this turn arrives, in microseconds. A turn and the transit
     * to a data node together take a fraction of the connect timeout.
     */
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

    /**
     * Called when the state or address of a data node has changed, which can make queued attempts and open
     * connections stale.
     */
    void endpointChanged(NodeEndpoint endpoint, boolean moved) {
        for (NodeConnection nodeConnection : List.copyOf(endpoint.connections)) {
            if (moved) {
                nodeConnection.retire();
            }
            nodeConnection.dropStale();
            closeUnused(nodeConnection, nodeConnection.closeReasonWhenUnused());
        }
    }

    /** Drops a data node that has left the endpoint list and has no connections. */
    void forgetIfRemoved(NodeEndpoint endpoint) {
        if (endpoint.node.state == DataNode.State.GONE
                && endpoint.connections.isEmpty()
                && (endpoint.http2 == null || endpoint.http2.isIdle())) {
            endpoints.remove(endpoint.node);
        }
    }

    /** Closes connections with nothing in flight, because the decision module wants new ones. */
    void closeIdle(NodeEndpoint endpoint) {
        for (NodeConnection nodeConnection : List.copyOf(endpoint.connections)) {
            if (nodeConnection.slotsInUse() == 0) {
                nodeConnection.close(CloseReason.RELEASED);
            }
        }
    }

    /** Returns the connection for a batch, opened if no other can take it; null if none can be opened. */
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

    /** Schedules the close of a connection with nothing in flight, before the data node closes it. */
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

    /** Closes all connections when the router stops. */
    void closeAll() {
        List.copyOf(endpoints.values())
                .forEach(endpoint -> List.copyOf(endpoint.connections)
                        .forEach(connection -> connection.close(CloseReason.COMPLETED)));
    }
}

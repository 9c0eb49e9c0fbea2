package tinlink.router;

import tinlink.config.RouterConfig;
import tinlink.decision.Attempt;
import tinlink.decision.DataNode;
import tinlink.decision.Outcome;
import tinlink.net.CloseReason;
import tinlink.net.Connection;
import tinlink.net.EventLog;
import tinlink.net.EventLoop;
import tinlink.net.Network;

import java.io.IOException;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.logging.Level;

/**
 * Sends attempts to data nodes: frames, connections, timeouts, and each attempt's one outcome.
 */
final class AttemptDispatcher {
    private static final EventLog LOG = new EventLog("tinlink.nodes");
    private final EventLoop loop;
    private final Network network;
    private final DescriptorBudget descriptors;
    private final DecisionDriver driver;
    private final RouterConfig.NodeConnectionSettings settings;
    private final long idleTimeoutUs;
    private final Http2Dispatcher http2;
    private ClientAcceptor acceptor;
    /** Null where nobody wants to know. */
    private BiConsumer<String, Outcome> outcomeListener;
    /** Nodes on the list, and those off it with connections; each leaves when it is neither. */
    private final IdentityHashMap<DataNode, NodeEndpoint> endpoints = new IdentityHashMap<>();
    /** This turn's frames; emptied at its end. */
    private final IdentityHashMap<Attempt.SharedCall, AttemptBatch> batches =
            new IdentityHashMap<>();

    private final List<AttemptBatch> batchesToSend = new ArrayList<>();

    AttemptDispatcher(
            EventLoop loop,
            Network network,
            DescriptorBudget descriptors,
            DecisionDriver driver,
            RouterConfig.NodeConnectionSettings settings) {
        this.loop = loop;
        this.network = network;
        this.descriptors = descriptors;
        this.driver = driver;
        this.settings = settings;
        // Danger: what is written after the node's machine has closed ends as a reset. Ours closes
        // first, by
        // as much as a connect may take: no message is under way for longer.
        idleTimeoutUs = Math.max(
                settings.idleTimeoutUs() / 2,
                settings.idleTimeoutUs() - settings.connectTimeoutUs());
        http2 = new Http2Dispatcher(loop, network, this, settings, idleTimeoutUs);
    }

    /** A descriptor for one more connection to a data node; an idle client's gives way to it. */
    boolean canOpenConnection() {
        return descriptors.hasForNode() || acceptor.closeIdle();
    }

    DescriptorBudget descriptors() {
        return descriptors;
    }

    Http2Dispatcher http2() {
        return http2;
    }

    /** Notified of each attempt's outcome at a data node of the list. */
    void setOutcomeListener(BiConsumer<String, Outcome> listener) {
        outcomeListener = listener;
    }

    void setAcceptor(ClientAcceptor acceptor) {
        this.acceptor = acceptor;
    }

    long nowUs() {
        return loop.nowUs();
    }

    /** A frame comes whole within the time in which a connection comes up. */
    EventLoop.Timer scheduleFrameTimeout(Runnable task) {
        return loop.schedule(nowUs() + settings.connectTimeoutUs(), task);
    }

    /**
     * What leaves in this turn has arrived by then; a turn and a way to a node are a part of a
     * connect.
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

    // ---- Changes of the endpoint list. ----

    NodeEndpoint endpointOf(DataNode node) {
        return endpoints.computeIfAbsent(node, NodeEndpoint::new);
    }

    /** Its state or address has changed: what waits for it may be stale, and so may connections. */
    void endpointChanged(NodeEndpoint endpoint, boolean hasMoved) {
        for (NodeConnection nodeConnection : List.copyOf(endpoint.connections)) {
            if (hasMoved) {
                nodeConnection.retire();
            }
            nodeConnection.dropStale();
            closeUnused(nodeConnection, nodeConnection.closeReasonWhenUnused());
        }
        http2.endpointChanged(endpoint, hasMoved);
        forgetIfRemoved(endpoint);
    }

    void forgetIfRemoved(NodeEndpoint endpoint) {
        if (endpoint.node.state == DataNode.State.GONE
                && endpoint.connections.isEmpty()
                && (endpoint.http2 == null || endpoint.http2.isIdle())) {
            endpoints.remove(endpoint.node);
        }
    }

    // ---- Decisions. ----

    void send(Attempt attempt, long deadlineUs) {
        SentAttempt sent = new SentAttempt(attempt, deadlineUs);
        sent.part().sentAttempts.add(sent);
        NodeEndpoint endpoint = endpointOf(attempt.node);
        if (endpoint.remoteSender != null) {
            endpoint.remoteSender.accept(sent);
            return;
        }
        endpoint.attemptsInFlight++;
        sent.endpoint = endpoint;
        sent.timeoutTimer = loop.schedule(deadlineUs, () -> timedOut(sent));
        if (http2.isOffered(endpoint)) {
            http2.send(endpoint, sent);
            return;
        }
        sendByFrames(sent);
    }

    /** With others of this turn that the module lets travel together. */
    void sendByFrames(SentAttempt sent) {
        Attempt attempt = sent.attempt;
        AttemptBatch batch = batches.computeIfAbsent(attempt.sharedCall, key -> new AttemptBatch());
        if (batch.sentAttempts.isEmpty()) {
            batchesToSend.add(batch);
        }
        batch.sentAttempts.add(sent);
        batch.attemptsInFlight++;
        sent.batch = batch;
        sent.transport = batch;
    }

    void cancel(Attempt attempt) {
        SentAttempt sent = ((QueryPart) attempt.part).sentAttempts.get(attempt.number);
        if (!sent.isEnded) {
            recordOutcome(
                    sent, sent.transport.isQueued() ? Outcome.NOT_SENT : Outcome.CANCELLED, true);
        }
    }

    void release(DataNode node) {
        for (NodeConnection nodeConnection : List.copyOf(endpointOf(node).connections)) {
            if (nodeConnection.slotsInUse() == 0) {
                nodeConnection.close(CloseReason.RELEASED);
            }
        }
        http2.release(endpointOf(node));
    }

    /** Puts this turn's frames on connections. */
    void flush() {
        flushFrames();
        http2.flush();
    }

    void flushFrames() {
        for (AttemptBatch batch : batchesToSend) {
            if (batch.attemptsInFlight > 0) {
                assignConnection(batch);
            }
        }
        batchesToSend.clear();
        batches.clear();
    }

    private void assignConnection(AttemptBatch batch) {
        NodeEndpoint endpoint = endpointOf(batch.sentAttempts.get(0).attempt.node);
        NodeConnection bestConnection = null;
        for (NodeConnection nodeConnection : List.copyOf(endpoint.connections)) {
            if (nodeConnection.slotsInUse() == 0
                    && nowUs() - nodeConnection.lastUsedUs() >= idleTimeoutUs) {
                nodeConnection.close(CloseReason.IDLE_TIMEOUT);
            } else if (nodeConnection.slotsInUse() < settings.callsPerConnection()
                    && nodeConnection.isUsable()
                    && batch.sentAttempts.stream().noneMatch(nodeConnection::hasIdInUse)
                    && (bestConnection == null
                            || (nodeConnection.isUp() && !bestConnection.isUp()))) {
                bestConnection = nodeConnection;
            }
        }
        bestConnection = bestConnection == null ? openConnection(endpoint) : bestConnection;
        if (bestConnection != null) {
            bestConnection.enqueue(batch);
            return;
        }
        for (SentAttempt sent : batch.sentAttempts) {
            if (!sent.isEnded) {
                recordOutcome(sent, CloseReason.NO_DESCRIPTOR.toOutcome(false, true), false);
            }
        }
    }

    private NodeConnection openConnection(NodeEndpoint endpoint) {
        if (endpoint.address == null || !canOpenConnection()) {
            return null;
        }
        NodeConnection nodeConnection = new NodeConnection(this, endpoint, nowUs());
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

    /** Nothing more will be sent. */
    void closeAll() {
        List.copyOf(endpoints.values())
                .forEach(endpoint -> List.copyOf(endpoint.connections)
                        .forEach(nodeConnection -> nodeConnection.close(CloseReason.COMPLETED)));
    }

    // ---- Outcomes. ----

    /** The deadline has passed. */
    private void timedOut(SentAttempt sent) {
        if (!sent.isEnded) {
            boolean wasQueued = sent.transport.isQueued();
            sent.transport.onTimeout(sent);
            recordOutcome(sent, wasQueued ? Outcome.NOT_SENT : Outcome.NO_ANSWER, true);
        }
    }

    /**
     * The one outcome of an attempt; one that is abandoned is cancelled at its node, where that is
     * allowed.
     */
    void recordOutcome(SentAttempt sent, Outcome outcome, boolean cancelAtNode) {
        sent.isEnded = true;
        loop.cancel(sent.timeoutTimer);
        sent.timeoutTimer = null;
        if (sent.endpoint != null) {
            sent.endpoint.attemptsInFlight--;
            if (outcomeListener != null && sent.endpoint.uid != null) {
                outcomeListener.accept(sent.endpoint.uid, outcome);
            }
        }
        sent.transport.onOutcome(sent, cancelAtNode && settings.canCancel());
        driver.outcome(sent, outcome);
    }

    // ---- Connections. ----

    /** A connection with no call in flight is closed before its node's machine does it. */
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
}

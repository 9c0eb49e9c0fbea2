package tinlink.router;

import tinlink.config.RouterConfig;
import tinlink.decision.Attempt;
import tinlink.decision.DataNode;
import tinlink.decision.Outcome;
import tinlink.net.CloseReason;
import tinlink.net.EventLoop;
import tinlink.net.Network;

import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * Sends attempts to data nodes and to routers of other sites, batched per turn of the event loop, and records
 * exactly one outcome for each. Event loop thread only.
 */
final class AttemptDispatcher {
    private final EventLoop loop;
    private final DecisionDriver driver;
    private final boolean cancelEnabled;
    private final NodeConnections connections;
    private final Http2Dispatcher http2;
    /** Notified of each outcome with the uid of the data node; null if there is no listener. */
    private BiConsumer<String, Outcome> outcomeListener;
    /** The batches of this turn by the call that their attempts share; emptied at the end of the turn. */
    private final IdentityHashMap<Attempt.SharedCall, AttemptBatch> batches =
            new IdentityHashMap<>();

    /** The batches of this turn in the order in which they were created. */
    private final List<AttemptBatch> batchesToSend = new ArrayList<>();

    AttemptDispatcher(
            EventLoop loop,
            Network network,
            DescriptorBudget descriptors,
            DecisionDriver driver,
            RouterConfig.NodeConnectionSettings settings) {
        this.loop = loop;
        this.driver = driver;
        cancelEnabled = settings.canCancel();
        connections = new NodeConnections(loop, network, descriptors, settings, this);
        http2 = new Http2Dispatcher(loop, network, this, connections, settings);
    }

    /** The data nodes and the framed connections to them. */
    NodeConnections connections() {
        return connections;
    }

    Http2Dispatcher http2() {
        return http2;
    }

    /** Sets the listener for outcomes at listed data nodes, which is passed the uid of the node. */
    void setOutcomeListener(BiConsumer<String, Outcome> listener) {
        outcomeListener = listener;
    }

    NodeEndpoint endpointOf(DataNode node) {
        return connections.endpointOf(node);
    }

    /**
     * Called when the endpoint list has changed the state or address of a data node, which can make queued
     * attempts and open connections stale.
     */
    void endpointChanged(NodeEndpoint endpoint, boolean moved) {
        connections.endpointChanged(endpoint, moved);
        http2.endpointChanged(endpoint, moved);
        connections.forgetIfRemoved(endpoint);
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
        } else {
            sendByFrames(sent);
        }
    }

    /** Adds the attempt to the batch of this turn that shares its call, as the decision module chose. */
    void sendByFrames(SentAttempt sent) {
        AttemptBatch batch =
                batches.computeIfAbsent(sent.attempt.sharedCall, key -> new AttemptBatch());
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
        if (!sent.ended) {
            recordOutcome(
                    sent, sent.transport.isQueued() ? Outcome.NOT_SENT : Outcome.CANCELLED, true);
        }
    }

    /** Closes the connections to that data node on which nothing is in flight. */
    void closeIdleConnections(DataNode node) {
        NodeEndpoint endpoint = endpointOf(node);
        connections.closeIdle(endpoint);
        http2.release(endpoint);
    }

    /** Passes the attempts of this turn to connections. */
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
        NodeConnection connection = connections.connectionFor(batch);
        if (connection != null) {
            connection.enqueue(batch);
            return;
        }
        for (SentAttempt sent : batch.sentAttempts) {
            if (!sent.ended) {
                recordOutcome(sent, CloseReason.NO_DESCRIPTOR.toOutcome(false, true), false);
            }
        }
    }

    // ---- Outcomes. ----

    /** Ends an attempt whose deadline has passed. */
    private void timedOut(SentAttempt sent) {
        if (!sent.ended) {
            boolean wasQueued = sent.transport.isQueued();
            sent.transport.onTimeout(sent);
            recordOutcome(sent, wasQueued ? Outcome.NOT_SENT : Outcome.NO_ANSWER, true);
        }
    }

    /**
     * Records the outcome of an attempt; called once for each.
     *
     * @param cancelAtNode whether the attempt is abandoned, so that the data node is asked to cancel it if
     *     the settings allow that
     */
    void recordOutcome(SentAttempt sent, Outcome outcome, boolean cancelAtNode) {
        sent.ended = true;
        loop.cancel(sent.timeoutTimer);
        sent.timeoutTimer = null;
        if (sent.endpoint != null) {
            sent.endpoint.attemptsInFlight--;
            if (outcomeListener != null && sent.endpoint.uid != null) {
                outcomeListener.accept(sent.endpoint.uid, outcome);
            }
        }
        sent.transport.onOutcome(sent, cancelAtNode && cancelEnabled);
        driver.outcome(sent, outcome);
    }
}

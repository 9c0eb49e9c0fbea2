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
 * Sends attempts to data nodes and to routers of other sites, in batches of one turn, and gives each its one
 * outcome. Of the event loop's thread.
 */
final class AttemptDispatcher {
    private final EventLoop loop;
    private final DecisionDriver driver;
    private final boolean canCancel;
    private final NodeConnections connections;
    private final Http2Dispatcher http2;
    /** Null where nobody wants to know. */
    private BiConsumer<String, Outcome> outcomeListener;
    /** This turn's batches; emptied at its end. */
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
        this.driver = driver;
        canCancel = settings.canCancel();
        connections = new NodeConnections(loop, network, descriptors, settings, this);
        http2 = new Http2Dispatcher(loop, network, this, connections, settings);
    }

    /** Framed connections to data nodes, and the nodes themselves. */
    NodeConnections connections() {
        return connections;
    }

    Http2Dispatcher http2() {
        return http2;
    }

    /** Notified of each attempt's outcome at a data node of the list, by the node's uid. */
    void setOutcomeListener(BiConsumer<String, Outcome> listener) {
        outcomeListener = listener;
    }

    NodeEndpoint endpointOf(DataNode node) {
        return connections.endpointOf(node);
    }

    /**
     * The list has changed a node's state or address: what is queued for it may be stale, and so may
     * connections.
     */
    void endpointChanged(NodeEndpoint endpoint, boolean hasMoved) {
        connections.endpointChanged(endpoint, hasMoved);
        http2.endpointChanged(endpoint, hasMoved);
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

    /** With others of this turn that the module lets travel together. */
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
        if (!sent.isEnded) {
            recordOutcome(
                    sent, sent.transport.isQueued() ? Outcome.NOT_SENT : Outcome.CANCELLED, true);
        }
    }

    /** Closes the connections to that node on which nothing is in flight. */
    void closeIdleConnections(DataNode node) {
        NodeEndpoint endpoint = endpointOf(node);
        connections.closeIdle(endpoint);
        http2.release(endpoint);
    }

    /** Puts this turn's frames on connections. */
    void flush() {
        flushFrames();
        http2.flush();
    }

    void flushFrames() {
        for (AttemptBatch batch : batchesToSend) {
            if (batch.attemptsInFlight > 0) {
                place(batch);
            }
        }
        batchesToSend.clear();
        batches.clear();
    }

    private void place(AttemptBatch batch) {
        NodeConnection connection = connections.connectionFor(batch);
        if (connection != null) {
            connection.enqueue(batch);
            return;
        }
        for (SentAttempt sent : batch.sentAttempts) {
            if (!sent.isEnded) {
                recordOutcome(sent, CloseReason.NO_DESCRIPTOR.toOutcome(false, true), false);
            }
        }
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
     * The one outcome of an attempt.
     *
     * @param cancelAtNode it is abandoned, and taken off its node where the settings allow it
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
        sent.transport.onOutcome(sent, cancelAtNode && canCancel);
        driver.outcome(sent, outcome);
    }
}

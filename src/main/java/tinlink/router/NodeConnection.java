package tinlink.router;

import tinlink.decision.DataNode;
import tinlink.decision.Outcome;
import tinlink.net.CloseReason;
import tinlink.net.Connection;
import tinlink.net.EventLog;
import tinlink.net.EventLoop;
import tinlink.net.FrameReader;
import tinlink.net.MessageRejectedException;
import tinlink.net.RingBuffer;

import java.util.ArrayDeque;
import java.util.List;
import java.util.logging.Level;

/** One connection to a data node, and the attempts that are in flight on it. Of the event loop's thread. */
final class NodeConnection implements Connection.Listener, FrameReader.FrameListener {
    private static final EventLog LOG = new EventLog("tinlink.nodes");

    /**
     * Danger: of frames that are written together none can be recalled once one is stuck. A frame is put
     * behind others only as long as these have fewer bytes than this.
     */
    private static final int MAX_WRITE_BYTES = 4096;

    private final NodeConnections connections;
    private final AttemptDispatcher dispatcher;
    private final NodeEndpoint endpoint;
    private final FrameReader reader = new FrameReader(this);
    private final AwaitedAnswers awaited;
    /** Frames to come, and ids to cancel; they go into the buffer only when they can leave at once. */
    private final ArrayDeque<AttemptBatch> queuedBatches = new ArrayDeque<>();

    private final ArrayDeque<String> idsToCancel = new ArrayDeque<>();
    private Connection connection;
    /** Slots in use: one a batch. */
    private int slotsInUse;

    private long lastUsedUs;
    private long lastAnswerUs;
    private boolean isUnresponsive;
    private boolean isRetired;
    private EventLoop.Timer connectTimer;
    private EventLoop.Timer idleTimer;
    /** Runs while a frame has begun and has not come whole. */
    private EventLoop.Timer frameTimer;

    NodeConnection(
            NodeConnections connections, AttemptDispatcher dispatcher, NodeEndpoint endpoint) {
        this.connections = connections;
        this.dispatcher = dispatcher;
        this.endpoint = endpoint;
        awaited = new AwaitedAnswers(connections.callsPerConnection());
        lastUsedUs = connections.nowUs();
    }

    void attach(Connection connection, EventLoop.Timer connectTimer) {
        this.connection = connection;
        this.connectTimer = connectTimer;
    }

    NodeEndpoint endpoint() {
        return endpoint;
    }

    int slotsInUse() {
        return slotsInUse;
    }

    long lastUsedUs() {
        return lastUsedUs;
    }

    boolean isUp() {
        return connection != null && connection.isUp();
    }

    /**
     * Danger: a machine that has vanished leaves its connections open; one on which a call went unanswered,
     * with nothing heard since, is not trusted with the next. Nor is one to a node that has moved or started
     * anew since: what is in flight on it may still be answered, what is new would be lost.
     */
    boolean isUsable() {
        return !isUnresponsive && !isRetired;
    }

    /** Why it is closed once no call is in flight on it; null where it stays for the next. */
    CloseReason closeReasonWhenUnused() {
        boolean isRemoved = isRetired || endpoint.node.state == DataNode.State.GONE;
        return isUnresponsive
                ? CloseReason.UNRESPONSIVE
                : isRemoved ? CloseReason.ENDPOINT_REMOVED : null;
    }

    /** Its node has moved, or has started anew. */
    void retire() {
        isRetired = true;
    }

    /** Danger: an answer to an earlier attempt of that id would pass for one to the new. */
    boolean hasIdInUse(SentAttempt sent) {
        return awaited.isIdInUse(sent.part().id);
    }

    void close(CloseReason closeReason) {
        if (connection != null) {
            connection.close(closeReason);
        }
    }

    void enqueue(AttemptBatch batch) {
        batch.connection = this;
        slotsInUse++;
        connections.cancelTimer(idleTimer);
        queuedBatches.add(batch);
        flush();
    }

    /** One attempt has ended, and is cancelled at its node if its frame is out. */
    void attemptEnded(SentAttempt sent, boolean cancelAtNode) {
        if (!sent.batch.isQueued() && awaited.ended(sent) && cancelAtNode) {
            idsToCancel.add(sent.part().id);
            flush();
        }
        if (--sent.batch.attemptsInFlight == 0) {
            queuedBatches.remove(sent.batch);
            slotsInUse--;
            lastUsedUs = connections.nowUs();
            if (slotsInUse == 0 && !connection.isClosed()) {
                idleTimer = connections.scheduleIdleClose(this);
            }
        }
    }

    /** An attempt on it went unanswered for all its time. */
    void attemptTimedOut(SentAttempt sent) {
        isUnresponsive |= !sent.batch.isQueued() && lastAnswerUs < sent.attempt.sentAtUs;
    }

    private boolean mayHaveLeft(SentAttempt sent) {
        return !sent.batch.isQueued() && connection.mayHaveLeft(sent.batch.frameEndPosition);
    }

    @Override
    public void connected() {
        connections.cancelTimer(connectTimer);
        flush();
    }

    @Override
    public void writesCompleted() {
        flush();
    }

    /** Writes what is queued, if it can leave at once. */
    private void flush() {
        if (connection == null || !connection.canWriteNow()) {
            return;
        }
        RingBuffer out = connection.out();
        while (!idsToCancel.isEmpty()) {
            NodeFrames.writeCancel(out, idsToCancel.poll());
            connection.scheduleWrite();
        }
        while (!queuedBatches.isEmpty() && out.size() < MAX_WRITE_BYTES) {
            AttemptBatch batch = queuedBatches.poll();
            dropStale(batch);
            if (batch.attemptsInFlight > 0) {
                write(batch, out);
            }
        }
    }

    private void write(AttemptBatch batch, RingBuffer out) {
        NodeFrames.writeRequest(out, batch, connections.nowUs());
        for (SentAttempt sent : batch.sentAttempts) {
            if (!sent.isEnded) {
                awaited.sent(sent);
            }
        }
        batch.frameEndPosition = connection.scheduleWrite();
        lastUsedUs = connections.nowUs();
    }

    /** Nothing of what is queued goes out that its node should not run any more. */
    void dropStale() {
        List.copyOf(queuedBatches).forEach(this::dropStale);
    }

    /**
     * Danger: what is queued for a connection may go out after its lookup has ended, its node was listed as
     * draining or removed, or its key's window has passed or will have when it arrives.
     */
    private void dropStale(AttemptBatch batch) {
        for (SentAttempt sent : List.copyOf(batch.sentAttempts)) {
            if (!sent.isEnded
                    && (sent.attempt.part.lookup.isEnded
                            || sent.attempt.part.isSatisfied
                            || endpoint.node.state != DataNode.State.READY
                            || connections.nowUs() + connections.maxTransitUs()
                                    > sent.effectDeadlineUs())) {
                dispatcher.recordOutcome(sent, Outcome.NOT_SENT, false);
            }
        }
    }

    @Override
    public void bytesReceived(RingBuffer in) {
        try {
            reader.read(in);
        } catch (MessageRejectedException e) {
            LOG.log(
                    Level.FINE,
                    "node_protocol_error",
                    "node",
                    endpoint.address,
                    "reason",
                    e.getMessage());
            connection.close(CloseReason.PROTOCOL_ERROR);
        }
        if (reader.isAtBoundary() != (frameTimer == null)) {
            connections.cancelTimer(frameTimer);
            // Danger: a frame that stops in its middle would hold all that is in flight here until
            // its time is over.
            frameTimer = reader.isAtBoundary() || connection.isClosed()
                    ? null
                    : connections.scheduleFrameTimeout(
                            () -> connection.close(CloseReason.PROTOCOL_ERROR));
        }
    }

    /** Danger: an answer to what was never sent here: what else comes on the connection can't be trusted. */
    @Override
    public void answerStarted(String partId) throws MessageRejectedException {
        if (!awaited.isExpected(partId)) {
            throw new MessageRejectedException(502, "an answer to a call that was not sent");
        }
    }

    /** Danger: only a complete answer shows that the node lives; noise does not. */
    @Override
    public void answerReceived(String partId, String status, String loadReport, String value) {
        lastAnswerUs = connections.nowUs();
        isUnresponsive = false;
        SentAttempt sent = awaited.answered(partId);
        if (sent == null) {
            return;
        }
        if (status.equals("OK")) {
            sent.part().value = value;
        }
        Outcome outcome =
                switch (status) {
                    case "OK" -> Outcome.SATISFIED;
                    case "ERROR" -> Outcome.ERROR;
                    default -> Outcome.REJECTED;
                };
        dispatcher.recordOutcome(sent, outcome, false);
    }

    @Override
    public void frameRejected(String message) {
        LOG.log(Level.FINE, "frame_rejected", "node", endpoint.address, "reason", message);
        connection.close(CloseReason.FRAME_REJECTED);
    }

    @Override
    public void connectionClosed(CloseReason closeReason) {
        connections.cancelTimer(connectTimer);
        connections.cancelTimer(idleTimer);
        connections.cancelTimer(frameTimer);
        LOG.log(
                Level.FINE,
                "node_connection_closed",
                "node",
                endpoint.address,
                "reason",
                closeReason,
                "in_flight",
                slotsInUse);
        // One answer was spoilt: it is held to be that of the call that has waited longest. A
        // connection that has
        // carried answers and closes in order was closed between two, and speaks of no call.
        List<SentAttempt> lost = awaited.oldestFirst();
        SentAttempt oldestLost = lost.isEmpty() ? null : lost.get(0);
        queuedBatches.forEach(batch -> lost.addAll(batch.sentAttempts));
        connections.connectionClosed(this);
        for (SentAttempt sent : lost) {
            if (!sent.isEnded) {
                boolean concernsCall = closeReason == CloseReason.PEER_CLOSED
                        ? lastAnswerUs == 0
                        : sent == oldestLost;
                dispatcher.recordOutcome(
                        sent, closeReason.toOutcome(mayHaveLeft(sent), concernsCall), false);
            }
        }
    }
}

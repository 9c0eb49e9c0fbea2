package tinlink.router;

import tinlink.decision.DataNode;
import tinlink.decision.Outcome;
import tinlink.net.CloseReason;
import tinlink.net.Connection;
import tinlink.net.EventLog;
import tinlink.net.EventLoop;
import tinlink.net.FrameReader;
import tinlink.net.FrameTimeout;
import tinlink.net.MessageRejectedException;
import tinlink.net.RingBuffer;

import java.util.ArrayDeque;
import java.util.List;
import java.util.logging.Level;

/** A framed connection to a data node, and the attempts in flight on it. Event loop thread only. */
final class NodeConnection implements Connection.Listener, FrameReader.FrameListener {
    private static final EventLog LOG = new EventLog("tinlink.nodes");

    private final NodeConnections connections;
    private final AttemptDispatcher dispatcher;
    private final NodeEndpoint endpoint;
    private final FrameReader reader = new FrameReader(this);
    private final AwaitedAnswers awaited;
    /**
     * Batches not yet written; a batch enters the write buffer only when the buffer can be written at once.
     */
    private final ArrayDeque<AttemptBatch> queuedBatches = new ArrayDeque<>();

    /**
     * Part ids whose cancel frames are not yet written; these too wait until the buffer can be written at
     * once.
     */
    private final ArrayDeque<String> idsToCancel = new ArrayDeque<>();
    /** Null until the connect has begun. */
    private Connection connection;
    /** The number of slots in use, one per batch in flight. */
    private int slotsInUse;

    /** When a frame was last written or a slot became free, in microseconds of the event loop's clock. */
    private long lastUsedUs;
    /** When the latest complete answer arrived, on the same clock; 0 before the first. */
    private long lastAnswerUs;
    /**
     * Whether an attempt timed out on this connection and no answer has arrived since that attempt was sent.
     */
    private boolean unresponsive;
    /** Whether the data node has moved or restarted since the connection was opened. */
    private boolean retired;
    /** The timer of the connect timeout; cancelled when the connection is up or closed. */
    private EventLoop.Timer connectTimer;
    /**
     * The timer that closes the connection at the idle timeout. Scheduled when the last slot in use becomes
     * free, unless the connection is then closed at once; cancelled when a batch is enqueued or the
     * connection is closed.
     */
    private EventLoop.Timer idleTimer;
    /**
     * Closes the connection if the rest of a partly received frame doesn't arrive within the connect timeout:
     * it would block every attempt in flight on the connection until its deadline.
     */
    private final FrameTimeout frameTimeout;

    NodeConnection(
            NodeConnections connections, AttemptDispatcher dispatcher, NodeEndpoint endpoint) {
        this.connections = connections;
        this.dispatcher = dispatcher;
        this.endpoint = endpoint;
        awaited = new AwaitedAnswers(connections.callsPerConnection());
        lastUsedUs = connections.nowUs();
        frameTimeout = connections.newFrameTimeout(() -> close(CloseReason.PROTOCOL_ERROR));
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
     * Returns whether new attempts may use the connection. A machine that vanishes leaves its connections
     * open, so a connection on which an attempt timed out, with no answer received since, takes no new
     * attempts. Neither does a connection to a data node that has moved or restarted: attempts in flight on
     * it may still be answered, but new attempts would be lost.
     */
    boolean isUsable() {
        return !unresponsive && !retired;
    }

    /**
     * Returns the reason to close the connection once nothing is in flight; null if it stays open for reuse.
     */
    CloseReason closeReasonWhenUnused() {
        boolean obsolete = retired || endpoint.node.state == DataNode.State.GONE;
        return unresponsive
                ? CloseReason.UNRESPONSIVE
                : obsolete ? CloseReason.ENDPOINT_REMOVED : null;
    }

    /** Excludes the connection from new attempts, because the data node has moved or restarted. */
    void retire() {
        retired = true;
    }

    /**
     * Returns whether the answer to an earlier attempt with the same part id could be mistaken for the answer
     * to this attempt.
     */
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

    /** Removes an ended attempt; a cancel frame is sent on request, if the attempt had been written. */
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

    /** Called when an attempt on this connection has reached its deadline without an answer. */
    void attemptTimedOut(SentAttempt sent) {
        unresponsive |= !sent.batch.isQueued() && lastAnswerUs < sent.attempt.sentAtUs;
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

    /**
     * Moves the queued cancel frames, or else one request frame, into the buffer if it can be written at
     * once. Request frames are written one by one: if a write stalls, no frame in it can be withdrawn.
     */
    private void flush() {
        if (connection == null || !connection.canWriteNow()) {
            return;
        }
        RingBuffer out = connection.out();
        while (!idsToCancel.isEmpty()) {
            NodeFrames.writeCancel(out, idsToCancel.poll());
            connection.scheduleWrite();
        }
        while (!queuedBatches.isEmpty() && out.size() == 0) {
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
            if (!sent.ended) {
                awaited.sent(sent);
            }
        }
        batch.frameEndPosition = connection.scheduleWrite();
        lastUsedUs = connections.nowUs();
    }

    /** Ends queued attempts that the data node should not run any more. */
    void dropStale() {
        List.copyOf(queuedBatches).forEach(this::dropStale);
    }

    /**
     * Ends the stale attempts of a queued batch. While an attempt was queued, its lookup may have ended, the
     * data node may have been listed as draining or removed, or the deduplication window of its idempotency
     * key may have passed, or may pass before the frame arrives.
     */
    private void dropStale(AttemptBatch batch) {
        for (SentAttempt sent : List.copyOf(batch.sentAttempts)) {
            if (!sent.ended
                    && (sent.attempt.part.lookup.ended
                            || sent.attempt.part.satisfied
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
        frameTimeout.bytesRead(
                reader.completedFrames(), reader.isAtBoundary() || connection.isClosed());
    }

    /**
     * Rejects an answer to an attempt that was not sent on this connection: the rest of the stream can't be
     * trusted either.
     */
    @Override
    public void answerStarted(String partId) throws MessageRejectedException {
        if (!awaited.isExpected(partId)) {
            throw new MessageRejectedException(
                    502, "answer to an attempt that was not sent on this connection");
        }
    }

    /** Only a complete answer shows that the data node responds; other bytes don't. */
    @Override
    public void answerReceived(String partId, String status, String loadReport, String value) {
        lastAnswerUs = connections.nowUs();
        unresponsive = false;
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
        frameTimeout.stop();
        LOG.log(
                Level.FINE,
                "node_connection_closed",
                "node",
                endpoint.address,
                "reason",
                closeReason,
                "in_flight",
                slotsInUse);
        // After a protocol error, the damaged answer is attributed to the attempt that has waited
        // longest. An orderly close by a peer that has sent answers before falls between two
        // answers and is attributed to no attempt.
        List<SentAttempt> lost = awaited.oldestFirst();
        SentAttempt oldest = lost.isEmpty() ? null : lost.get(0);
        queuedBatches.forEach(batch -> lost.addAll(batch.sentAttempts));
        connections.connectionClosed(this);
        for (SentAttempt sent : lost) {
            if (!sent.ended) {
                boolean attributed =
                        closeReason == CloseReason.PEER_CLOSED ? lastAnswerUs == 0 : sent == oldest;
                dispatcher.recordOutcome(
                        sent, closeReason.toOutcome(mayHaveLeft(sent), attributed), false);
            }
        }
    }
}

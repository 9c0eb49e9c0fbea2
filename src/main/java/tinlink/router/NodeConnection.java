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

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.logging.Level;

/** One connection to a data node, and the attempts that are in flight on it. */
final class NodeConnection implements Connection.Listener, FrameReader.FrameListener {
    private static final EventLog LOG = new EventLog("tinlink.nodes");

    /**
     * Danger: of frames that are written together none can be recalled once one is stuck. A frame is
     * put behind others only as long as these have fewer bytes than this.
     */
    private static final int MAX_WRITE_BYTES = 4096;

    private final AttemptDispatcher dispatcher;
    private final NodeEndpoint endpoint;
    private final FrameReader reader = new FrameReader(this);
    /** Attempts whose frames are in the buffer or sent, by part id; each leaves with its outcome. */
    private final Map<String, SentAttempt> unansweredAttempts = new HashMap<>();
    /**
     * Ids that have left without an answer, which may still come: the newest, as many as may be out
     * at once.
     */
    private final Set<String> abandonedIds = new LinkedHashSet<>();
    /** Part id of the last answer; a duplicate of it may follow. */
    private String lastAnsweredId;
    /**
     * Frames to come, and ids to give up; they go into the ring only when they can leave at once.
     */
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

    NodeConnection(AttemptDispatcher dispatcher, NodeEndpoint endpoint, long nowUs) {
        this.dispatcher = dispatcher;
        this.endpoint = endpoint;
        lastUsedUs = nowUs;
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
     * Danger: a machine that has vanished leaves its connections open; one on which a call went
     * unanswered, with nothing heard since, is not trusted with the next. Nor is one to a node that
     * has moved or started anew since: what is out on it may still be answered, what is new would
     * be lost.
     */
    boolean isUsable() {
        return !isUnresponsive && !isRetired;
    }

    /** Why it is closed once no call is out on it; null where it stays for the next. */
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

    /** Danger: an answer to an earlier part call of that id would pass for one to the new. */
    boolean hasIdInUse(SentAttempt sent) {
        return unansweredAttempts.containsKey(sent.part().id)
                || abandonedIds.contains(sent.part().id);
    }

    void close(CloseReason closeReason) {
        if (connection != null) {
            connection.close(closeReason);
        }
    }

    void enqueue(AttemptBatch batch) {
        batch.connection = this;
        slotsInUse++;
        dispatcher.cancelTimer(idleTimer);
        queuedBatches.add(batch);
        flush();
    }

    /** One part call is over, and is given up if its frame is out. */
    void attemptEnded(SentAttempt sent, boolean cancelAtNode) {
        if (!sent.batch.isQueued() && unansweredAttempts.remove(sent.part().id, sent)) {
            if (!sent.isAnswered) {
                abandonedIds.add(sent.part().id);
                if (abandonedIds.size() > dispatcher.callsPerConnection()) {
                    abandonedIds.remove(abandonedIds.iterator().next());
                }
            }
            if (cancelAtNode) {
                idsToCancel.add(sent.part().id);
                flush();
            }
        }
        if (--sent.batch.attemptsInFlight == 0) {
            queuedBatches.remove(sent.batch);
            slotsInUse--;
            lastUsedUs = dispatcher.nowUs();
            if (slotsInUse == 0 && !connection.isClosed()) {
                idleTimer = dispatcher.scheduleIdleClose(this);
            }
        }
    }

    /** A call on it went unanswered for all its time. */
    void attemptTimedOut(SentAttempt sent) {
        isUnresponsive |= !sent.batch.isQueued() && lastAnswerUs < sent.attempt.sentAtUs;
    }

    boolean mayHaveLeft(SentAttempt sent) {
        return !sent.batch.isQueued() && connection.mayHaveLeft(sent.batch.frameEndPosition);
    }

    @Override
    public void connected() {
        dispatcher.cancelTimer(connectTimer);
        flush();
    }

    @Override
    public void writesCompleted() {
        flush();
    }

    /** Writes what waits, if it can leave at once. */
    void flush() {
        if (connection == null || !connection.canWriteNow()) {
            return;
        }
        RingBuffer ring = connection.out();
        while (!idsToCancel.isEmpty()) {
            byte[] idBytes = idsToCancel.poll().getBytes(StandardCharsets.UTF_8);
            ring.put(frameHeader(1 + idBytes.length, 'A')).put(idBytes);
            connection.scheduleWrite();
        }
        while (!queuedBatches.isEmpty() && ring.size() < MAX_WRITE_BYTES) {
            AttemptBatch batch = queuedBatches.poll();
            dropStale(batch);
            if (batch.attemptsInFlight > 0) {
                writeFrame(batch, ring);
                batch.frameEndPosition = connection.scheduleWrite();
                lastUsedUs = dispatcher.nowUs();
            }
        }
    }

    /**
     * Danger: what waits for a connection may go out after its lookup has ended, its node was told
     * as draining or gone, or its key's window has passed or will have when it arrives.
     */
    void dropStale(AttemptBatch batch) {
        for (SentAttempt sent : List.copyOf(batch.sentAttempts)) {
            if (!sent.isEnded
                    && (sent.attempt.part.lookup.isEnded
                            || sent.attempt.part.isSatisfied
                            || endpoint.node.state != DataNode.State.READY
                            || dispatcher.nowUs() + dispatcher.maxTransitUs()
                                    > sent.effectDeadlineUs())) {
                dispatcher.recordOutcome(sent, Outcome.NOT_SENT, false);
            }
        }
    }

    void dropStale() {
        List.copyOf(queuedBatches).forEach(this::dropStale);
    }

    private void writeFrame(AttemptBatch batch, RingBuffer ring) {
        List<byte[]> lines = new ArrayList<>();
        int length = 1;
        for (SentAttempt sent : batch.sentAttempts) {
            if (!sent.isEnded) {
                Query query = sent.part().query();
                long timeoutMs = Math.max(1, (sent.deadlineUs - dispatcher.nowUs() + 999) / 1000);
                byte[] line = (sent.part().id + " " + sent.attempt.part.shard + " d=" + timeoutMs
                                + (query.idempotencyKey == null ? "" : ",k=" + query.idempotencyKey)
                                + " " + query.text.length + "\n")
                        .getBytes(StandardCharsets.UTF_8);
                lines.add(line);
                lines.add(query.text);
                length += line.length + query.text.length;
                unansweredAttempts.put(sent.part().id, sent);
            }
        }
        ring.put(frameHeader(length, 'R'));
        lines.forEach(ring::put);
    }

    private static byte[] frameHeader(int length, char letter) {
        return new byte[] {
            (byte) (length >> 24),
            (byte) (length >> 16),
            (byte) (length >> 8),
            (byte) length,
            (byte) letter
        };
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
            dispatcher.cancelTimer(frameTimer);
            // Danger: a frame that stops in its middle would hold all that is out here until its
            // time is over.
            frameTimer = reader.isAtBoundary() || connection.isClosed()
                    ? null
                    : dispatcher.scheduleFrameTimeout(
                            () -> connection.close(CloseReason.PROTOCOL_ERROR));
        }
    }

    /**
     * Danger: an answer to what was never sent here: what else comes on the connection can't be
     * trusted.
     */
    @Override
    public void answerStarted(String partId) throws MessageRejectedException {
        if (!unansweredAttempts.containsKey(partId)
                && !abandonedIds.contains(partId)
                && !partId.equals(lastAnsweredId)) {
            throw new MessageRejectedException(502, "an answer to a call that was not sent");
        }
    }

    /** Danger: only a whole answer shows that the node lives; noise does not. */
    @Override
    public void answerReceived(String partId, String status, String loadReport, String value) {
        lastAnswerUs = dispatcher.nowUs();
        isUnresponsive = false;
        lastAnsweredId = partId;
        SentAttempt sent = unansweredAttempts.get(partId);
        if (sent == null) {
            abandonedIds.remove(partId); // Ended, or a duplicate: it says nothing any more.
            return;
        }
        sent.isAnswered = true;
        if (status.equals("OK")) {
            sent.part().value = value;
        }
        dispatcher.recordOutcome(
                sent,
                switch (status) {
                    case "OK" -> Outcome.SATISFIED;
                    case "ERROR" -> Outcome.ERROR;
                    default -> Outcome.REJECTED;
                },
                false);
    }

    @Override
    public void frameRejected(String message) {
        LOG.log(Level.FINE, "frame_rejected", "node", endpoint.address, "reason", message);
        connection.close(CloseReason.FRAME_REJECTED);
    }

    @Override
    public void connectionClosed(CloseReason closeReason) {
        dispatcher.cancelTimer(connectTimer);
        dispatcher.cancelTimer(idleTimer);
        dispatcher.cancelTimer(frameTimer);
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
        // connection that
        // has carried answers and closes in order was closed between two, and speaks of no call.
        List<SentAttempt> lost = new ArrayList<>(unansweredAttempts.values());
        lost.sort(Comparator.comparingLong(sent -> sent.attempt.sentAtUs));
        SentAttempt oldestLost = lost.isEmpty() ? null : lost.get(0);
        queuedBatches.forEach(batch -> lost.addAll(batch.sentAttempts));
        dispatcher.connectionClosed(this);
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

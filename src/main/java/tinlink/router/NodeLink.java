package tinlink.router;

import tinlink.decision.DataNode;
import tinlink.decision.Outcome;
import tinlink.net.MessageRejectedException;
import tinlink.net.CloseReason;
import tinlink.net.FrameReader;
import tinlink.net.Connection;
import tinlink.net.EventLoop;
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
import java.util.logging.Logger;

/** One connection to a data node, and the part calls that are out on it. */
final class NodeLink implements Connection.Listener, FrameReader.FrameListener {
    private static final Logger LOG = Logger.getLogger("tinlink.nodes");

    /**
     * Danger: of frames that are written together none can be recalled once one is stuck. A frame is
     * put behind others only as long as these have fewer bytes than this.
     */
    private static final int MAX_WRITE_BYTES = 4096;

    private final PartSends sends;
    private final Target target;
    private final FrameReader reader = new FrameReader(this);
    /** Part calls whose frames have gone into the ring, by id; each leaves with its outcome. */
    private final Map<String, Sent> out = new HashMap<>();
    /**
     * Ids that have left without an answer, which may still come: the newest, as many as may be out
     * at once.
     */
    private final Set<String> unanswered = new LinkedHashSet<>();
    /** Of the last answer; a second copy of it may come right behind. */
    private String answered;
    /**
     * Frames to come, and ids to give up; they go into the ring only when they can leave at once.
     */
    private final ArrayDeque<Bundle> waiting = new ArrayDeque<>();

    private final ArrayDeque<String> givenUp = new ArrayDeque<>();
    private Connection link;
    /** Places in use. */
    private int calls;

    private long usedAt;
    private long heardAt;
    private boolean silent;
    private boolean retired;
    private EventLoop.Timer connect;
    private EventLoop.Timer idle;
    /** Runs while a frame has begun and has not come whole. */
    private EventLoop.Timer stuck;

    NodeLink(PartSends sends, Target target, long now) {
        this.sends = sends;
        this.target = target;
        usedAt = now;
    }

    void on(Connection link, EventLoop.Timer connect) {
        this.link = link;
        this.connect = connect;
    }

    Target target() {
        return target;
    }

    int calls() {
        return calls;
    }

    long usedAt() {
        return usedAt;
    }

    boolean isUp() {
        return link != null && link.isUp();
    }

    /**
     * Danger: a machine that has vanished leaves its connections open; one on which a call went
     * unanswered, with nothing heard since, is not trusted with the next. Nor is one to a node that
     * has moved or started anew since: what is out on it may still be answered, what is new would
     * be lost.
     */
    boolean isTrusted() {
        return !silent && !retired;
    }

    /** Why it is closed once no call is out on it; null where it stays for the next. */
    CloseReason endsUnused() {
        boolean gone = retired || target.node.state == DataNode.State.GONE;
        return silent ? CloseReason.SILENT : gone ? CloseReason.GONE : null;
    }

    /** Its node has moved, or has started anew. */
    void retire() {
        retired = true;
    }

    /** Danger: an answer to an earlier part call of that id would pass for one to the new. */
    boolean confuses(Sent s) {
        return out.containsKey(s.segment().id) || unanswered.contains(s.segment().id);
    }

    void end(CloseReason closeReason) {
        if (link != null) {
            link.close(closeReason);
        }
    }

    void add(Bundle b) {
        b.link = this;
        calls++;
        sends.takeBack(idle);
        waiting.add(b);
        depart();
    }

    /** One part call is over, and is given up if its frame is out. */
    void over(Sent s, boolean giveUp) {
        if (!s.bundle.waits() && out.remove(s.segment().id, s)) {
            if (!s.answered) {
                unanswered.add(s.segment().id);
                if (unanswered.size() > sends.callsPerLink()) {
                    unanswered.remove(unanswered.iterator().next());
                }
            }
            if (giveUp) {
                givenUp.add(s.segment().id);
                depart();
            }
        }
        if (--s.bundle.open == 0) {
            waiting.remove(s.bundle);
            calls--;
            usedAt = sends.now();
            if (calls == 0 && !link.isClosed()) {
                idle = sends.idle(this);
            }
        }
    }

    /** A call on it went unanswered for all its time. */
    void unanswered(Sent s) {
        silent |= !s.bundle.waits() && heardAt < s.call.sentAt;
    }

    boolean hasLeft(Sent s) {
        return !s.bundle.waits() && link.mayHaveLeft(s.bundle.frameEnd);
    }

    @Override
    public void connected() {
        sends.takeBack(connect);
        depart();
    }

    @Override
    public void writesCompleted() {
        depart();
    }

    /** Writes what waits, if it can leave at once. */
    void depart() {
        if (link == null || !link.canWriteNow()) {
            return;
        }
        RingBuffer ring = link.out();
        while (!givenUp.isEmpty()) {
            byte[] id = givenUp.poll().getBytes(StandardCharsets.UTF_8);
            ring.put(head(1 + id.length, 'A')).put(id);
            link.scheduleWrite();
        }
        while (!waiting.isEmpty() && ring.size() < MAX_WRITE_BYTES) {
            Bundle b = waiting.poll();
            dropStale(b);
            if (b.open > 0) {
                frame(b, ring);
                b.frameEnd = link.scheduleWrite();
                usedAt = sends.now();
            }
        }
    }

    /**
     * Danger: what waits for a connection may go out after its lookup has ended, its node was told
     * as draining or gone, or its key's window has passed or will have when it arrives.
     */
    void dropStale(Bundle b) {
        for (Sent s : List.copyOf(b.sent)) {
            if (!s.over
                    && (s.call.part.lookup.ended
                            || s.call.part.satisfied
                            || target.node.state != DataNode.State.READY
                            || sends.now() + sends.arrivesWithinUs() > s.effectUntil())) {
                sends.over(s, Outcome.NOT_SENT, false);
            }
        }
    }

    void dropStale() {
        List.copyOf(waiting).forEach(this::dropStale);
    }

    private void frame(Bundle b, RingBuffer ring) {
        List<byte[]> lines = new ArrayList<>();
        int length = 1;
        for (Sent s : b.sent) {
            if (!s.over) {
                Query q = s.segment().query();
                long waitMs = Math.max(1, (s.until - sends.now() + 999) / 1000);
                byte[] line = (s.segment().id + " " + s.call.part.shard + " d=" + waitMs
                                + (q.key == null ? "" : ",k=" + q.key) + " " + q.text.length + "\n")
                        .getBytes(StandardCharsets.UTF_8);
                lines.add(line);
                lines.add(q.text);
                length += line.length + q.text.length;
                out.put(s.segment().id, s);
            }
        }
        ring.put(head(length, 'R'));
        lines.forEach(ring::put);
    }

    private static byte[] head(int length, char letter) {
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
            LOG.log(Level.FINE, "data node {0}: {1}", new Object[] {target.address, e.getMessage()
            });
            link.close(CloseReason.BAD_INPUT);
        }
        if (reader.isAtBoundary() != (stuck == null)) {
            sends.takeBack(stuck);
            // Danger: a frame that stops in its middle would hold all that is out here until its
            // time is over.
            stuck = reader.isAtBoundary() || link.isClosed()
                    ? null
                    : sends.whenStuck(() -> link.close(CloseReason.BAD_INPUT));
        }
    }

    /**
     * Danger: an answer to what was never sent here: what else comes on the connection can't be
     * trusted.
     */
    @Override
    public void answerStarted(String id) throws MessageRejectedException {
        if (!out.containsKey(id) && !unanswered.contains(id) && !id.equals(answered)) {
            throw new MessageRejectedException(502, "an answer to a call that was not sent");
        }
    }

    /** Danger: only a whole answer shows that the node lives; noise does not. */
    @Override
    public void answerReceived(String id, String end, String report, String value) {
        heardAt = sends.now();
        silent = false;
        answered = id;
        Sent s = out.get(id);
        if (s == null) {
            unanswered.remove(id); // Over, or a second copy: it says nothing any more.
            return;
        }
        s.answered = true;
        if (end.equals("OK")) {
            s.segment().value = value;
        }
        sends.over(
                s,
                switch (end) {
                    case "OK" -> Outcome.SATISFIED;
                    case "ERROR" -> Outcome.ERROR;
                    default -> Outcome.TURNED_AWAY;
                },
                false);
    }

    @Override
    public void frameRejected(String words) {
        LOG.log(Level.FINE, "data node {0} could not use a frame: {1}", new Object[] {
            target.address, words
        });
        link.close(CloseReason.FRAME_REJECTED);
    }

    @Override
    public void connectionClosed(CloseReason closeReason) {
        sends.takeBack(connect);
        sends.takeBack(idle);
        sends.takeBack(stuck);
        LOG.log(Level.FINE, "data node {0}: {1}, {2} calls out", new Object[] {
            target.address, closeReason, calls
        });
        // One answer was spoilt: it is held to be that of the call that has waited longest. A
        // connection that
        // has carried answers and closes in order was closed between two, and speaks of no call.
        List<Sent> lost = new ArrayList<>(out.values());
        lost.sort(Comparator.comparingLong(s -> s.call.sentAt));
        Sent oldest = lost.isEmpty() ? null : lost.get(0);
        waiting.forEach(b -> lost.addAll(b.sent));
        sends.closed(this);
        for (Sent s : lost) {
            if (!s.over) {
                boolean meant = closeReason == CloseReason.PEER_CLOSED ? heardAt == 0 : s == oldest;
                sends.over(s, closeReason.toOutcome(hasLeft(s), meant), false);
            }
        }
    }
}

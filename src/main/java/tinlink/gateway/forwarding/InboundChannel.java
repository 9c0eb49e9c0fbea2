package tinlink.gateway.forwarding;

import java.util.List;
import java.util.TreeMap;

/**
 * One channel of one incarnation of a router of another site, as the receiver knows it: which part numbers
 * may still start, which parts are remembered, and on which session their status is reported. It outlives its
 * connections. State only; {@link ForwardedPartReceiver} decides, on its owner's thread.
 *
 * <p>Invariant: a number that was seen once, or lies below {@code minAcceptedNumber}, never starts.
 */
public final class InboundChannel {
    /**
     * Which channel of which incarnation of which router.
     *
     * @param router site and router
     * @param index which of that router's channels to here
     */
    record Key(String router, long incarnation, int index) {}

    private final Key key;
    /** The connection, as the owner knows it; null while there is none. */
    private Object session;
    /** Where status is reported: the session that asked last, of this channel or of another. */
    private Object statusSession;

    /** The credit window that the session was last sent; 0 where none has been. */
    private int announcedWindow;

    private long disconnectedAt;
    /** How often it has connected, as the forwarding router counts. */
    private long connectCount;

    private long minAcceptedNumber;
    /** Whether a part below it ran is unknown where it is not remembered. */
    private long forgottenBelow;
    /** By number; each leaves as its router loses interest, by a bound, or with its channel. */
    private final TreeMap<Long, ReceivedPart> parts = new TreeMap<>();

    private int running;
    private long lastStarted;

    InboundChannel(Key key, long nextNumber) {
        this.key = key;
        minAcceptedNumber = nextNumber;
        forgottenBelow = nextNumber;
        lastStarted = nextNumber - 1;
    }

    Key key() {
        return key;
    }

    /** Which of its router's channels to here. */
    public int index() {
        return key.index();
    }

    // ---- Its connection. ----

    void onConnected(Object newSession, long newConnectCount, long nextNumber) {
        announcedWindow = newSession == session ? announcedWindow : 0;
        session = newSession;
        statusSession = newSession;
        connectCount = newConnectCount;
        rejectBelow(nextNumber);
    }

    /**
     * A connection has ended, of this channel or not.
     *
     * @param now when, in microseconds
     */
    void onSessionClosed(Object closed, long now) {
        if (session == closed) {
            session = null;
            announcedWindow = 0;
            disconnectedAt = now;
        }
    }

    boolean isConnected() {
        return session != null;
    }

    /** Null while it has no connection. */
    Object session() {
        return session;
    }

    /** Null while nobody would hear of it. */
    Object statusSession() {
        return statusSession;
    }

    void reportStatusOn(Object reportSession) {
        statusSession = reportSession;
    }

    void stopReportingOn(Object closed) {
        statusSession = statusSession == closed ? null : statusSession;
    }

    long disconnectedAt() {
        return disconnectedAt;
    }

    long connectCount() {
        return connectCount;
    }

    int announcedWindow() {
        return announcedWindow;
    }

    void announcedWindow(int window) {
        announcedWindow = window;
    }

    // ---- Its parts. ----

    /** Nothing below that number starts any more. */
    void rejectBelow(long number) {
        minAcceptedNumber = Math.max(minAcceptedNumber, number);
    }

    /** It must not start: it has been here, or counts as one that never will be. */
    boolean mustNotStart(long number) {
        return parts.containsKey(number) || number <= lastStarted || number < minAcceptedNumber;
    }

    void add(ReceivedPart part) {
        lastStarted = part.number;
        parts.put(part.number, part);
    }

    /** Null where it is not remembered. */
    ReceivedPart find(long number) {
        return parts.get(number);
    }

    boolean remembers(ReceivedPart part) {
        return parts.get(part.number) == part;
    }

    /** All that are remembered, in the order of their numbers; a copy. */
    List<ReceivedPart> parts() {
        return List.copyOf(parts.values());
    }

    /** Those below that number that have been here; a copy. */
    List<ReceivedPart> partsBelow(long number) {
        return List.copyOf(
                parts.headMap(Math.min(number, lastStarted + 1), false).values());
    }

    void forget(ReceivedPart part) {
        parts.remove(part.number, part);
    }

    /** From now on nobody can tell whether parts up to that one ran, where they are not remembered. */
    void forgottenUpTo(long number) {
        forgottenBelow = Math.max(forgottenBelow, number + 1);
    }

    /** What can be said of that number. */
    PartStatus statusOf(long number) {
        ReceivedPart part = parts.get(number);
        if (part != null) {
            return part.status;
        }
        return number < forgottenBelow ? PartStatus.MAY_HAVE_RUN : PartStatus.NOT_STARTED;
    }

    void partStarted() {
        running++;
    }

    void partStopped() {
        running--;
    }

    /** Parts of its router that run here. */
    int running() {
        return running;
    }

    /** The highest number that was started or rejected. */
    long lastStarted() {
        return lastStarted;
    }
}

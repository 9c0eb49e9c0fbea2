package tinlink.gateway.forwarding;

import java.util.List;
import java.util.TreeMap;

/**
 * The receiving router's state of one channel of one incarnation of a router of another site: which part
 * numbers may still start, which parts are remembered, and on which session their status is reported. The
 * channel outlives its connections. {@link ForwardedPartReceiver} makes the decisions, on its owner's thread.
 *
 * <p>Invariant: a number that was seen once, or lies below {@code minAcceptedNumber}, never starts.
 */
public final class InboundChannel {
    /**
     * Identifies a channel of one incarnation of a router.
     *
     * @param router the names of the site and the router
     * @param index the index of the channel among that router's channels to this router
     */
    record Key(String router, long incarnation, int index) {}

    private final Key key;
    /** The owner's object for the connection; null while the channel is not connected. */
    private Object session;
    /** The session on which status is reported: the one that sent the last query, also of another channel. */
    private Object statusSession;

    /** The credit window last sent on the session; 0 if none has been sent. */
    private int announcedWindow;

    private long disconnectedAt;
    /** How often the channel has connected, as counted by the forwarding router. */
    private long connectCount;

    private long minAcceptedNumber;
    /** For numbers below this one that are not remembered, it is unknown whether the part ran. */
    private long forgottenBelow;
    /**
     * The remembered parts, by number. A part is removed when its router no longer needs it, when
     * {@link EndedPartCache} evicts it, or with its channel.
     */
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

    /** The index of the channel among its router's channels to this router. */
    public int index() {
        return key.index();
    }

    // ---- The connection. ----

    void onConnected(Object newSession, long newConnectCount, long nextNumber) {
        announcedWindow = newSession == session ? announcedWindow : 0;
        session = newSession;
        statusSession = newSession;
        connectCount = newConnectCount;
        rejectBelow(nextNumber);
    }

    /**
     * Records that a session has ended, which need not be the current one of this channel.
     *
     * @param now the time of the end, in microseconds
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

    /** The current session; null while the channel is not connected. */
    Object session() {
        return session;
    }

    /** The session on which status is reported; null while there is none. */
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

    // ---- Parts. ----

    /** Keeps all parts below the number from starting. */
    void rejectBelow(long number) {
        minAcceptedNumber = Math.max(minAcceptedNumber, number);
    }

    /** Whether the part must not start, as its number was seen before or is no longer accepted. */
    boolean mustNotStart(long number) {
        return parts.containsKey(number) || number <= lastStarted || number < minAcceptedNumber;
    }

    void add(ReceivedPart part) {
        lastStarted = part.number;
        parts.put(part.number, part);
    }

    /** The part with the given number; null if it is not remembered. */
    ReceivedPart find(long number) {
        return parts.get(number);
    }

    boolean remembers(ReceivedPart part) {
        return parts.get(part.number) == part;
    }

    /** Whether the router is connected and may still need the answer to any part. */
    boolean awaitsAcknowledgement() {
        return statusSession != null && !parts.isEmpty();
    }

    /** A copy of the list of remembered parts, in the order of their numbers. */
    List<ReceivedPart> parts() {
        return List.copyOf(parts.values());
    }

    /** A copy of the list of remembered parts below the given number. */
    List<ReceivedPart> partsBelow(long number) {
        return List.copyOf(
                parts.headMap(Math.min(number, lastStarted + 1), false).values());
    }

    void forget(ReceivedPart part) {
        parts.remove(part.number, part);
    }

    /** Records that for parts up to the number that are not remembered, it is unknown whether they ran. */
    void forgottenUpTo(long number) {
        forgottenBelow = Math.max(forgottenBelow, number + 1);
    }

    /** The status of the part with the given number, also if the part is not remembered. */
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

    /** How many parts of this channel are running on this router. */
    int running() {
        return running;
    }

    /** The highest number of a part that was started or rejected. */
    long lastStarted() {
        return lastStarted;
    }
}

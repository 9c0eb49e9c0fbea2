package tinlink.gateway.forwarding;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * One of the lines to a far router: its connection, its heartbeats, when it is tried again, and the parts
 * that are open on it. Times are microseconds.
 */
public final class GatewayChannel {
    /** The shortest wait before a line is tried again, in heartbeats, and the longest. */
    private static final double MIN_BACKOFF_HEARTBEATS = 0.25;

    private static final double MAX_BACKOFF_HEARTBEATS = 8;
    /** Heartbeats that are out at a time and measured; a line with more is dead long before. */
    private static final int MAX_SENT_HEARTBEATS = 64;

    enum State {
        DOWN,
        CONNECTING,
        UP
    }

    public final RemoteRouter router;
    /** Its place among the lines to that router, the same on every try. */
    public final int index;

    private final long heartbeatUs;
    private final AccrualFailureDetector failureDetector;
    private final RoundTripEstimator roundTripEstimator = new RoundTripEstimator();
    State state = State.DOWN;
    private long reconnectAt;
    private long backoffUs;
    private long heartbeatAt;
    private long heartbeatNumber;
    /** When those that are not answered left; bounded, and emptied as the line comes up. */
    private final Map<Long, Long> sentHeartbeats = new HashMap<>();
    /** The last heartbeat that was answered, and when; 0 where none has been since the line came up. */
    private long ackedNumber;

    private long ackedAt;
    /** The line on which the far router would say what becomes of its parts; null where none. */
    GatewayChannel statusChannel;
    /** It leads to a router that has started anew since. */
    boolean stale;
    /** What this line has carried that the far router still may speak of; each leaves as it ends. */
    final TreeMap<Long, ForwardedPart> openParts = new TreeMap<>();

    long nextPartNumber = 1;
    /** How often it has come up. */
    private long connectCount;
    /** What was out when it was cut has to be asked about. */
    boolean statusQueryDue;

    GatewayChannel(RemoteRouter router, int index, long heartbeatUs) {
        this.router = router;
        this.index = index;
        this.heartbeatUs = heartbeatUs;
        failureDetector = new AccrualFailureDetector(heartbeatUs);
    }

    // ---- Its connection. ----

    void onConnected(long now, long roundTripUs) {
        connectCount++;
        stale = false;
        statusChannel = this;
        state = State.UP;
        backoffUs = 0;
        roundTripEstimator.sample(roundTripUs);
        failureDetector.onConnected(now, roundTripUs);
        heartbeatAt = now;
        sentHeartbeats.clear();
        ackedNumber = 0;
        // Asked even where nothing is open: it fences off what may still be under way, and gives up
        // the rest.
        statusQueryDue = true;
    }

    void onDisconnected(long now, SplittableRandom random) {
        if (state == State.UP) {
            failureDetector.onDisconnected(now);
        }
        state = State.DOWN;
        long maxBackoffUs = (long) (MAX_BACKOFF_HEARTBEATS * heartbeatUs);
        backoffUs = Math.min(
                maxBackoffUs,
                Math.max((long) (MIN_BACKOFF_HEARTBEATS * heartbeatUs), 2 * backoffUs));
        // Danger: routers that lost the same line at once and all come back at once.
        reconnectAt = now + backoffUs / 2 + random.nextLong(backoffUs);
    }

    boolean isUp() {
        return state == State.UP;
    }

    boolean isConnectDue(long now) {
        return state == State.DOWN && now >= reconnectAt;
    }

    /** It is up, and believed in. */
    boolean isTrusted(long now) {
        return isUp() && failureDetector.isTrusted(now);
    }

    /** It is up, and of no use any more. */
    boolean isDisconnectDue(long now) {
        return isUp() && (stale || failureDetector.isDead(now));
    }

    /** When something falls due here, unless an input comes before. */
    long nextDueAt(long now) {
        return switch (state) {
            case DOWN -> reconnectAt;
            case CONNECTING -> Long.MAX_VALUE;
            case UP -> {
                long dueAt = Math.min(heartbeatAt, failureDetector.deadAt());
                yield failureDetector.isTrusted(now)
                        ? Math.min(dueAt, failureDetector.suspectAt())
                        : dueAt;
            }
        };
    }

    // ---- Its heartbeats. ----

    boolean isHeartbeatDue(long now) {
        return isUp() && now >= heartbeatAt;
    }

    /** A heartbeat leaves. @return its number */
    long onHeartbeatSent(long now) {
        heartbeatAt = now + heartbeatUs;
        if (sentHeartbeats.size() < MAX_SENT_HEARTBEATS) {
            sentHeartbeats.put(++heartbeatNumber, now);
        }
        return heartbeatNumber;
    }

    void onHeartbeatAck(long number, long now) {
        Long sentAt = sentHeartbeats.remove(number);
        if (isUp() && sentAt != null) {
            roundTripEstimator.sample(now - sentAt);
            failureDetector.onHeartbeatAck(now);
            ackedNumber = number;
            ackedAt = now;
        }
    }

    public long lastAckedHeartbeat() {
        return ackedNumber;
    }

    /**
     * How long ago it was answered. Danger: a part's age over there is told from this; a clock can't cross.
     */
    public long sinceAckUs(long now) {
        return now - ackedAt;
    }

    /** What the far router keeps of a part's time, beside the round trip that it measures itself. */
    public long marginUs() {
        return roundTripEstimator.marginUs();
    }

    /** What is kept of a part's time for the line, there and back. */
    long reservedUs() {
        return roundTripEstimator.reservedUs();
    }

    /** How long the next part would wait here, next to the other lines. */
    double expectedWaitUs() {
        return (double) roundTripEstimator.reservedUs() * (openParts.size() + 1);
    }

    // ---- Its parts. ----

    /** The lowest number that is still of interest; what lies under it may be forgotten over there. */
    public long lowestOpenNumber() {
        return openParts.isEmpty() ? nextPartNumber : openParts.firstKey();
    }

    /** No part of this number or a higher one has left on it yet. */
    public long nextPartNumber() {
        return nextPartNumber;
    }

    public long connectCount() {
        return connectCount;
    }

    /** What is open, by number. */
    public Map<Long, ForwardedPart> openParts() {
        return openParts;
    }
}

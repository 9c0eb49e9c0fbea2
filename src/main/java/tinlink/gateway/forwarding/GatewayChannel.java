package tinlink.gateway.forwarding;

import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * One of the channels to a remote router: its connection, which is made again after each loss, and the parts
 * that are open on it. State only; {@link RemoteRouter} decides, on its owner's thread. Times are
 * microseconds.
 */
public final class GatewayChannel {
    /** The shortest wait before it connects again, in heartbeats, and the longest. */
    private static final double MIN_BACKOFF_HEARTBEATS = 0.25;

    private static final double MAX_BACKOFF_HEARTBEATS = 8;

    enum State {
        DOWN,
        CONNECTING,
        UP
    }

    public final RemoteRouter router;
    /** Its place among the channels to that router, the same on every connection. */
    public final int index;

    private final HeartbeatMonitor heartbeats;
    private final ReconnectBackoff backoff;
    State state = State.DOWN;
    /** The channel on which the status of its parts would be reported; null where none. */
    GatewayChannel statusChannel;
    /** It leads to a router that has started anew since. */
    boolean stale;
    /** What it has carried that the remote router may still report on; each leaves as it ends. */
    final TreeMap<Long, ForwardedPart> openParts = new TreeMap<>();

    private long nextPartNumber = 1;
    /** How often it has connected. */
    private long connectCount;
    /** What was in flight when it was cut has to be asked about. */
    boolean statusQueryDue;

    GatewayChannel(RemoteRouter router, int index, long heartbeatUs) {
        this.router = router;
        this.index = index;
        heartbeats = new HeartbeatMonitor(heartbeatUs);
        backoff = new ReconnectBackoff((long) (MIN_BACKOFF_HEARTBEATS * heartbeatUs), (long)
                (MAX_BACKOFF_HEARTBEATS * heartbeatUs));
    }

    // ---- Its connection. ----

    void onConnected(long now, long roundTripUs) {
        connectCount++;
        stale = false;
        statusChannel = this;
        state = State.UP;
        backoff.onConnected();
        heartbeats.onConnected(now, roundTripUs);
        // Asked even where nothing is open: it keeps what may still be under way from starting, and
        // cancels the rest.
        statusQueryDue = true;
    }

    void onDisconnected(long now, SplittableRandom random) {
        if (state == State.UP) {
            heartbeats.onDisconnected(now);
        }
        state = State.DOWN;
        backoff.onDisconnected(now, random);
    }

    boolean isUp() {
        return state == State.UP;
    }

    boolean isConnectDue(long now) {
        return state == State.DOWN && now >= backoff.retryAt();
    }

    /** It is up, and can be relied on. */
    boolean isTrusted(long now) {
        return isUp() && heartbeats.isTrusted(now);
    }

    /** It is up, and of no use any more. */
    boolean isDisconnectDue(long now) {
        return isUp() && (stale || heartbeats.isDead(now));
    }

    /** When something falls due here, unless an input comes before. */
    long nextDueAt(long now) {
        return switch (state) {
            case DOWN -> backoff.retryAt();
            case CONNECTING -> Long.MAX_VALUE;
            case UP -> heartbeats.nextDueAt(now);
        };
    }

    // ---- Its heartbeats. ----

    boolean isHeartbeatDue(long now) {
        return isUp() && heartbeats.isDue(now);
    }

    /** A heartbeat leaves. @return its number */
    long onHeartbeatSent(long now) {
        return heartbeats.onSent(now);
    }

    void onHeartbeatAck(long number, long now) {
        if (isUp()) {
            heartbeats.onAck(number, now);
        }
    }

    /** The number of the last heartbeat that was answered; 0 where none was since it connected. */
    public long lastAckedHeartbeat() {
        return heartbeats.lastAcked();
    }

    /**
     * How long ago that answer came. Danger: the remote router derives a part's age from this, since no
     * reading of a clock can cross.
     */
    public long sinceAckUs(long now) {
        return heartbeats.sinceAckUs(now);
    }

    /** What the remote router keeps of a part's time beside the round trip that it measures itself. */
    public long marginUs() {
        return heartbeats.roundTrip().marginUs();
    }

    /** What is reserved of a part's time for the network, there and back. */
    long reservedUs() {
        return heartbeats.roundTrip().reservedUs();
    }

    /** How long the next part would take here, next to the other channels. */
    double expectedWaitUs() {
        return (double) reservedUs() * (openParts.size() + 1);
    }

    // ---- Its parts. ----

    /** The part leaves on it. */
    void assign(ForwardedPart part) {
        part.channel = this;
        part.number = nextPartNumber++;
        openParts.put(part.number, part);
    }

    /** The lowest number that is still of interest; what lies below may be forgotten over there. */
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

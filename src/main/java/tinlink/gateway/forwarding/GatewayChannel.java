package tinlink.gateway.forwarding;

import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * The forwarding router's state of one channel to a remote router: the connection, which is re-established
 * after each loss, and the open parts. {@link RemoteRouter} makes the decisions, on its owner's thread. Times
 * are microseconds.
 */
public final class GatewayChannel {
    /** The shortest and the longest delay before the channel connects again, in heartbeat intervals. */
    private static final double MIN_BACKOFF_HEARTBEATS = 0.25;

    private static final double MAX_BACKOFF_HEARTBEATS = 8;

    enum State {
        DOWN,
        CONNECTING,
        UP
    }

    public final RemoteRouter router;
    /** The index of the channel among those to its router; the same on every connection. */
    public final int index;

    private final HeartbeatMonitor heartbeats;
    private final ReconnectBackoff backoff;
    State state = State.DOWN;
    /** The channel on which the remote router reports the status of this channel's parts; null if none. */
    GatewayChannel statusChannel;
    /** Whether the connection belongs to an earlier incarnation of the remote router. */
    boolean stale;
    /** The sent parts whose status the remote router may still report; each is removed when it ends. */
    final TreeMap<Long, ForwardedPart> openParts = new TreeMap<>();

    private long nextPartNumber = 1;
    /** How often the channel has connected. */
    private long connectCount;
    /** Whether the status of the open parts is to be queried after a cut. */
    boolean statusQueryDue;

    GatewayChannel(RemoteRouter router, int index, long heartbeatUs) {
        this.router = router;
        this.index = index;
        heartbeats = new HeartbeatMonitor(heartbeatUs);
        backoff = new ReconnectBackoff((long) (MIN_BACKOFF_HEARTBEATS * heartbeatUs), (long)
                (MAX_BACKOFF_HEARTBEATS * heartbeatUs));
    }

    // ---- The connection. ----

    void onConnected(long now, long roundTripUs) {
        connectCount++;
        stale = false;
        statusChannel = this;
        state = State.UP;
        backoff.onConnected();
        heartbeats.onConnected(now, roundTripUs);
        // The query is sent even if no part is open: it keeps parts that are still on their way
        // from starting, and cancels all others.
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

    /** Whether the channel is up and its failure detector trusts the connection. */
    boolean isTrusted(long now) {
        return isUp() && heartbeats.isTrusted(now);
    }

    /** Whether the channel is up, but its connection is stale or dead and is to be closed. */
    boolean isDisconnectDue(long now) {
        return isUp() && (stale || heartbeats.isDead(now));
    }

    /** When the channel next needs a decision, unless an input comes before. */
    long nextDueAt(long now) {
        return switch (state) {
            case DOWN -> backoff.retryAt();
            case CONNECTING -> Long.MAX_VALUE;
            case UP -> heartbeats.nextDueAt(now);
        };
    }

    // ---- Heartbeats. ----

    boolean isHeartbeatDue(long now) {
        return isUp() && heartbeats.isDue(now);
    }

    /** Records that a heartbeat is sent. @return the number of the heartbeat */
    long onHeartbeatSent(long now) {
        return heartbeats.onSent(now);
    }

    void onHeartbeatAck(long number, long now) {
        if (isUp()) {
            heartbeats.onAck(number, now);
        }
    }

    /** The number of the last heartbeat answered on the current connection; 0 if there is none. */
    public long lastAckedHeartbeat() {
        return heartbeats.lastAcked();
    }

    /**
     * The time since the answer to the last answered heartbeat arrived. The remote router derives a part's
     * age from this duration, since the clocks of the two routers can't be compared.
     */
    public long sinceAckUs(long now) {
        return heartbeats.sinceAckUs(now);
    }

    /** The time that the remote router reserves for a part in addition to the round trip that it measures. */
    public long marginUs() {
        return heartbeats.roundTrip().marginUs();
    }

    /** The time to reserve for a part's round trip. */
    long reservedUs() {
        return heartbeats.roundTrip().reservedUs();
    }

    /** An estimate of the wait for the next part on this channel, by which channels are compared. */
    double expectedWaitUs() {
        return (double) reservedUs() * (openParts.size() + 1);
    }

    // ---- Parts. ----

    /** Assigns the part to this channel and gives it the next number. */
    void assign(ForwardedPart part) {
        part.channel = this;
        part.number = nextPartNumber++;
        openParts.put(part.number, part);
    }

    /** The lowest number of an open part; the remote router may forget parts with lower numbers. */
    public long lowestOpenNumber() {
        return openParts.isEmpty() ? nextPartNumber : openParts.firstKey();
    }

    /** The number of the next part; no part with this number or a higher one has been sent on the channel. */
    public long nextPartNumber() {
        return nextPartNumber;
    }

    public long connectCount() {
        return connectCount;
    }

    /** The open parts, by number. */
    public Map<Long, ForwardedPart> openParts() {
        return openParts;
    }
}

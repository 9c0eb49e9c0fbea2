package tinlink.gateway.forwarding;

import java.util.HashMap;
import java.util.Map;

/**
 * The heartbeats of one connection: when the next is due, how long answers take, and whether the connection
 * can be trusted. Times are microseconds of the owner's clock.
 */
final class HeartbeatMonitor {
    /** Heartbeats that are out and measured at a time; a connection with more is dead long before. */
    private static final int MAX_MEASURED = 64;

    private final long intervalUs;
    private final AccrualFailureDetector failureDetector;
    private final RoundTripEstimator roundTrip = new RoundTripEstimator();
    /** When those that are not answered left; bounded, and emptied as the connection comes up. */
    private final Map<Long, Long> sentAt = new HashMap<>();

    private long dueAt;
    private long lastSent;
    /** The last heartbeat that was answered; 0 where none has been on this connection. */
    private long lastAcked;

    private long ackedAt;

    HeartbeatMonitor(long intervalUs) {
        this.intervalUs = intervalUs;
        failureDetector = new AccrualFailureDetector(intervalUs);
    }

    void onConnected(long now, long roundTripUs) {
        roundTrip.sample(roundTripUs);
        failureDetector.onConnected(now, roundTripUs);
        dueAt = now;
        sentAt.clear();
        lastAcked = 0;
    }

    void onDisconnected(long now) {
        failureDetector.onDisconnected(now);
    }

    boolean isDue(long now) {
        return now >= dueAt;
    }

    /** A heartbeat leaves. @return its number */
    long onSent(long now) {
        dueAt = now + intervalUs;
        if (sentAt.size() < MAX_MEASURED) {
            sentAt.put(++lastSent, now);
        }
        return lastSent;
    }

    void onAck(long number, long now) {
        Long sent = sentAt.remove(number);
        if (sent != null) {
            roundTrip.sample(now - sent);
            failureDetector.onHeartbeatAck(now);
            lastAcked = number;
            ackedAt = now;
        }
    }

    long lastAcked() {
        return lastAcked;
    }

    long sinceAckUs(long now) {
        return now - ackedAt;
    }

    RoundTripEstimator roundTrip() {
        return roundTrip;
    }

    boolean isTrusted(long now) {
        return failureDetector.isTrusted(now);
    }

    boolean isDead(long now) {
        return failureDetector.isDead(now);
    }

    /** When a heartbeat is due or the verdict changes, unless an answer comes before. */
    long nextDueAt(long now) {
        long next = Math.min(dueAt, failureDetector.deadAt());
        return isTrusted(now) ? Math.min(next, failureDetector.suspectAt()) : next;
    }
}

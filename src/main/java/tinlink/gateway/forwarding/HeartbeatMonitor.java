package tinlink.gateway.forwarding;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks the heartbeats of one connection: when the next heartbeat is due, the round-trip time, and whether
 * the connection can be trusted. Times are microseconds of the owner's clock.
 */
final class HeartbeatMonitor {
    /** The maximum of tracked unanswered heartbeats; a connection counts as dead long before it. */
    private static final int MAX_MEASURED = 64;

    private final long intervalUs;
    private final AccrualFailureDetector failureDetector;
    private final RoundTripEstimator roundTrip = new RoundTripEstimator();
    /** Send times of unanswered heartbeats, by number; bounded, and cleared when the channel connects. */
    private final Map<Long, Long> sentAt = new HashMap<>();

    private long dueAt;
    private long lastSent;
    /** The number of the last heartbeat answered on this connection; 0 if there is none. */
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

    /** Records that a heartbeat is sent. @return the number of the heartbeat */
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

    /** When a heartbeat is due or the connection becomes suspect or dead, unless an answer comes before. */
    long nextDueAt(long now) {
        long next = Math.min(dueAt, failureDetector.deadAt());
        return isTrusted(now) ? Math.min(next, failureDetector.suspectAt()) : next;
    }
}

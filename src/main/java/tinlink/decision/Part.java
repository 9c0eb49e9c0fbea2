package tinlink.decision;

import java.util.ArrayList;
import java.util.List;

/** One part of a lookup, on one shard. The public fields are set by the host or by the coordinator. */
public class Part {
    /** The lookup that the part belongs to; set by the host. */
    public Lookup lookup;
    /** Number of the shard that the part asks; set by the host. */
    public int shard;
    /** The part's share of the lookup's answer, set by the host; the shares of all parts add up to 1. */
    public double weight;
    /** All attempts at the part, in the order in which they were sent; filled by the coordinator. */
    public List<Attempt> attempts = new ArrayList<>();

    /** Number of attempts without an outcome; kept by the coordinator. */
    public int attemptsInFlight;
    /** Whether one of the attempts was answered; set by the coordinator. */
    public boolean satisfied;
    /** The part is not sent again before this time, in microseconds. */
    long notBeforeUs;
    /** Whether the next attempt was charged as a hedge when its unanswered predecessor was cancelled. */
    boolean hedgePaid;

    /** Whether the part is not answered yet, and an attempt that may answer it is in flight. */
    boolean isAwaited() {
        return !satisfied && attemptsInFlight > 0;
    }

    Attempt lastAttempt() {
        return attempts.get(attempts.size() - 1);
    }

    boolean hasTried(DataNode node) {
        for (Attempt attempt : attempts) {
            if (attempt.node == node) {
                return true;
            }
        }
        return false;
    }

    /** Whether it is certain that no attempt has run the part or will. */
    boolean neverRan() {
        for (Attempt attempt : attempts) {
            if (!attempt.neverRan()) {
                return false;
            }
        }
        return true;
    }
}

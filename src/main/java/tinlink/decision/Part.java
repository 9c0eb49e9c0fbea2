package tinlink.decision;

import java.util.ArrayList;
import java.util.List;

/** One part of a lookup, on one shard. Fields only, and what can be read off them. */
public class Part {
    /** What it is a part of. */
    public Lookup lookup;
    /** Which part of the data it asks. */
    public int shard;
    /** Its share of the lookup's answer; those of all parts add up to 1. */
    public double weight;
    /** In order of sending. */
    public List<Attempt> attempts = new ArrayList<>();

    /** Those without an outcome. */
    public int attemptsInFlight;
    /** One of its attempts was answered. */
    public boolean isSatisfied;
    /** It is not sent again before this time. */
    long notBeforeUs;
    /** Its next attempt was charged as a hedge when the silent one before it was given up. */
    boolean isHedgePaid;

    /** Not answered yet, and an attempt is in flight that may do it. */
    boolean isAwaited() {
        return !isSatisfied && attemptsInFlight > 0;
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

    /** Whether it is proven that no attempt ran, or will. */
    boolean neverRan() {
        for (Attempt attempt : attempts) {
            if (!attempt.neverRan()) {
                return false;
            }
        }
        return true;
    }
}

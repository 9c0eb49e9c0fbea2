package tinlink.decision;

import java.util.ArrayList;
import java.util.List;

/** One part of a lookup, on one shard. Fields only. */
public class Part {
    public Lookup lookup;
    public int shard;
    public double weight;
    /** Its part calls, in order of sending. */
    public List<Attempt> attempts = new ArrayList<>();

    public int attemptsInFlight;
    public boolean isSatisfied;
    /** Not before this time. */
    public long notBeforeUs;
    /** Its next part call is the replay that was charged when the silent one was given up. */
    public boolean isHedgePaid;
}

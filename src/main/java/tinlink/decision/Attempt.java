package tinlink.decision;

/** One send of a part to a data node. Fields only. */
public final class Attempt {
    /** What several part calls to one node share when they travel as one. */
    public static final class SharedCall {
        public int open;
        public int size;
    }

    public Part part;
    public DataNode node;
    public int number;
    public long sentAtUs;
    /** Null while it is out. */
    public Outcome outcome;

    public SharedCall sharedCall;
    /** Calls that were out at its node when it was sent. */
    public int callsInFlightBefore;

    public boolean isCancelled;
    /**
     * For how long what it was sent on had not been used, in steps; 0 for not long, or a new one.
     */
    public int idleStep;

    public boolean reconnectFirst;
}

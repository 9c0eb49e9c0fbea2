package tinlink.decision;

/** One send of a part to a data node. Fields only. */
public final class PartCall {
    /** What several part calls to one node share when they travel as one. */
    public static final class Shared {
        public int open;
        public int size;
    }

    public Part part;
    public DataNode node;
    public int number;
    public long sentAt;
    /** Null while it is out. */
    public Outcome outcome;
    public Shared shared;
    /** Calls that were out at its node when it was sent. */
    public int callsBefore;
    public boolean cancelled;
    /** Sent on a connection that had not been used for a while, or on a new one in its place. */
    public boolean idle;
    public boolean renew;
}

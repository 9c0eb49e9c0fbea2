package tinlink.decision;

/** A data node as the endpoint list last described it. The host writes the fields. */
public final class DataNode {
    /** State of the data node in the endpoint list. */
    public enum State {
        /** Takes parts. */
        READY,
        /** Finishes the parts it has, and takes no new ones. */
        DRAINING,
        /** No longer in the endpoint list. */
        GONE
    }

    /** Identifies the data node; the same at every router. */
    public final long nodeId;

    /** State in the latest endpoint list. */
    public State state = State.READY;
    /** Number of the zone, assigned by the host; calls into another zone may have a price. */
    public int zone;
    /** Number of the node's kind, assigned by the host; nodes of one kind have similar capacity. */
    public int kind;
    /** The cell that the node is in; {@link ReplicaDirectory} maps shards to cells. */
    public int cell;
    /** Capacity hint from the endpoint list; no decision uses it. */
    public double size = 1;
    /** When the node last started, in microseconds; {@code Long.MIN_VALUE} when that is long ago. */
    public long startedAtUs = Long.MIN_VALUE;
    /** Round trip of the link to the node's site, in microseconds; 0 for a node at this site. */
    public long linkRoundTripUs;

    /** Creates a data node of this site that is ready and warm. */
    public DataNode(long nodeId) {
        this.nodeId = nodeId;
    }
}

package tinlink.decision;

/** A data node as the endpoint list last showed it. Fields only; the host writes them. */
public final class DataNode {
    /** What the endpoint list says of it. */
    public enum State {
        /** It takes parts. */
        READY,
        /** It finishes what it has, and takes nothing new. */
        DRAINING,
        /** The list no longer names it. */
        GONE
    }

    /** The same at every router. */
    public final long nodeId;

    /** As the list last said. */
    public State state = State.READY;
    /** Numbered by the host; calls into another zone may have a price. */
    public int zone;
    /** Numbered by the host; nodes of one kind have like capacity. */
    public int kind;
    /** Which shards it holds: those that fall on this cell, as {@link ReplicaDirectory} counts them. */
    public int cell;
    /** The list's hint of its capacity; no decision rests on it. */
    public double size = 1;
    /** Time of its last start in microseconds; {@code Long.MIN_VALUE} when that is long ago. */
    public long startedAtUs = Long.MIN_VALUE;
    /** Microseconds there and back over the link to another site; 0 for a node at this one. */
    public long linkRoundTripUs;

    /** A node that is ready, warm, and at this site. */
    public DataNode(long nodeId) {
        this.nodeId = nodeId;
    }
}

package tinlink.decision;

/** A data node as the endpoint list last showed it. Fields only; the host writes them. */
public final class DataNode {
    /** What the endpoint list says of it. */
    public enum State {
        READY,
        DRAINING,
        GONE
    }

    public final long id;
    public State state = State.READY;
    public int zone;
    public int kind;
    /** Which shards it holds: those that fall on this cell, as {@link ReplicaDirectory} counts them. */
    public int cell;
    /** The list's hint of its capacity; no decision rests on it. */
    public double size = 1;
    /** Time of its last start in microseconds; {@code Long.MIN_VALUE} when that is long ago. */
    public long startedAtUs = Long.MIN_VALUE;
    /** Microseconds there and back over the link to another site; 0 for a node at this one. */
    public long linkRoundTripUs;

    public DataNode(long id) {
        this.id = id;
    }
}

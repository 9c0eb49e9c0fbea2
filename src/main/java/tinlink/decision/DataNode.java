package tinlink.decision;

/** A data node as the list last showed it. Fields only. */
public final class DataNode {
    public enum State {
        READY,
        DRAINING,
        GONE
    }

    public final long id;
    public State state = State.READY;
    public int zone;
    public int kind;
    public int cell;
    public double size = 1;
    /** Time of its last start; Long.MIN_VALUE when that is long ago. */
    public long startedAtUs = Long.MIN_VALUE;

    /** What the line to another site takes, there and back; 0 where the node is at this one. */
    public long linkRoundTripUs;

    public DataNode(long id) {
        this.id = id;
    }
}

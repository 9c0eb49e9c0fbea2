package tinlink.decision;

/** One request for one part to one data node. The host reads the fields, and the coordinator writes them. */
public final class Attempt {
    /**
     * One call to a data node. The attempts that are sent to the same node in the same turn may share a call.
     */
    public static final class SharedCall {
        private int inFlight;
        private int size;

        /** Number of attempts in the call, whether in flight or ended. */
        int size() {
            return size;
        }

        void attemptJoined() {
            size++;
            inFlight++;
        }

        /** Returns true where the attempt was the last one of the call in flight. */
        boolean attemptEnded() {
            return --inFlight == 0;
        }
    }

    /** The part that is sent. */
    public Part part;
    /** The data node that the part is sent to. */
    public DataNode node;
    /** Number of the attempt among those at its part, from 0, in the order in which they were sent. */
    public int number;

    /** When the coordinator decided on the attempt, in microseconds of its clock. */
    public long sentAtUs;
    /** Null while the attempt is in flight. */
    public Outcome outcome;

    /** The call that carries the attempt, alone or with other attempts. */
    public SharedCall sharedCall;
    /** Number of calls that were in flight to the data node before the attempt was added to one. */
    int callsInFlightBefore;

    boolean cancelled;
    /**
     * How long the attempt's connection was idle before it, as {@link IdleConnectionDetector#idleStep}
     * counts.
     */
    int idleStep;

    /** Whether the idle connections to the data node are to be closed first, so that a new one is opened. */
    boolean reconnectFirst;

    boolean isInFlight() {
        return outcome == null;
    }

    /** Whether it is certain that the attempt has not run the part, and will not. */
    boolean neverRan() {
        return outcome != null && outcome.neverRan;
    }
}

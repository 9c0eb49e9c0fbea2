package tinlink.decision;

/** One send of a part to one data node. Fields only; the host reads, the coordinator writes. */
public final class Attempt {
    /** What several attempts to one node share that depart in one turn and travel as one call. */
    public static final class SharedCall {
        private int inFlight;
        private int size;

        /** How many attempts travel by it. */
        int size() {
            return size;
        }

        void attemptJoined() {
            size++;
            inFlight++;
        }

        /** True with the last one. */
        boolean attemptEnded() {
            return --inFlight == 0;
        }
    }

    /** What is sent. */
    public Part part;
    /** Where it goes. */
    public DataNode node;
    /** From 0, in order of sending, among the attempts of its part. */
    public int number;

    /** When it was decided on, in microseconds of the coordinator's clock. */
    public long sentAtUs;
    /** Null while it is in flight. */
    public Outcome outcome;

    /** The call that it travels by, alone or with others. */
    public SharedCall sharedCall;
    /** Calls that were in flight to its node when it was sent. */
    int callsInFlightBefore;

    boolean isCancelled;
    /** How long its connection was idle before, as {@link IdleConnectionDetector#idleStep} counts it. */
    int idleStep;

    /** The idle connections to its node are closed before it is sent, so that it goes on a new one. */
    boolean reconnectFirst;

    boolean isInFlight() {
        return outcome == null;
    }

    /** Whether it is proven that the part did not run by this attempt, and will not. */
    boolean neverRan() {
        return outcome != null && outcome.neverRan;
    }
}

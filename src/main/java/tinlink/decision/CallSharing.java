package tinlink.decision;

/**
 * Lets parts that are sent to the same data node in the same turn share one call, which saves the node the
 * fixed cost of the other calls.
 */
public final class CallSharing {
    private static final double MAX_SAVING = 0.9;

    private final int maxPartsPerCall;
    private final long callUs;

    /** @param callUs the data node's work for each call, however many parts are in it */
    public CallSharing(int maxPartsPerCall, long callUs) {
        this.maxPartsPerCall = Math.max(1, maxPartsPerCall);
        this.callUs = callUs;
    }

    Attempt.SharedCall join(ReplicaStats stats, long nowUs) {
        return stats.joinCall(maxPartsPerCall, nowUs);
    }

    boolean canJoin(ReplicaStats stats, long nowUs) {
        return stats.canShareCall(maxPartsPerCall, nowUs);
    }

    /** The share of the average latency that a part saves by joining a call. */
    double saving(double averageLatencyUs) {
        return Math.min(MAX_SAVING, callUs / Math.max(1, averageLatencyUs));
    }
}

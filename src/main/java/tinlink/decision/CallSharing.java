package tinlink.decision;

/**
 * Parts that depart to one node in one turn may travel as one call, which saves the node part of its work.
 */
public final class CallSharing {
    private static final double LARGEST_SAVING = 0.9;

    private final int maxPartsPerCall;
    private final long callUs;

    /** @param callUs work that a call costs its node, however many parts travel by it */
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

    /** Which share of the usual latency a part saves that shares a call. */
    double saving(double averageLatencyUs) {
        return Math.min(LARGEST_SAVING, callUs / Math.max(1, averageLatencyUs));
    }
}

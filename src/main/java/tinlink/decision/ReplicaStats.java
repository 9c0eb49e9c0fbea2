package tinlink.decision;

/**
 * What this router has seen of one data node through its own part calls. Dropped once the endpoint list says
 * that the node is gone and no call to it is in flight. How evidence is weighed is up to
 * {@link ReplicaHealth}.
 */
final class ReplicaStats {
    private static final double CONCURRENCY_SMOOTHING = 0.2;
    private static final double FAILURE_STEP = 0.35;
    private static final int FORGOTTEN = -1;

    private final DataNode node;
    private final SlowStart.Quota slowStartQuota = new SlowStart.Quota();
    private int cell;
    private boolean isDown;
    private double smoothedLatencyUs;
    private double usualCallsInFlight;
    private double failureShare;
    private long lastEvidenceAtUs = Long.MIN_VALUE / 2;
    private long lastAnswerAtUs = Long.MIN_VALUE / 2;
    private long lastUsedAtUs = Long.MAX_VALUE;
    private long newestAnsweredSentAtUs = Long.MIN_VALUE;
    private double recentAnswers;
    private long recentAnswersAtUs;
    private int callsInFlight;
    private Attempt.SharedCall departingCall;
    private long departingCallAtUs = Long.MIN_VALUE;

    ReplicaStats(DataNode node, int cell) {
        this.node = node;
        this.cell = cell;
    }

    /** For a node that the endpoint list no longer names; what ends later is still recorded here. */
    static ReplicaStats ofForgotten(DataNode node) {
        return new ReplicaStats(node, FORGOTTEN);
    }

    /** For the same node after a restart or in another cell: only its calls in flight are taken over. */
    static ReplicaStats afresh(DataNode node, int cell, ReplicaStats before) {
        ReplicaStats fresh = new ReplicaStats(node, cell);
        fresh.callsInFlight = before == null ? 0 : before.callsInFlight;
        return fresh;
    }

    DataNode node() {
        return node;
    }

    /** For {@link SlowStart}, which alone knows what is in it. */
    SlowStart.Quota slowStartQuota() {
        return slowStartQuota;
    }

    int cell() {
        return cell;
    }

    boolean isForgotten() {
        return cell < 0;
    }

    void forget() {
        cell = FORGOTTEN;
    }

    // Calls in flight; several part calls that travel as one count once.

    int callsInFlight() {
        return callsInFlight;
    }

    /** Whether a call to the node departs in this turn that has room for one more part. */
    boolean canShareCall(int maxPartsPerCall, long nowUs) {
        return departingCallAtUs == nowUs && departingCall.size() < maxPartsPerCall;
    }

    /** The call that departs in this turn, opened if there is none with room; counts one attempt into it. */
    Attempt.SharedCall joinCall(int maxPartsPerCall, long nowUs) {
        if (!canShareCall(maxPartsPerCall, nowUs)) {
            departingCall = new Attempt.SharedCall();
            departingCallAtUs = nowUs;
            callsInFlight++;
        }
        departingCall.attemptJoined();
        return departingCall;
    }

    void onAttemptEnded(Attempt.SharedCall call) {
        if (call.attemptEnded()) {
            callsInFlight--;
        }
    }

    /** When something was last sent to the node or came from it; {@code Long.MAX_VALUE} before that. */
    long lastUsedAtUs() {
        return lastUsedAtUs;
    }

    void recordUse(long nowUs) {
        lastUsedAtUs = nowUs;
    }

    // Latency.

    /** 0 until the first sample. */
    double smoothedLatencyUs() {
        return smoothedLatencyUs;
    }

    /** When latency or failure was last recorded. */
    long lastEvidenceAtUs() {
        return lastEvidenceAtUs;
    }

    /** How many calls were in flight, smoothed, when those were sent whose latency is known. */
    double usualCallsInFlight() {
        return usualCallsInFlight;
    }

    /** @param weight of this sample against all before it, from 0 to 1 */
    void recordLatency(double latencyUs, double weight, int callsInFlightBefore, long nowUs) {
        usualCallsInFlight += CONCURRENCY_SMOOTHING * (callsInFlightBefore - usualCallsInFlight);
        smoothedLatencyUs = smoothedLatencyUs == 0
                ? latencyUs
                : smoothedLatencyUs + weight * (latencyUs - smoothedLatencyUs);
        lastEvidenceAtUs = nowUs;
    }

    // Answers and failures.

    /** When a part was last satisfied by the node. */
    long lastAnswerAtUs() {
        return lastAnswerAtUs;
    }

    /** When the newest part call that the node has answered was sent. */
    long newestAnsweredSentAtUs() {
        return newestAnsweredSentAtUs;
    }

    void recordAnswer(long sentAtUs, EvidenceDecay decay, long nowUs) {
        lastAnswerAtUs = nowUs;
        lastUsedAtUs = nowUs;
        isDown = false;
        newestAnsweredSentAtUs = Math.max(newestAnsweredSentAtUs, sentAtUs);
        failureShare -= FAILURE_STEP * failureShare;
        recentAnswers = recentAnswers(decay, nowUs) + 1;
        recentAnswersAtUs = nowUs;
    }

    private double recentAnswers(EvidenceDecay decay, long nowUs) {
        return recentAnswers * decay.remaining(recentAnswersAtUs, nowUs);
    }

    /** Parts that this router has had from the node of late, per microsecond. */
    double answerRate(EvidenceDecay decay, long nowUs) {
        return recentAnswers(decay, nowUs) / decay.memoryUs();
    }

    /** Share of recent part calls that failed, smoothed; fades with the time since. */
    double failureShare(EvidenceDecay decay, long nowUs) {
        return failureShare * decay.remaining(lastEvidenceAtUs, nowUs);
    }

    void recordFailure(EvidenceDecay decay, long nowUs) {
        double share = failureShare(decay, nowUs);
        failureShare = share + FAILURE_STEP * (1 - share);
        lastEvidenceAtUs = nowUs;
    }

    /** The last connection to it failed; true where it was not down before. */
    boolean markDown() {
        boolean wasUp = !isDown;
        isDown = true;
        return wasUp;
    }
}

package tinlink.decision;

/**
 * What this router knows of one data node from its own attempts. The statistics are dropped once the node is
 * gone from the endpoint list and no call to it is in flight. {@link ReplicaHealth} decides how evidence is
 * weighted.
 */
final class ReplicaStats {
    private static final double CONCURRENCY_SMOOTHING = 0.2;
    private static final double FAILURE_STEP = 0.35;
    /** The cell of a node that the directory has forgotten. */
    private static final int FORGOTTEN_CELL = -1;

    private final DataNode node;
    private final SlowStart.Quota slowStartQuota = new SlowStart.Quota();
    private int cell;
    private boolean down;
    private double smoothedLatencyUs;
    private double usualCallsInFlight;
    private double failureShare;
    private long lastEvidenceAtUs = Long.MIN_VALUE / 2;
    private long lastAnswerAtUs = Long.MIN_VALUE / 2;
    private long lastUsedAtUs = Long.MAX_VALUE;
    private long newestAnsweredSentAtUs = Long.MIN_VALUE;
    /** Number of answers, decayed by their age up to {@code recentAnswersAtUs}. */
    private double recentAnswers;

    private long recentAnswersAtUs;
    private int callsInFlight;
    /** The call that was last opened, and the turn that it is sent in; null before the first call. */
    private Attempt.SharedCall currentCall;

    private long currentCallAtUs = Long.MIN_VALUE;

    ReplicaStats(DataNode node, int cell) {
        this.node = node;
        this.cell = cell;
    }

    /** Creates statistics that are kept nowhere, for attempts that end after their node was forgotten. */
    static ReplicaStats ofForgotten(DataNode node) {
        return new ReplicaStats(node, FORGOTTEN_CELL);
    }

    /** Creates statistics for a new, restarted or moved node; only the calls in flight are carried over. */
    static ReplicaStats withoutHistory(DataNode node, int cell, ReplicaStats previous) {
        ReplicaStats fresh = new ReplicaStats(node, cell);
        fresh.callsInFlight = previous == null ? 0 : previous.callsInFlight;
        return fresh;
    }

    DataNode node() {
        return node;
    }

    /** State that {@link SlowStart} keeps for the node. */
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
        cell = FORGOTTEN_CELL;
    }

    // Calls in flight. Attempts that share a call count once.

    int callsInFlight() {
        return callsInFlight;
    }

    /** Whether a call to the node is sent in this turn and has room for one more part. */
    boolean canShareCall(int maxPartsPerCall, long nowUs) {
        return currentCallAtUs == nowUs && currentCall.size() < maxPartsPerCall;
    }

    /** Adds an attempt to the call of this turn, or to a new call where there is none with room. */
    Attempt.SharedCall joinCall(int maxPartsPerCall, long nowUs) {
        if (!canShareCall(maxPartsPerCall, nowUs)) {
            currentCall = new Attempt.SharedCall();
            currentCallAtUs = nowUs;
            callsInFlight++;
        }
        currentCall.attemptJoined();
        return currentCall;
    }

    void onAttemptEnded(Attempt.SharedCall call) {
        if (call.attemptEnded()) {
            callsInFlight--;
        }
    }

    /** When the node was last sent an attempt or answered one; {@code Long.MAX_VALUE} before that. */
    long lastUsedAtUs() {
        return lastUsedAtUs;
    }

    void recordUse(long nowUs) {
        lastUsedAtUs = nowUs;
    }

    // Latency.

    /** Smoothed latency in microseconds; 0 until the first sample. */
    double smoothedLatencyUs() {
        return smoothedLatencyUs;
    }

    /** When a latency or a failure was last recorded. */
    long lastEvidenceAtUs() {
        return lastEvidenceAtUs;
    }

    /** Smoothed number of calls that were in flight before the attempts with a recorded latency. */
    double usualCallsInFlight() {
        return usualCallsInFlight;
    }

    /** @param weight of this sample, from 0 to 1; the earlier samples have the rest */
    void recordLatency(double latencyUs, double weight, int callsInFlightBefore, long nowUs) {
        usualCallsInFlight += CONCURRENCY_SMOOTHING * (callsInFlightBefore - usualCallsInFlight);
        smoothedLatencyUs = smoothedLatencyUs == 0
                ? latencyUs
                : smoothedLatencyUs + weight * (latencyUs - smoothedLatencyUs);
        lastEvidenceAtUs = nowUs;
    }

    // Answers and failures.

    /** When the node last answered a part. */
    long lastAnswerAtUs() {
        return lastAnswerAtUs;
    }

    /** When the latest-sent attempt that the node has answered was sent. */
    long newestAnsweredSentAtUs() {
        return newestAnsweredSentAtUs;
    }

    void recordAnswer(long sentAtUs, EvidenceDecay decay, long nowUs) {
        lastAnswerAtUs = nowUs;
        lastUsedAtUs = nowUs;
        down = false;
        newestAnsweredSentAtUs = Math.max(newestAnsweredSentAtUs, sentAtUs);
        failureShare -= FAILURE_STEP * failureShare;
        recentAnswers = recentAnswers(decay, nowUs) + 1;
        recentAnswersAtUs = nowUs;
    }

    private double recentAnswers(EvidenceDecay decay, long nowUs) {
        return recentAnswers * decay.remaining(recentAnswersAtUs, nowUs);
    }

    /** Parts per microsecond that the node has recently answered for this router. */
    double answerRate(EvidenceDecay decay, long nowUs) {
        return recentAnswers(decay, nowUs) / decay.timeConstantUs();
    }

    /** Share of recent attempts that failed, smoothed; decays with the time since the last evidence. */
    double failureShare(EvidenceDecay decay, long nowUs) {
        return failureShare * decay.remaining(lastEvidenceAtUs, nowUs);
    }

    void recordFailure(EvidenceDecay decay, long nowUs) {
        double share = failureShare(decay, nowUs);
        failureShare = share + FAILURE_STEP * (1 - share);
        lastEvidenceAtUs = nowUs;
    }

    /** Marks the node down after a failed connection; returns true where it was not down before. */
    boolean markDown() {
        boolean wasUp = !down;
        down = true;
        return wasUp;
    }
}

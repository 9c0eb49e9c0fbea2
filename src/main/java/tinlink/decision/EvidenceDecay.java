package tinlink.decision;

/**
 * Exponential decay of evidence on data nodes by its age. The time constant is four times the longest latency
 * objective.
 */
final class EvidenceDecay {
    private final long timeConstantUs;

    /** @param longestObjectiveUs the longest latency objective of any lookup class */
    EvidenceDecay(long longestObjectiveUs) {
        timeConstantUs = 4 * longestObjectiveUs;
    }

    /** The weight, from 0 to 1, that evidence of the given time still has. */
    double remaining(long atUs, long nowUs) {
        return Math.exp(-(double) (nowUs - atUs) / timeConstantUs);
    }

    /** The time, in microseconds, in which the weight of evidence falls to 1/e. */
    long timeConstantUs() {
        return timeConstantUs;
    }
}

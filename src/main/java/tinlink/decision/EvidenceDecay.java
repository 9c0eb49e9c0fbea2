package tinlink.decision;

/**
 * How the weight of evidence on data nodes fades with its age: to 1/e over four of the longest objectives.
 */
final class EvidenceDecay {
    private final long memoryUs;

    /** @param longestObjectiveUs the longest latency objective of any class of lookups */
    EvidenceDecay(long longestObjectiveUs) {
        memoryUs = 4 * longestObjectiveUs;
    }

    /** The share that is left now of evidence from that time, from 0 to 1. */
    double remaining(long atUs, long nowUs) {
        return Math.exp(-(double) (nowUs - atUs) / memoryUs);
    }

    /** Over this time, in microseconds, evidence fades to 1/e. */
    long memoryUs() {
        return memoryUs;
    }
}

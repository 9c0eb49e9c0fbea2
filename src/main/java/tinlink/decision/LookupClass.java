package tinlink.decision;

/** Objectives and limits of one class of lookups. Times are microseconds. */
public final class LookupClass {
    /** The effect of a repeated attempt at a part. */
    public enum Idempotency {
        /** A repeat has no further effect. */
        IDEMPOTENT,
        /** A repeat has no further effect while the data node remembers the idempotency key. */
        BY_KEY,
        /** A repeat has its effect again. */
        ONCE_ONLY
    }

    /** The effect of a repeated attempt at a part. */
    public Idempotency idempotency = Idempotency.IDEMPOTENT;
    /** An answer that takes longer than this from the lookup's arrival is late. */
    public long latencyObjectiveUs;
    /** The longest time that a client waits. */
    public long deadlineUs;
    /**
     * How long data nodes remember an idempotency key, from the first attempt that may have run; used with
     * BY_KEY only.
     */
    public long deduplicationWindowUs;

    /** Value of a complete answer in time, relative to the other classes. */
    public double priorityWeight = 1;
    /** Value of a late answer; 0 where a late answer has none. */
    public double lateAnswerWeight;
    /** Share of the parts' weight that makes an answer complete. */
    public double completeShare = 1;
    /** Least share of the parts' weight for a partial answer. */
    public double minimumShare = 1;
    /** Value of a partial answer in time. */
    public double partialAnswerWeight;
    /** Greatest number of parts in the second step; 0 where the class has one step only. */
    public int secondStepParts;

    boolean allowsPartialAnswers() {
        return minimumShare < completeShare;
    }
}

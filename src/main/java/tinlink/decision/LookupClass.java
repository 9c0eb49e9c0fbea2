package tinlink.decision;

/** What is agreed for one index of lookups. Times are microseconds. */
public final class LookupClass {
    /** What a repeated part call does. */
    public enum Idempotency {
        IDEMPOTENT,
        BY_KEY,
        ONCE_ONLY
    }

    public Idempotency idempotency = Idempotency.IDEMPOTENT;
    public long latencyObjectiveUs;
    public long deadlineUs;
    /**
     * Fingerprinted only: how long repeats are dropped, from the first part call that may have run.
     */
    public long deduplicationWindowUs;

    public double priorityWeight = 1;
    public double lateAnswerWeight;
    /** Share of the parts' weight that makes a whole answer, and the least share for any answer. */
    public double completeShare = 1;

    public double minimumShare = 1;
    public double partialAnswerWeight;
    /** Parts of a second step; 0 = one step only. */
    public int secondStepParts;
}

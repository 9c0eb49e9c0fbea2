package tinlink.decision;

/** What is agreed for one class of lookups. Times are microseconds. */
public final class LookupClass {
    /** What a repeated attempt at a part does. */
    public enum Idempotency {
        /** Nothing beyond what the first did. */
        IDEMPOTENT,
        /** Nothing while the data node remembers its idempotency key. */
        BY_KEY,
        /** It has its effect again. */
        ONCE_ONLY
    }

    /** What a repeat does. */
    public Idempotency idempotency = Idempotency.IDEMPOTENT;
    /** An answer later than this after the arrival is late. */
    public long latencyObjectiveUs;
    /** The longest that a client waits. */
    public long deadlineUs;
    /** By key only: how long repeats are dropped, from the first attempt that may have run. */
    public long deduplicationWindowUs;

    /** What a complete answer in time is worth, against the other classes. */
    public double priorityWeight = 1;
    /** What a late answer is worth; 0 for nothing. */
    public double lateAnswerWeight;
    /** Share of the parts' weight that makes a complete answer. */
    public double completeShare = 1;
    /** The least share for any answer, which is then a partial one. */
    public double minimumShare = 1;
    /** What a partial answer in time is worth. */
    public double partialAnswerWeight;
    /** Parts of a second step at most; 0 for one step only. */
    public int secondStepParts;

    boolean allowsPartialAnswers() {
        return minimumShare < completeShare;
    }
}

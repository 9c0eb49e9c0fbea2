package tinlink.decision;

/** The calls by which decisions leave the module. */
public interface Host {
    /** Sends the call's part to its node; past the limit (from now) it ends as NO_ANSWER. */
    void send(PartCall call, long limitUs);

    void cancel(PartCall call);

    /** Closes the idle connections to the node; the next send opens a new one. */
    void release(DataNode node);

    /** Final, or the end of the first step where the index has a second. */
    void answer(Lookup lk, boolean whole);

    /** Final: trying again does no harm. A come-back of 0 gives no advice. */
    void nack(Lookup lk, long comeBackUs);

    /** Final: promises nothing. */
    void abort(Lookup lk);

    /** Asks for {@link Aggregator#timer} at that time of the clock. */
    void wake(long atUs);

    /** Opens the standing subscription to the list. */
    void followList();
}

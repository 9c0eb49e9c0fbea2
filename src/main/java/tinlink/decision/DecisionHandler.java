package tinlink.decision;

/** The calls by which decisions leave the module. */
public interface DecisionHandler {
    /** Sends the call's part to its node; past the limit (from now) it ends as NO_ANSWER. */
    void send(Attempt attempt, long limitUs);

    void cancel(Attempt attempt);

    /** Closes the idle connections to the node; the next send opens a new one. */
    void closeIdleConnections(DataNode node);

    /** Final, or the end of the first step where the index has a second. */
    void answer(Lookup lookup, boolean whole);

    /** Final: trying again does no harm. A come-back of 0 gives no advice. */
    void reject(Lookup lookup, long comeBackUs);

    /** Final: promises nothing. */
    void abort(Lookup lookup);

    /** Asks for {@link QueryCoordinator#onTimer} at that time of the clock. */
    void wakeAt(long atUs);

    /** Opens the standing subscription to the list. */
    void subscribeToEndpointList();
}

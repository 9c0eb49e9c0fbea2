package tinlink.decision;

/**
 * What a query router asks of its decision module, whatever protocol stands before it.
 *
 * <p>One instance serves one router and shares nothing with others. Inputs only update what is
 * known. After a turn's inputs the host calls {@link #decide} until it returns false; each call
 * makes at most one decision, which leaves through {@link DecisionHandler}. Times are microseconds of one
 * clock that only goes forward.
 */
public interface QueryCoordinator {
    /** How news of the list relates to what was known. */
    enum EndpointListUpdate {
        CHANGES,
        FULL,
        CACHED,
        FAILED
    }

    /** The time of the inputs that follow. */
    void advanceClock(long nowUs);

    /** A lookup was taken; its parts follow in the same turn. */
    void onLookup(Lookup lookup);

    /** A part of a lookup in hand. */
    void onPart(Part part);

    /** A part call is over. A reported figure is below 0 where none came. */
    void onOutcome(Attempt attempt, Outcome outcome, long tookUs, long reportedLatencyUs);

    /** An entry of the list news that the next {@link #onEndpointListUpdate} closes; its fields are up to date. */
    void onEndpoint(DataNode node, boolean restarted);

    void onEndpointListUpdate(EndpointListUpdate news);

    void onHealthCheck(DataNode node, Outcome outcome, long tookUs, long reportedLatencyUs);

    void onTimer();

    /** The client has left; the lookup and its parts are over. */
    void onClientGone(Lookup lookup);

    boolean decide(DecisionHandler host);
}

package tinlink.decision;

/**
 * What a query router asks of its decision module, whatever protocol stands before it.
 *
 * <p>One instance serves one router, on one thread, and shares nothing with others. Inputs (the methods named
 * {@code on...}) only update what is known. After a turn's inputs the host calls {@link #decide} until it
 * returns false; each call makes at most one decision, which leaves through {@link DecisionHandler}. Times
 * are microseconds of one clock that only goes forward.
 */
public interface QueryCoordinator {
    /** How an update of the endpoint list relates to what was known. */
    enum EndpointListUpdate {
        /** Some entries have changed. */
        CHANGES,
        /** The whole list, from discovery itself. */
        FULL,
        /** The whole list as it was known before; discovery was not asked. */
        CACHED,
        /** Discovery was asked and has not answered, or the watch has ended. */
        FAILED
    }

    /** The time of the inputs that follow. */
    void advanceClock(long nowUs);

    /** A lookup has arrived; its parts follow, as a rule in the same turn. */
    void onLookup(Lookup lookup);

    /** A part of a lookup in flight. */
    void onPart(Part part);

    /**
     * An attempt is over.
     *
     * @param tookUs from its sending; below 0 where the router can't tell
     * @param reportedLatencyUs as the data node reported it; below 0 where it did not
     */
    void onOutcome(Attempt attempt, Outcome outcome, long tookUs, long reportedLatencyUs);

    /**
     * An entry of the update that the next {@link #onEndpointListUpdate} closes; its fields are up to date.
     *
     * @param restarted the node's process has started anew since it was last listed
     */
    void onEndpoint(DataNode node, boolean restarted);

    /** All entries of an update have been told. */
    void onEndpointListUpdate(EndpointListUpdate update);

    /** A health check of a data node has ended; figures as with {@link #onOutcome}. */
    void onHealthCheck(DataNode node, Outcome outcome, long tookUs, long reportedLatencyUs);

    /** The time that was asked for by {@link DecisionHandler#wakeAt} has come. */
    void onTimer();

    /** The client has left; the lookup and its parts are over. */
    void onClientGone(Lookup lookup);

    /** Makes at most one decision; false when there is none left in this turn. */
    boolean decide(DecisionHandler handler);
}

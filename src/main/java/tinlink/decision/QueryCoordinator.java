package tinlink.decision;

/**
 * The interface between a query router and its decision module, independent of the router's protocols.
 *
 * <p>One instance serves one router on one thread, and shares no state with other instances. Inputs (the
 * methods named {@code on...}) only update the state. After the inputs of a turn, the host calls
 * {@link #decide} until it returns false; each call makes at most one decision and passes it to the
 * {@link DecisionHandler}. Times are microseconds of one monotonic clock.
 */
public interface QueryCoordinator {
    /** How an update of the endpoint list relates to the list known before. */
    enum EndpointListUpdate {
        /** Some entries have changed. */
        CHANGES,
        /** The whole list, from discovery. */
        FULL,
        /** The whole list as the router has cached it, without a request to discovery. */
        CACHED,
        /** Discovery did not answer a request, or the subscription has ended. */
        FAILED
    }

    /** Sets the time of the inputs that follow. */
    void advanceClock(long nowUs);

    /** A lookup has arrived. Its parts follow, usually in the same turn. */
    void onLookup(Lookup lookup);

    /** A part of a lookup in flight has arrived. */
    void onPart(Part part);

    /**
     * An attempt has ended.
     *
     * @param tookUs time since the attempt was sent; negative where it is unknown
     * @param reportedLatencyUs latency that the data node reported; negative where it reported none
     */
    void onOutcome(Attempt attempt, Outcome outcome, long tookUs, long reportedLatencyUs);

    /**
     * An entry of the endpoint list has changed; the node's fields are up to date. The update is complete
     * with the next call of {@link #onEndpointListUpdate}.
     *
     * @param restarted whether the node's process has restarted since its last entry
     */
    void onEndpoint(DataNode node, boolean restarted);

    /** All entries of an endpoint list update have been passed in. */
    void onEndpointListUpdate(EndpointListUpdate update);

    /** A health check of a data node has ended; the times are those of {@link #onOutcome}. */
    void onHealthCheck(DataNode node, Outcome outcome, long tookUs, long reportedLatencyUs);

    /** The time given to {@link DecisionHandler#wakeAt} has come. */
    void onTimer();

    /** The client has left, which ends the lookup and its parts. */
    void onClientGone(Lookup lookup);

    /** Makes at most one decision; returns false when the turn has no more. */
    boolean decide(DecisionHandler handler);
}

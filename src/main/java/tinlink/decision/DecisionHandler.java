package tinlink.decision;

/**
 * Carries out decisions. {@link QueryCoordinator#decide} calls the handler, which must not call back into the
 * coordinator; the host passes any resulting inputs after {@code decide} has returned.
 */
public interface DecisionHandler {
    /** Sends the attempt's part to its data node; the attempt ends as NO_ANSWER after {@code limitUs}. */
    void send(Attempt attempt, long limitUs);

    /** Cancels the attempt; its outcome follows as for any other attempt. */
    void cancel(Attempt attempt);

    /** Closes the idle connections to the data node; the next attempt opens a new one. */
    void closeIdleConnections(DataNode node);

    /**
     * Answers the client with the parts that are satisfied. The answer is final where
     * {@link Lookup#ended} is true. Otherwise it ends the first of two steps, and the host passes in the
     * parts of the second step next.
     *
     * @param complete false for a partial answer
     */
    void answer(Lookup lookup, boolean complete);

    /**
     * Rejects the lookup, which ends it; a retry by the client is harmless.
     *
     * @param retryAfterUs the Retry-After for the client, in microseconds; 0 for none
     */
    void reject(Lookup lookup, long retryAfterUs);

    /** Aborts the lookup, which ends it; the lookup may have had its effect. */
    void abort(Lookup lookup);

    /** Requests a call of {@link QueryCoordinator#onTimer} at the given time of the clock. */
    void wakeAt(long atUs);

    /** Asks discovery for the endpoint list and for all later changes to it. */
    void subscribeToEndpointList();
}

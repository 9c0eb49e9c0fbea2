package tinlink.decision;

/**
 * Carries decisions out. Called from within {@link QueryCoordinator#decide}, which must not be called back
 * from here; inputs that result are given to the coordinator after it has returned.
 */
public interface DecisionHandler {
    /** Sends the attempt's part to its node; after {@code limitUs} from now it ends as NO_ANSWER. */
    void send(Attempt attempt, long limitUs);

    /** Gives the attempt up; its outcome follows as for any other. */
    void cancel(Attempt attempt);

    /** Closes the idle connections to the node; the next send opens a new one. */
    void closeIdleConnections(DataNode node);

    /**
     * Answers the client with the parts that are satisfied. Final, or the end of the first step where the
     * class has a second: then {@link Lookup#isEnded} is false, and the parts of the second step are to
     * follow.
     */
    void answer(Lookup lookup, boolean isComplete);

    /**
     * Final: rejected, and a retry does no harm.
     *
     * @param retryAfterUs when the client should retry; 0 gives no advice
     */
    void reject(Lookup lookup, long retryAfterUs);

    /** Final: given up; the lookup may have had its effect. */
    void abort(Lookup lookup);

    /** Asks for {@link QueryCoordinator#onTimer} at that time of the clock. */
    void wakeAt(long atUs);

    /** Asks discovery for the endpoint list, and for all that changes from then on. */
    void subscribeToEndpointList();
}

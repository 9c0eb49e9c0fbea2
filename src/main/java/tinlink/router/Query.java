package tinlink.router;

import tinlink.decision.Lookup;

/** A lookup in flight: what is sent with its parts, and who is notified of its response. */
final class Query extends Lookup {
    /** Notified of a query's end; once, and not after its client has left. */
    interface ResponseListener {
        void onAnswer(Query query, boolean isComplete);

        /**
         * The lookup is refused.
         *
         * @param retryAfterUs 0 for no advice
         */
        void onRejection(Query query, long retryAfterUs);

        void onAbort(Query query);

        /** An internal error has ended it; it may have run. */
        void onFailure(Query query);
    }

    /** Unique among all that are in flight or have just ended. */
    final String callId;
    /** Held once; every part call sends these bytes. */
    final byte[] text;
    /** The client's idempotency key; null where its lookup class needs none. */
    final String idempotencyKey;

    final ResponseListener listener;
    /**
     * The longest Retry-After that a router of another site has given, in microseconds; 0 where none
     * has.
     */
    long remoteRetryAfterUs;
    /** The part of another site that it was made for; null for a client's. */
    Object remoteOrigin;

    Query(String callId, byte[] text, String idempotencyKey, ResponseListener listener) {
        this.callId = callId;
        this.text = text;
        this.idempotencyKey = idempotencyKey;
        this.listener = listener;
    }
}

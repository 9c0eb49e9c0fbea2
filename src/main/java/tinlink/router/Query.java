package tinlink.router;

import tinlink.decision.Lookup;

/** A lookup in flight: the content sent with its parts, and the listener for its response. */
final class Query extends Lookup {
    /** Notified once when a query ends, unless its client has disconnected before. */
    interface ResponseListener {
        void onAnswer(Query query, boolean isComplete);

        /**
         * The lookup was rejected: a retry is harmless.
         *
         * @param retryAfterUs delay to suggest to the client, in microseconds; 0 for none
         */
        void onRejection(Query query, long retryAfterUs);

        void onAbort(Query query);

        /** An internal error ended the lookup, which may have run. */
        void onFailure(Query query);
    }

    /** Unique among the queries that are in flight or ended recently. */
    final String callId;
    /** The text of the lookup in UTF-8, shared by all attempts of all parts. */
    final byte[] text;
    /** The client's idempotency key; null if its lookup class needs none. */
    final String idempotencyKey;

    final ResponseListener listener;
    /**
     * The longest Retry-After received from a router of another site, in microseconds; 0 if none was
     * received.
     */
    long remoteRetryAfterUs;
    /** Whether any attempt of this query may have been sent. */
    boolean attempted;
    /** The forwarded part that this query was created for; null for a query of a client. */
    Object remoteOrigin;

    Query(String callId, byte[] text, String idempotencyKey, ResponseListener listener) {
        this.callId = callId;
        this.text = text;
        this.idempotencyKey = idempotencyKey;
        this.listener = listener;
    }
}

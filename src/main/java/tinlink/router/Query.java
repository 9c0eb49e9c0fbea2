package tinlink.router;

import tinlink.decision.Lookup;

/** A lookup in hand: what has to be passed on with its parts, and who waits for the answer. */
final class Query extends Lookup {
    /** Who hears the end of a query; once, and not after it has left. */
    interface Asker {
        void answered(Query q, boolean whole);

        /**
         * The lookup is refused.
         *
         * @param comeBackUs 0 for no advice
         */
        void nacked(Query q, long comeBackUs);

        void aborted(Query q);

        /** A fault of ours has ended it; it may have run. */
        void failed(Query q);
    }

    /** Of its own among all that are in hand or just over. */
    final String callId;
    /** Held once; every part call sends these bytes. */
    final byte[] text;
    /** The client's fingerprint of the lookup; null where its index needs none. */
    final String key;

    final Asker asker;
    /**
     * The longest time after which a router of another site wants to be asked again; 0 where none
     * said so.
     */
    long comeBackUs;
    /** The part of another site that it was made for; null for a client's. */
    Object origin;

    Query(String callId, byte[] text, String key, Asker asker) {
        this.callId = callId;
        this.text = text;
        this.key = key;
        this.asker = asker;
    }
}

package tinlink.router;

import tinlink.decision.Lookup;

/** A lookup taken from a client: what has to be passed on with its parts, and who waits for the answer. */
final class Query extends Lookup {
    final String callId;
    /** Held once; every part call sends these bytes. */
    final byte[] text;
    /** The client's fingerprint of the lookup; null where its index needs none. */
    final String key;
    final Client client;

    Query(String callId, byte[] text, String key, Client client) {
        this.callId = callId;
        this.text = text;
        this.key = key;
        this.client = client;
    }
}

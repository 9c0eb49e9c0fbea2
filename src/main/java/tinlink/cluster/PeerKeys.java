package tinlink.cluster;

import tinlink.securechannel.KeyRing;

import java.util.Map;

/** The keys that the routers of a cluster share, for the connections between them. */
public final class PeerKeys extends KeyRing {
    /**
     * Creates a key ring.
     *
     * @param keysById the accepted keys by id; the router that opens a connection names the id
     * @param activeKeyId the id of the key with which this router opens connections
     */
    public PeerKeys(Map<String, byte[]> keysById, String activeKeyId) {
        super(keysById, activeKeyId);
    }
}

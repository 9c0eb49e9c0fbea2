package tinlink.cluster;

import tinlink.securechannel.KeyRing;

import java.util.Map;

/** The keys that the routers of a cluster share. */
public final class PeerKeys extends KeyRing {
    /**
     * Holds them.
     *
     * @param keysById by the name that a connection is opened under
     * @param activeKeyId under which this router opens connections
     */
    public PeerKeys(Map<String, byte[]> keysById, String activeKeyId) {
        super(keysById, activeKeyId);
    }
}

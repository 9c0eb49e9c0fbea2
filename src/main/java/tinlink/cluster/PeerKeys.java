package tinlink.cluster;

import tinlink.securechannel.KeyRing;

import java.util.Map;

/** The keys that the routers of a cluster share. */
public final class PeerKeys extends KeyRing {
    public PeerKeys(Map<String, byte[]> ring, String use) {
        super(ring, use);
    }
}

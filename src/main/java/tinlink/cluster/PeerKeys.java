package tinlink.cluster;

import tinlink.sealed.Keys;

import java.util.Map;

/** The keys that the routers of a cluster share. */
public final class PeerKeys extends Keys {
    public PeerKeys(Map<String, byte[]> ring, String use) {
        super(ring, use);
    }
}

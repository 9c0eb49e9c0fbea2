package tinlink.gateway;

import java.util.Map;

/** The keys that sites share. */
public final class Keys extends tinlink.sealed.Keys {
    public Keys(Map<String, byte[]> ring, String use) {
        super(ring, use);
    }
}

package tinlink.gateway;

import java.util.Map;

/** The keys that sites share. */
public final class GatewayKeys extends tinlink.securechannel.KeyRing {
    public GatewayKeys(Map<String, byte[]> ring, String use) {
        super(ring, use);
    }
}

package tinlink.gateway;

import tinlink.securechannel.KeyRing;

import java.util.Map;

/** The shared keys with which routers of different sites authenticate to each other. */
public final class GatewayKeys extends KeyRing {
    /**
     * Creates a key ring.
     *
     * @param keysById the keys by their id, which the connecting router names in its HELLO
     * @param activeKeyId the id of the key with which this site opens connections
     */
    public GatewayKeys(Map<String, byte[]> keysById, String activeKeyId) {
        super(keysById, activeKeyId);
    }
}

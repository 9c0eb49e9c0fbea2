package tinlink.gateway;

import tinlink.securechannel.KeyRing;

import java.util.Map;

/** The keys that sites share. */
public final class GatewayKeys extends KeyRing {
    /**
     * Holds them.
     *
     * @param keysById by the name that a connection is opened under
     * @param activeKeyId under which this site opens connections
     */
    public GatewayKeys(Map<String, byte[]> keysById, String activeKeyId) {
        super(keysById, activeKeyId);
    }
}

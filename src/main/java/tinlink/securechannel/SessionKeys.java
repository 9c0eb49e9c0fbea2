package tinlink.securechannel;

/**
 * The tags of both directions of a connection, from the secret that its handshake has made.
 *
 * @param outbound of the frames that this side sends
 * @param inbound of those that it receives
 */
record SessionKeys(FrameAuthenticator outbound, FrameAuthenticator inbound) {
    // Labels of the key derivation: both sides have to use the same, whatever their version.
    private static final String TO_RESPONDER = "to the far side";
    private static final String TO_INITIATOR = "to the near side";

    /**
     * Derives the keys of both directions.
     *
     * @param isInitiator whether this side has opened the connection
     */
    static SessionKeys derive(byte[] secret, boolean isInitiator) {
        byte[] toResponder = KeyRing.mac(secret, TO_RESPONDER);
        byte[] toInitiator = KeyRing.mac(secret, TO_INITIATOR);
        return new SessionKeys(
                new FrameAuthenticator(isInitiator ? toResponder : toInitiator),
                new FrameAuthenticator(isInitiator ? toInitiator : toResponder));
    }
}

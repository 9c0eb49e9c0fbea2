package tinlink.securechannel;

/**
 * The authenticators for both directions of a connection. Their keys are derived from the secret of
 * the handshake.
 *
 * @param outbound authenticator for the frames that this side sends
 * @param inbound authenticator for the frames that this side receives
 */
record SessionAuthenticators(FrameAuthenticator outbound, FrameAuthenticator inbound) {
    // Labels for the key derivation. Both sides have to use the same, whatever their build.
    private static final String TO_RESPONDER = "to the far side";
    private static final String TO_INITIATOR = "to the near side";

    /**
     * Derives the keys of both directions.
     *
     * @param secret session secret of this connection
     * @param initiator whether this side has opened the connection
     */
    static SessionAuthenticators derive(byte[] secret, boolean initiator) {
        byte[] toResponder = KeyRing.mac(secret, TO_RESPONDER);
        byte[] toInitiator = KeyRing.mac(secret, TO_INITIATOR);
        return new SessionAuthenticators(
                new FrameAuthenticator(initiator ? toResponder : toInitiator),
                new FrameAuthenticator(initiator ? toInitiator : toResponder));
    }
}

package tinlink.router;

/**
 * The means by which one attempt is sent: a frame shared with other attempts, an HTTP/2 stream, or a channel
 * to a router of another site.
 */
interface AttemptTransport {
    /** Whether no byte of the attempt has been passed to a connection, so that it counts as not sent. */
    boolean isQueued();

    /** Called when the deadline of the attempt has passed without an answer. */
    void onTimeout(SentAttempt sent);

    /**
     * Called when the outcome of the attempt is known.
     *
     * @param cancelAtNode whether the data node should be asked to cancel the attempt
     */
    void onOutcome(SentAttempt sent, boolean cancelAtNode);
}

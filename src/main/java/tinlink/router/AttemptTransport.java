package tinlink.router;

/**
 * How an attempt travels: in a frame with others, on an HTTP/2 stream, or to a router of another site.
 */
interface AttemptTransport {
    /** Nothing of it has been handed to a connection, so it is as good as never sent. */
    boolean isQueued();

    /** Its deadline has passed without an answer. */
    void onTimeout(SentAttempt sent);

    /**
     * Its outcome is known.
     *
     * @param giveUp it should be taken off its node
     */
    void onOutcome(SentAttempt sent, boolean giveUp);
}

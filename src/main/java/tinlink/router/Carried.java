package tinlink.router;

/**
 * How a part call travels: in a frame with others, on a stream, or over the line to another site.
 */
interface Carried {
    /** Nothing of it has been handed to a connection, so it is as good as never sent. */
    boolean waits();

    /** Its limit has passed without an answer. */
    void unanswered(Sent s);

    /**
     * Its outcome is known.
     *
     * @param giveUp it should be taken off its node
     */
    void over(Sent s, boolean giveUp);
}

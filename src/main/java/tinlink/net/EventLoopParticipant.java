package tinlink.net;

/** A component that takes part in each turn of the event loop, on the loop's thread. */
public interface EventLoopParticipant {
    /**
     * Called when a turn begins, before the queued tasks run, and again if the turn has taken so
     * long that its clock is updated.
     *
     * @param nowUs the time of the turn, in Unix microseconds that never go back
     */
    void turnStarted(long nowUs);

    /**
     * Called after the queued tasks have run; bytes that are added to connections now are written
     * in this turn.
     */
    void turnEnding();
}

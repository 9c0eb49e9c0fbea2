package tinlink.net;

/** What takes part in each turn of the event loop, on its thread. */
public interface EventLoopParticipant {
    /**
     * Called as a turn begins, before the tasks that are ready; again where the turn has taken so long that
     * its clock is set anew.
     *
     * @param nowUs the time of the turn, in Unix microseconds that never go back
     */
    void turnStarted(long nowUs);

    /** Called once the tasks that were ready have run; what is put into connections leaves with this turn. */
    void turnEnding();
}

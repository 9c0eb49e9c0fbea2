package tinlink.cluster.membership;

/**
 * The state of a router's incarnation, in the terms of SWIM. Of two rumors with the same refutation count,
 * the one with the later of these states wins.
 */
public enum MemberState {
    /** The router answers, as far as is known. */
    ALIVE,
    /** The router has not answered a probe, and may still refute the suspicion. */
    SUSPECT,
    /** The router did not refute the suspicion in time. It may still run, partitioned off or paused. */
    DEAD,
    /** The router has announced that its process ends. */
    LEFT;

    /** Whether the router counts as running. */
    public boolean isServing() {
        return this == ALIVE || this == SUSPECT;
    }
}

package tinlink.cluster.membership;

/** What a router knows of another's incarnation; each supersedes those before it at one refutation count. */
public enum MemberState {
    /** It answers, as far as is known. */
    ALIVE,
    /** It has not answered, and may yet say that it is alive. */
    SUSPECT,
    /** It did not say so in time. It may be alive all the same, cut off or paused. */
    DEAD,
    /** It has said itself that it ends. */
    LEFT;

    /** Whether it counts as one that runs. */
    public boolean isServing() {
        return this == ALIVE || this == SUSPECT;
    }
}

package tinlink.cluster.membership;

/** What a router holds of another's incarnation; each outdoes those before it at one refutation count. */
public enum MemberState {
    ALIVE,
    /** It has not answered, and may yet say that it lives. */
    SUSPECT,
    /** It did not say so in time. It may live all the same, cut off or standing still. */
    DEAD,
    /** It has said itself that it ends. */
    LEFT;

    public boolean isServing() {
        return this == ALIVE || this == SUSPECT;
    }
}

package tinlink.peers.choice;

/** What a router holds of another's life; each outdoes those before it at one incarnation. */
public enum Standing {
    ALIVE,
    /** It has not answered, and may yet say that it lives. */
    SUSPECT,
    /** It did not say so in time. It may live all the same, cut off or standing still. */
    DEAD,
    /** It has said itself that it ends. */
    LEFT;

    public boolean serves() {
        return this == ALIVE || this == SUSPECT;
    }
}

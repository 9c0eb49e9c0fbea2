package tinlink.cluster.membership;

/**
 * One run of a router's process, from its start to its exit.
 *
 * @param router the router's name
 * @param startCount how often the router has been started with its data folder, this start included
 * @param nonce random number drawn at this start, which tells apart two processes with equal counts
 */
public record Incarnation(String router, long startCount, long nonce) {
    /** The relation of another incarnation of the same router to this one. */
    public enum Relation {
        /** The two are the same process. */
        SAME,
        /** The other process was started after this one. */
        LATER,
        /** The other process was started before this one. */
        EARLIER,
        /**
         * The other process has the same start count: one of the two runs with a copy of the folder.
         */
        DUPLICATE
    }

    /** Returns the relation of the other incarnation to this one. */
    public Relation relationTo(Incarnation other) {
        if (other.startCount != startCount) {
            return other.startCount > startCount ? Relation.LATER : Relation.EARLIER;
        }
        return other.nonce == nonce ? Relation.SAME : Relation.DUPLICATE;
    }

    /** Returns the form that logs, status views and reports use. */
    @Override
    public String toString() {
        return router + "#" + startCount + "." + Long.toHexString(nonce);
    }
}

package tinlink.cluster.membership;

/**
 * One process of a router, from its start to its end.
 *
 * @param router the router's name
 * @param startCount how often this router has been started with its folder, this start counted
 * @param nonce drawn by chance at this start: two processes that count the same starts differ in it
 */
public record Incarnation(String router, long startCount, long nonce) {
    /** How another incarnation of the same router stands to this one. */
    public enum Relation {
        /** It is this one. */
        SAME,
        /** It was started after this one. */
        LATER,
        /** It was started before this one. */
        EARLIER,
        /**
         * It counts the same starts and is another process: one of the two runs with a copy of the folder.
         */
        DUPLICATE
    }

    /** How the other one stands to this one. */
    public Relation relationTo(Incarnation other) {
        if (other.startCount != startCount) {
            return other.startCount > startCount ? Relation.LATER : Relation.EARLIER;
        }
        return other.nonce == nonce ? Relation.SAME : Relation.DUPLICATE;
    }

    /** As it stands in logs, views and reports. */
    @Override
    public String toString() {
        return router + "#" + startCount + "." + Long.toHexString(nonce);
    }
}

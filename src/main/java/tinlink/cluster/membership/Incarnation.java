package tinlink.cluster.membership;

/**
 * One process of a router, from its start to its end.
 *
 * @param router the router's
 * @param startCount how often this router has been started with its folder, this one counted
 * @param nonce by chance at this start: two processes that count the same starts differ in it
 */
public record Incarnation(String router, long startCount, long nonce) {
    /** How another incarnation of the same router stands to this one. */
    public enum Relation {
        SAME,
        LATER,
        EARLIER,
        TWIN
    }

    public Relation relationTo(Incarnation other) {
        if (other.startCount != startCount) {
            return other.startCount > startCount ? Relation.LATER : Relation.EARLIER;
        }
        return other.nonce == nonce ? Relation.SAME : Relation.TWIN;
    }

    @Override
    public String toString() {
        return router + "#" + startCount + "." + Long.toHexString(nonce);
    }
}

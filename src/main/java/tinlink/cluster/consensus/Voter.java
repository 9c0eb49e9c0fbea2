package tinlink.cluster.consensus;

import io.microraft.RaftEndpoint;

/**
 * A voter of the Raft group: a router together with one of its disks. A router that has lost its disk, or
 * came back with an old copy of it, becomes another voter with another disk id, so votes and acknowledgements
 * of the previous disk don't count for the new one, nor against it.
 *
 * @param router the router's name
 * @param diskId a random number drawn at the first use of the folder; 0 for a disk of the cluster's first
 *     start
 */
public record Voter(String router, long diskId) implements RaftEndpoint, Comparable<Voter> {
    private static final int HEX_RADIX = 16;

    @Override
    public Object getId() {
        return toString();
    }

    @Override
    public int compareTo(Voter other) {
        int byRouter = router.compareTo(other.router);
        return byRouter != 0 ? byRouter : Long.compare(diskId, other.diskId);
    }

    /**
     * Parses the text that {@link #toString} returns.
     *
     * @throws IllegalArgumentException if the text is not a voter
     */
    public static Voter parse(String text) {
        int separator = text.lastIndexOf('/');
        if (separator < 1) {
            throw new IllegalArgumentException(
                    "expected a voter as ROUTER/DISK-ID, found: " + text);
        }
        return new Voter(
                text.substring(0, separator),
                Long.parseUnsignedLong(text.substring(separator + 1), HEX_RADIX));
    }

    /** The router's name, a slash, and the disk id in hex: the form in messages and stored records. */
    @Override
    public String toString() {
        return router + "/" + Long.toHexString(diskId);
    }
}

package tinlink.cluster.consensus;

import io.microraft.RaftEndpoint;

/**
 * Who takes part in agreeing: a router together with one disk of its. A router that has lost its disk, or
 * came back with an old copy of it, gets another number, so what the disk before it has said is not held
 * against it, nor for it.
 *
 * @param diskId drawn by chance as the folder was first used; 0 for a disk of the cluster's first start
 */
public record Voter(String router, long diskId) implements RaftEndpoint, Comparable<Voter> {
    private static final int HEX = 16;

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
     * Reads a voter from its text.
     *
     * @throws IllegalArgumentException where the text is none
     */
    public static Voter parse(String text) {
        int separator = text.lastIndexOf('/');
        if (separator < 1) {
            throw new IllegalArgumentException("no voter: " + text);
        }
        return new Voter(
                text.substring(0, separator),
                Long.parseUnsignedLong(text.substring(separator + 1), HEX));
    }

    /** The router's name, a slash, and the disk's number in hex: as it goes to others and to disks. */
    @Override
    public String toString() {
        return router + "/" + Long.toHexString(diskId);
    }
}

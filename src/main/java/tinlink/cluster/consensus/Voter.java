package tinlink.cluster.consensus;

import io.microraft.RaftEndpoint;

/**
 * Who takes part in agreeing: a router together with one disk of its. A router that has lost its
 * disk, or came back with an old copy of it, gets another number, so what it said before is not
 * held against it, nor for it.
 *
 * @param diskId made by chance as the folder was first used
 */
public record Voter(String router, long diskId) implements RaftEndpoint, Comparable<Voter> {
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
                Long.parseUnsignedLong(text.substring(separator + 1), 16));
    }

    @Override
    public String toString() {
        return router + "/" + Long.toHexString(diskId);
    }
}

package tinlink.peers;

import io.microraft.RaftEndpoint;

/**
 * Who takes part in agreeing: a router together with one disk of its. A router that has lost its
 * disk, or came back with an old copy of it, gets another number, so what it said before is not
 * held against it, nor for it.
 *
 * @param disk made by chance as the folder was first used
 */
public record Voter(String router, long disk) implements RaftEndpoint, Comparable<Voter> {
    @Override
    public Object getId() {
        return toString();
    }

    @Override
    public int compareTo(Voter o) {
        int names = router.compareTo(o.router);
        return names != 0 ? names : Long.compare(disk, o.disk);
    }

    /**
     * Reads a voter from its text.
     *
     * @throws IllegalArgumentException where the text is none
     */
    public static Voter of(String text) {
        int at = text.lastIndexOf('/');
        if (at < 1) {
            throw new IllegalArgumentException("no voter: " + text);
        }
        return new Voter(text.substring(0, at), Long.parseUnsignedLong(text.substring(at + 1), 16));
    }

    @Override
    public String toString() {
        return router + "/" + Long.toHexString(disk);
    }
}

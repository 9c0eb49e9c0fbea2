package tinlink.decision;

/** A data node of a recorded play: a queue for each core, and what is wrong with it. */
final class PlayedNode {
    /** Each acts on the part calls that reach the node meanwhile. */
    enum Fault {
        NONE,
        SLOW,
        HUNG,
        FAILS,
        FULL,
        REFUSES,
        LOSES,
        NOT_SENT
    }

    final DataNode node;
    private final long[] freeAt;
    Fault fault = Fault.NONE;
    /** When its connection was last used. */
    long usedAt;

    PlayedNode(long nodeId, int cores) {
        node = new DataNode(nodeId);
        freeAt = new long[cores];
    }

    /** When a part is done that comes now and takes a core so long. */
    long take(long nowUs, long workUs) {
        int first = 0;
        for (int i = 1; i < freeAt.length; i++) {
            first = freeAt[i] < freeAt[first] ? i : first;
        }
        freeAt[first] = Math.max(nowUs, freeAt[first]) + workUs;
        return freeAt[first];
    }

    /** Whether all cores have work for longer than this. */
    boolean busyFor(double workUs, long nowUs) {
        for (long free : freeAt) {
            if (free - nowUs < workUs) {
                return false;
            }
        }
        return true;
    }
}

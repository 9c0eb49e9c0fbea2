package tinlink.decision;

/** A simulated data node of a recorded play: a queue for each core, and the fault that the node has. */
final class PlayedNode {
    /** What happens to the attempts that reach the node while it has the fault. */
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
    /** For each core, when its work is done. */
    private final long[] coreFreeAtUs;

    Fault fault = Fault.NONE;
    /** When the connection to the node was last used. */
    long connectionUsedAtUs;

    PlayedNode(long nodeId, int cores) {
        node = new DataNode(nodeId);
        coreFreeAtUs = new long[cores];
    }

    /** Adds a part that takes a core for {@code workUs}; returns when the part is done. */
    long addWork(long nowUs, long workUs) {
        int first = 0;
        for (int i = 1; i < coreFreeAtUs.length; i++) {
            first = coreFreeAtUs[i] < coreFreeAtUs[first] ? i : first;
        }
        coreFreeAtUs[first] = Math.max(nowUs, coreFreeAtUs[first]) + workUs;
        return coreFreeAtUs[first];
    }

    /** Whether all cores have work for at least this long. */
    boolean isBusyFor(double workUs, long nowUs) {
        for (long freeAtUs : coreFreeAtUs) {
            if (freeAtUs - nowUs < workUs) {
                return false;
            }
        }
        return true;
    }
}

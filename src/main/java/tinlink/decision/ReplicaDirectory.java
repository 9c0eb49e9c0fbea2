package tinlink.decision;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The data nodes that this router knows of, and which of them hold a part's shard: those of its cell and of
 * the next ones, as many as hold each shard.
 */
public final class ReplicaDirectory {
    private final int cells;
    private final int cellsPerShard;
    private final ReplicaHealth health;
    private final Map<DataNode, ReplicaStats> known = new LinkedHashMap<>();
    /** The same nodes by cell: the cost of a part goes with its holders, not with the fleet. */
    private final List<List<ReplicaStats>> byCell = new ArrayList<>();

    /**
     * @param cells that shards fall on, by the remainder
     * @param cellsPerShard successive cells that hold each shard
     */
    public ReplicaDirectory(int cells, int cellsPerShard, ReplicaHealth health) {
        this.cells = cells;
        this.cellsPerShard = cellsPerShard;
        this.health = health;
        for (int i = 0; i < cells; i++) {
            byCell.add(new ArrayList<>());
        }
    }

    /** What was seen of a node is dropped once it has restarted or moved to another cell. */
    void onEndpoint(DataNode node, boolean restarted) {
        ReplicaStats stats = known.get(node);
        int cell = Math.floorMod(node.cell, cells);
        if (stats == null || restarted || stats.cell() != cell) {
            ReplicaStats fresh = ReplicaStats.afresh(node, cell, stats);
            forget(stats);
            known.put(node, fresh);
            byCell.get(cell).add(fresh);
            stats = fresh;
        }
        forgetIfGone(stats);
    }

    void forgetIfGone(ReplicaStats stats) {
        if (stats.node().state == DataNode.State.GONE
                && stats.callsInFlight() == 0
                && known.get(stats.node()) == stats) {
            forget(stats);
        }
    }

    private void forget(ReplicaStats stats) {
        if (stats != null) {
            known.remove(stats.node());
            byCell.get(stats.cell()).remove(stats);
            health.latency().forget(stats);
            stats.forget();
        }
    }

    /** Never null: an attempt may end after its node was forgotten. */
    ReplicaStats stats(DataNode node) {
        ReplicaStats stats = known.get(node);
        return stats == null ? ReplicaStats.ofForgotten(node) : stats;
    }

    ReplicaStats lastStats(Part part) {
        return stats(part.lastAttempt().node);
    }

    /** In the order in which they were first listed. */
    Iterable<ReplicaStats> all() {
        return known.values();
    }

    boolean hasHolder(Part part, long nowUs) {
        return !holders(part, nowUs).isEmpty();
    }

    /** Nodes that may take the part now: none that drains or is gone, nor one over too long a link. */
    List<ReplicaStats> holders(Part part, long nowUs) {
        List<ReplicaStats> ready = new ArrayList<>();
        for (int i = 0; i < Math.min(cellsPerShard, cells); i++) {
            for (ReplicaStats stats : byCell.get(Math.floorMod(part.shard + i, cells))) {
                if (stats.node().state == DataNode.State.READY
                        && isReachable(stats.node(), part.lookup, nowUs)) {
                    ready.add(stats);
                }
            }
        }
        return ready;
    }

    private static boolean isReachable(DataNode node, Lookup lookup, long nowUs) {
        return node.linkRoundTripUs == 0
                || (!lookup.isForwarded && lookup.endsAtUs - nowUs > node.linkRoundTripUs);
    }
}

package tinlink.decision;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The data nodes that this router knows, and which of them are replicas of a shard. A shard is held by the
 * cell with its number modulo the number of cells, and by a configured number of cells that follow.
 */
public final class ReplicaDirectory {
    private final int cells;
    private final int cellsPerShard;
    private final ReplicaHealth health;
    private final Map<DataNode, ReplicaStats> known = new LinkedHashMap<>();
    /** The known nodes by cell, so that the cost of a part does not grow with the fleet. */
    private final List<List<ReplicaStats>> byCell = new ArrayList<>();

    /**
     * @param cells number of cells that the shards are spread over
     * @param cellsPerShard number of successive cells that hold each shard
     */
    public ReplicaDirectory(int cells, int cellsPerShard, ReplicaHealth health) {
        this.cells = cells;
        this.cellsPerShard = cellsPerShard;
        this.health = health;
        for (int i = 0; i < cells; i++) {
            byCell.add(new ArrayList<>());
        }
    }

    /** Adds or updates a data node; its statistics start anew after a restart or in another cell. */
    void onEndpoint(DataNode node, boolean restarted) {
        ReplicaStats stats = known.get(node);
        int cell = Math.floorMod(node.cell, cells);
        if (stats == null || restarted || stats.cell() != cell) {
            ReplicaStats fresh = ReplicaStats.withoutHistory(node, cell, stats);
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

    /** The node's statistics; never null, since an attempt may end after its node was forgotten. */
    ReplicaStats stats(DataNode node) {
        ReplicaStats stats = known.get(node);
        return stats == null ? ReplicaStats.ofForgotten(node) : stats;
    }

    ReplicaStats lastStats(Part part) {
        return stats(part.lastAttempt().node);
    }

    /** All known nodes, in the order in which they were first listed. */
    Iterable<ReplicaStats> all() {
        return known.values();
    }

    boolean hasAvailableReplica(Part part, long nowUs) {
        return !availableReplicas(part, nowUs).isEmpty();
    }

    /**
     * The replicas of the part's shard that may take the part now. They are ready, and an answer over their
     * link can still arrive in time; a forwarded part stays at this site.
     */
    List<ReplicaStats> availableReplicas(Part part, long nowUs) {
        List<ReplicaStats> available = new ArrayList<>();
        for (int i = 0; i < Math.min(cellsPerShard, cells); i++) {
            for (ReplicaStats stats : byCell.get(Math.floorMod(part.shard + i, cells))) {
                if (stats.node().state == DataNode.State.READY
                        && isReachable(stats.node(), part.lookup, nowUs)) {
                    available.add(stats);
                }
            }
        }
        return available;
    }

    private static boolean isReachable(DataNode node, Lookup lookup, long nowUs) {
        return node.linkRoundTripUs == 0
                || (!lookup.forwarded && lookup.endsAtUs - nowUs > node.linkRoundTripUs);
    }
}

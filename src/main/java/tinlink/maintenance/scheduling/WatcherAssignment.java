package tinlink.maintenance.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Determines which machines one router watches, by rendezvous hashing: a machine is watched by the few
 * routers with the lowest weights for it, so that a router that joins or leaves changes only the watchers of
 * the machines that it watches itself. The assignment is updated incrementally: a new router costs one hash
 * for each machine, and a new machine one for each router, instead of one for each pair. Not thread-safe.
 *
 * <p>Source: D. Thaler and C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates" (1998).
 */
public final class WatcherAssignment {
    /** The rank of this router among the watchers of one machine. */
    private static final class Ranking {
        final long ownWeight;
        /** Number of other routers with a lower weight for the machine, the machine itself left out. */
        int rank;

        Ranking(long ownWeight) {
            this.ownWeight = ownWeight;
        }
    }

    private final String router;
    private final int watchers;
    private final long ownNameHash;
    /** By name of another live router, the unfinished hash of its name. */
    private final Map<String, Long> nameHashes = new HashMap<>();
    /** By id of a machine that is to be watched. */
    private final Map<String, Ranking> rankings = new HashMap<>();

    /**
     * @param router name of the router whose machines are determined
     * @param watchers number of routers that watch one machine
     */
    WatcherAssignment(String router, int watchers) {
        this.router = router;
        this.watchers = watchers;
        ownNameHash = nameHash(router);
    }

    /** Sets the routers that watch machines; this router counts as one, whether it is contained or not. */
    void setRouters(Collection<String> alive) {
        Set<String> others = new HashSet<>(alive);
        others.remove(router);
        nameHashes.entrySet().removeIf(other -> {
            boolean left = !others.contains(other.getKey());
            if (left) {
                adjustRankings(other.getKey(), other.getValue(), -1);
            }
            return left;
        });
        for (String other : others) {
            if (!nameHashes.containsKey(other)) {
                long nameHash = nameHash(other);
                nameHashes.put(other, nameHash);
                adjustRankings(other, nameHash, 1);
            }
        }
    }

    /** Sets the machines that are to be watched. */
    void setMachines(Set<String> machines) {
        rankings.keySet().retainAll(machines);
        for (String machine : machines) {
            if (!rankings.containsKey(machine)) {
                rankings.put(machine, ranking(machine));
            }
        }
    }

    /** Returns whether this router watches the machine; no router watches itself. */
    boolean watches(String machine) {
        Ranking ranking = rankings.get(machine);
        return ranking != null && !machine.equals(router) && ranking.rank < watchers;
    }

    private Ranking ranking(String machine) {
        Ranking ranking = new Ranking(weight(ownNameHash, machine));
        nameHashes.forEach((other, nameHash) -> {
            if (!other.equals(machine) && weight(nameHash, machine) < ranking.ownWeight) {
                ranking.rank++;
            }
        });
        return ranking;
    }

    private void adjustRankings(String other, long nameHash, int change) {
        rankings.forEach((machine, ranking) -> {
            if (!other.equals(machine) && weight(nameHash, machine) < ranking.ownWeight) {
                ranking.rank += change;
            }
        });
    }

    /**
     * Returns all routers that watch the machine, computed without an incremental assignment.
     *
     * @param routers names of all routers that watch machines
     * @param watchers number of routers that watch one machine
     */
    public static List<String> watchers(Collection<String> routers, String machine, int watchers) {
        List<String> others = new ArrayList<>();
        List<Long> weights = new ArrayList<>();
        for (String other : routers) {
            if (!other.equals(machine)) {
                others.add(other);
                weights.add(weight(other, machine));
            }
        }
        if (others.size() <= watchers) {
            return others;
        }
        long highestWeight = weights.stream()
                .sorted()
                .skip(Math.max(0, watchers - 1))
                .findFirst()
                .orElseThrow();
        List<String> watching = new ArrayList<>();
        for (int i = 0; i < others.size(); i++) {
            if (watchers > 0 && weights.get(i) <= highestWeight) {
                watching.add(others.get(i));
            }
        }
        return watching;
    }

    /** Returns the weight of the router for the machine, which is never negative. */
    static long weight(String router, String machine) {
        return weight(nameHash(router), machine);
    }

    private static long nameHash(String router) {
        return StableHash.append(StableHash.append(StableHash.START, router), "\n");
    }

    private static long weight(long nameHash, String machine) {
        return StableHash.finish(StableHash.append(nameHash, machine)) & Long.MAX_VALUE;
    }
}

package tinlink.maintenance.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which machines one router watches, by rendezvous hashing: a machine is watched by the few routers with the
 * lowest weights for it, so that a router that comes or goes moves only what it watches itself. Kept up as
 * routers and machines come and go: one that comes costs a hash for each machine (or router), not one for
 * each pair of them. Belongs to one thread.
 *
 * <p>Source: D. Thaler and C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates" (1998).
 */
public final class WatcherAssignment {
    /** What is known of one machine. */
    private static final class Ranking {
        final long ownWeight;
        /** Routers with a lower weight than this one. */
        int ahead;

        Ranking(long ownWeight) {
            this.ownWeight = ownWeight;
        }
    }

    private final String router;
    private final int watchers;
    private final long ownPrefix;
    /** Other routers, each with the hash of its name; as many as are alive. */
    private final Map<String, Long> prefixes = new HashMap<>();
    /** By id; as many as are to be watched. */
    private final Map<String, Ranking> rankings = new HashMap<>();

    /**
     * @param router the one whose machines these are
     * @param watchers routers that watch one machine
     */
    WatcherAssignment(String router, int watchers) {
        this.router = router;
        this.watchers = watchers;
        ownPrefix = prefix(router);
    }

    /** Sets the routers that watch; this one counts whether it is named or not. */
    void setRouters(Collection<String> alive) {
        Set<String> others = new HashSet<>(alive);
        others.remove(router);
        prefixes.entrySet().removeIf(other -> {
            boolean leaves = !others.contains(other.getKey());
            if (leaves) {
                adjustRankings(other.getKey(), other.getValue(), -1);
            }
            return leaves;
        });
        for (String other : others) {
            if (!prefixes.containsKey(other)) {
                long prefix = prefix(other);
                prefixes.put(other, prefix);
                adjustRankings(other, prefix, 1);
            }
        }
    }

    /** Sets the machines that are watched. */
    void setMachines(Set<String> machines) {
        rankings.keySet().retainAll(machines);
        for (String machine : machines) {
            if (!rankings.containsKey(machine)) {
                rankings.put(machine, ranking(machine));
            }
        }
    }

    /** Whether this router is one of those that watch the machine; nobody watches itself. */
    boolean watches(String machine) {
        Ranking ranking = rankings.get(machine);
        return ranking != null && !machine.equals(router) && ranking.ahead < watchers;
    }

    private Ranking ranking(String machine) {
        Ranking ranking = new Ranking(weight(ownPrefix, machine));
        prefixes.forEach((other, prefix) -> {
            if (!other.equals(machine) && weight(prefix, machine) < ranking.ownWeight) {
                ranking.ahead++;
            }
        });
        return ranking;
    }

    private void adjustRankings(String other, long prefix, int change) {
        rankings.forEach((machine, ranking) -> {
            if (!other.equals(machine) && weight(prefix, machine) < ranking.ownWeight) {
                ranking.ahead += change;
            }
        });
    }

    /**
     * All routers that watch the machine, computed from scratch.
     *
     * @param routers all that share the machines
     * @param watchers routers that watch one machine
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
        long highest = weights.stream()
                .sorted()
                .skip(Math.max(0, watchers - 1))
                .findFirst()
                .orElseThrow();
        List<String> watching = new ArrayList<>();
        for (int i = 0; i < others.size(); i++) {
            if (watchers > 0 && weights.get(i) <= highest) {
                watching.add(others.get(i));
            }
        }
        return watching;
    }

    /** The router's weight for the machine, never below 0. */
    static long weight(String router, String machine) {
        return weight(prefix(router), machine);
    }

    private static long prefix(String router) {
        return StableHash.append(StableHash.append(StableHash.START, router), "\n");
    }

    private static long weight(long prefix, String machine) {
        return StableHash.finish(StableHash.append(prefix, machine)) & Long.MAX_VALUE;
    }
}

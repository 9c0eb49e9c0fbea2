package tinlink.experiment.scale;

import java.util.List;

/**
 * What the serving measurement runs.
 *
 * @param repeats of each size
 * @param lists numbers of data nodes on the list; the largest is the list of the load runs
 * @param connections numbers of open connections, none above the largest list
 * @param parts numbers of parts a lookup
 * @param partCallsPerSecond offered at each number of parts, the same for all
 * @param leastSeconds of a load run
 * @param leastLookups that a load run asks at least, where that takes longer
 * @param onTimeMs the router's aim for an answer; a third of it without one brings a repeat of a part
 * @param findsKnee whether the largest rate is looked for
 */
record ServingPlan(
        int repeats,
        List<Integer> lists,
        List<Integer> connections,
        List<Integer> parts,
        double partCallsPerSecond,
        double leastSeconds,
        int leastLookups,
        int onTimeMs,
        boolean findsKnee) {
    /** Nodes that hold each shard in the load runs. */
    static final int REPLICAS = 3;
    /** Parts a lookup where the number of nodes on the list is what changes. */
    static final int PARTS_BY_LIST = 50;
    /** Length of the value in each answer of a data node. */
    static final int VALUE_BYTES = 48;
    /** The service times of data nodes: the slowest of 430 takes about 45 ms. */
    static final ServingNodes.ServiceTimes SERVICE_TIMES =
            new ServingNodes.ServiceTimes(10_000, 0.5);
    /** Descriptors of the router: connections to 3,100 nodes and its clients'. */
    static final int SOCKETS = 8_192;
    /** Lookups and parts in hand: 46 lookups of 430 parts. */
    static final int OPEN_CAP = 20_000;

    /** The default: all sizes, three repeats, under four minutes. */
    static ServingPlan full() {
        return new ServingPlan(
                3,
                List.of(100, 400, 1_000, 3_100),
                List.of(100, 400, 1_000, 3_100),
                List.of(10, 50, 150, 430),
                6_000,
                1.5,
                80,
                280,
                true);
    }

    /** For CI: seconds, and an aim so late that a busy machine brings no repeats, so all counts are exact. */
    static ServingPlan shortForm() {
        return new ServingPlan(
                1,
                List.of(50, 100),
                List.of(50, 100),
                List.of(5, 20),
                1_000,
                0.5,
                20,
                9_000,
                false);
    }

    int largestList() {
        return lists.get(lists.size() - 1);
    }

    /** How long a load run at that many parts takes. */
    double seconds(int partsPerLookup) {
        return Math.max(leastSeconds, leastLookups * partsPerLookup / partCallsPerSecond);
    }
}

package tinlink.experiment.scale;

import java.util.Map;
import java.util.OptionalDouble;

/**
 * The size to plan with, as the users stated it, and the budgets that figures are held against.
 * Everything that docs/CAPACITY.md says of either comes from here.
 */
final class CapacityPlan {
    // ---- The size. ----

    static final int QUERY_ROUTERS = 560;
    static final int DATA_NODES = 3_100;
    static final int LOOKUPS_A_SECOND = 130_000;
    static final int PARTS_A_LOOKUP = 430;
    static final int REGIONS = 3;
    static final int ZONES = 7;
    static final int CHANGES_A_DAY = 400;
    static final int FAILED_MACHINES_A_DAY = 21;
    static final int REPLACED_MACHINES_A_DAY = 390;

    /** A zone's share of the machines, rounded up. */
    static final int ROUTERS_OF_A_ZONE = (QUERY_ROUTERS + ZONES - 1) / ZONES;

    static final int NODES_OF_A_ZONE = (DATA_NODES + ZONES - 1) / ZONES;
    /** Machines that share a rack or a switch: an assumption, the users state no number. */
    static final int MACHINES_OF_A_RACK = 40;

    // ---- What follows from it, load spread evenly. ----

    static final double LOOKUPS_A_ROUTER = (double) LOOKUPS_A_SECOND / QUERY_ROUTERS;
    static final double PART_CALLS_A_ROUTER = LOOKUPS_A_ROUTER * PARTS_A_LOOKUP;
    static final double PART_CALLS_A_NODE = PART_CALLS_A_ROUTER * QUERY_ROUTERS / DATA_NODES;
    static final double SECONDS_A_DAY = 86_400;

    // ---- Budgets stated by the users. ----

    /** 99 of 100 answers, milliseconds. */
    static final double ANSWER_MS = 280;
    /** A change of configuration is in force everywhere, milliseconds. */
    static final double IN_FORCE_MS = 6_000;
    /** Processor time of a router's control side, milliseconds a second: 2.2% of a core. */
    static final double CONTROL_PROCESSOR_MS = 22;
    /** Memory of a router's control side, megabytes. */
    static final double CONTROL_MEMORY_MB = 32;
    /** Bytes a second of a router's control side. */
    static final double CONTROL_BYTES = 16 << 10;
    /** Machines set aside for control. */
    static final int CONTROL_MACHINES = 6;

    // ---- Bounds of the router as it is deployed. ----

    /** One loop owns all state, so it has one core: milliseconds a second. */
    static final double LOOP_PROCESSOR_MS = 1_000;
    /** The heap of deploy/balancer.toml, megabytes. */
    static final double HEAP_MB = 64;
    /** Memory outside the heap that channels may use, as in deploy/balancer.toml, megabytes. */
    static final double DIRECT_MB = 8;
    /** The memory of deploy/example.json, megabytes. */
    static final double RESIDENT_MB = 192;
    /** The descriptors of deploy/example.json. */
    static final int SOCKETS = 1_024;
    /** The share of descriptors that connections to data nodes may use, as in the router's own count. */
    static final double SOCKETS_FOR_NODES = SOCKETS - SOCKETS / 8;

    private static final Map<String, Double> SIZES = Map.of(
            "routers",
            (double) QUERY_ROUTERS,
            "nodes",
            (double) DATA_NODES,
            ServingNames.BY_LIST,
            (double) DATA_NODES,
            ServingNames.BY_CONNECTIONS,
            (double) DATA_NODES,
            ServingNames.BY_PARTS,
            (double) PARTS_A_LOOKUP,
            "changes a day",
            (double) CHANGES_A_DAY,
            "regions",
            (double) REGIONS,
            "zones",
            (double) ZONES);

    private CapacityPlan() {}

    /** The size to plan with in a dimension of a measurement; empty where the users state none. */
    static OptionalDouble sizeOf(String dimension) {
        Double size = SIZES.get(dimension);
        return size == null ? OptionalDouble.empty() : OptionalDouble.of(size);
    }
}

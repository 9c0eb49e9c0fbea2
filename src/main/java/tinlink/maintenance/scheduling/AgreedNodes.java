package tinlink.maintenance.scheduling;

import java.util.Collection;
import java.util.TreeMap;

/**
 * The data nodes that all routers have agreed on, and a digest of them by which two routers find out that
 * they mean the same set. Immutable.
 */
public final class AgreedNodes {
    private final TreeMap<String, Machine> byId = new TreeMap<>();
    private final long digest;

    private AgreedNodes(Collection<Machine> machines) {
        long sum = 0;
        for (Machine machine : machines) {
            if (!machine.isRouter()) {
                byId.put(machine.id(), machine);
                sum += hash(machine);
            }
        }
        digest = sum;
    }

    /**
     * The data nodes among the machines.
     *
     * @param machines all that are agreed on; routers among them are skipped
     */
    public static AgreedNodes from(Collection<Machine> machines) {
        return new AgreedNodes(machines);
    }

    /** 64 bits; the same for the same nodes, in whatever order they were agreed on. */
    public long digest() {
        return digest;
    }

    /** The node with that id; null where there is none. */
    public Machine node(String nodeId) {
        return byId.get(nodeId);
    }

    /** All nodes, by their ids. */
    public Collection<Machine> all() {
        return byId.values();
    }

    private static long hash(Machine machine) {
        return StableHash.finish(
                StableHash.append(StableHash.START, MaintenanceCommandCodec.machine(machine)));
    }
}

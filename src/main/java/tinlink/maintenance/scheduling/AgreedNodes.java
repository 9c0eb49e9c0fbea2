package tinlink.maintenance.scheduling;

import java.util.Collection;
import java.util.TreeMap;

/**
 * An immutable set of the data nodes that the replicated maintenance state holds. Two routers compare their
 * sets by digest.
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
     * Returns the set of the data nodes among the machines.
     *
     * @param machines the machines of the replicated state; routers are skipped
     */
    public static AgreedNodes from(Collection<Machine> machines) {
        return new AgreedNodes(machines);
    }

    /** Returns a 64-bit hash of the nodes; it does not depend on their order. */
    public long digest() {
        return digest;
    }

    /** Returns the data node with this id, or null if there is none. */
    public Machine node(String nodeId) {
        return byId.get(nodeId);
    }

    /** Returns all data nodes, sorted by id. */
    public Collection<Machine> all() {
        return byId.values();
    }

    private static long hash(Machine machine) {
        return StableHash.finish(StableHash.append(
                StableHash.START, MaintenanceCommandCodec.encodeMachine(machine)));
    }
}

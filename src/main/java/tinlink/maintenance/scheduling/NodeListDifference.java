package tinlink.maintenance.scheduling;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The difference between a router's endpoint list and the agreed nodes. Without it, each router would report
 * its full list again and again: the size of a report would grow with the number of data nodes, and the load
 * of the leader with routers times data nodes.
 *
 * <p>Only the routers of a site determine its data nodes, so nodes of other sites are left out. Both lists
 * are bounded. Nodes are taken in the order of their ids, so that all routers of a site begin with the same
 * nodes; the remaining nodes follow in later reports, once the first ones are agreed on.
 *
 * @param site the site of the reporting router
 * @param basisDigest digest of the agreed nodes to which this is the difference
 * @param added nodes on the router's list that are not agreed on, or are agreed on with other properties
 * @param missing ids of agreed nodes that are not on the router's list
 */
public record NodeListDifference(
        String site, long basisDigest, List<Machine> added, Set<String> missing)
        implements MachineReport {
    /**
     * Maximum number of added nodes, and of missing nodes, in one report: as many commands as the leader
     * proposes in two rounds.
     */
    public static final int MAX_NODES = 128;

    /** Copies both collections. */
    public NodeListDifference {
        added = List.copyOf(added);
        missing = Set.copyOf(missing);
    }

    /**
     * Returns the difference between an endpoint list and the agreed nodes.
     *
     * @param site the router's site
     * @param listed the data nodes on the router's endpoint list
     * @param agreed the agreed nodes in this router's copy of the replicated state
     */
    public static NodeListDifference between(
            String site, Collection<Machine> listed, AgreedNodes agreed) {
        Map<String, Machine> listedById = new HashMap<>();
        for (Machine node : listed) {
            if (node.site().equals(site)) {
                listedById.put(node.id(), node);
            }
        }
        List<Machine> added = listedById.values().stream()
                .filter(node -> !node.equals(agreed.node(node.id())))
                .sorted(Comparator.comparing(Machine::id))
                .limit(MAX_NODES)
                .toList();
        Set<String> missing = new LinkedHashSet<>();
        for (Machine node : agreed.all()) {
            if (missing.size() < MAX_NODES
                    && node.site().equals(site)
                    && !listedById.containsKey(node.id())) {
                missing.add(node.id());
            }
        }
        return new NodeListDifference(site, agreed.digest(), added, missing);
    }
}

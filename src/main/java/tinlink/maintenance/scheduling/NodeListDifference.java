package tinlink.maintenance.scheduling;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * How a router's own list of data nodes differs from the nodes agreed on. In its place a router would have to
 * report its full list again and again: bytes in proportion to nodes from each router, and routers times
 * nodes at the leader.
 *
 * <p>Of a site's nodes its own routers decide, so nodes of other sites are left out. Both lists are bounded.
 * What does not fit follows once the first ones are agreed on: nodes are taken in the order of their ids, so
 * that all routers of a site begin with the same ones.
 *
 * @param site the reporting router's own site
 * @param basisDigest digest of the agreed nodes that this is the difference to
 * @param added nodes on the router's list that are not agreed on, or are agreed on otherwise
 * @param missing ids of agreed nodes that are not on the router's list
 */
public record NodeListDifference(
        String site, long basisDigest, List<Machine> added, Set<String> missing)
        implements MachineReport {
    /** Nodes that one report holds, of added and of missing ones each: two rounds of the leader's. */
    public static final int MAX_NODES = 128;

    /** Copies both lists. */
    public NodeListDifference {
        added = List.copyOf(added);
        missing = Set.copyOf(missing);
    }

    /**
     * The difference between a list and the agreed nodes.
     *
     * @param site the router's own site
     * @param listed the router's list of data nodes
     * @param agreed the nodes agreed on, as far as this router has heard
     */
    public static NodeListDifference between(
            String site, Collection<Machine> listed, AgreedNodes agreed) {
        Map<String, Machine> own = new HashMap<>();
        for (Machine node : listed) {
            if (node.site().equals(site)) {
                own.put(node.id(), node);
            }
        }
        List<Machine> added = own.values().stream()
                .filter(node -> !node.equals(agreed.node(node.id())))
                .sorted(Comparator.comparing(Machine::id))
                .limit(MAX_NODES)
                .toList();
        Set<String> missing = new LinkedHashSet<>();
        for (Machine node : agreed.all()) {
            if (missing.size() < MAX_NODES
                    && node.site().equals(site)
                    && !own.containsKey(node.id())) {
                missing.add(node.id());
            }
        }
        return new NodeListDifference(site, agreed.digest(), added, missing);
    }
}

package tinlink.maintenance.scheduling;

import tinlink.cluster.consensus.LineCodec;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * How a router's own list of data nodes differs from the nodes agreed on. In its place a router
 * would have to send its whole list again and again: bytes in proportion to nodes from each router,
 * and routers times nodes at the leader.
 *
 * <p>Of a site's nodes its own routers decide, so nodes of other sites are left out. Both lists are
 * bounded. What does not fit follows once the first ones are agreed on: nodes are taken in the order
 * of their ids, so that all routers of a site begin with the same ones.
 *
 * @param site the reporting router's own site
 * @param basisDigest digest of the agreed nodes that this is the difference to
 * @param added nodes on the router's list that are not agreed on, or are agreed on otherwise
 * @param missing ids of agreed nodes that are not on the router's list
 */
public record NodeListDifference(
        String site, long basisDigest, List<Machine> added, Set<String> missing) {
    /** First word of a report of this kind. */
    static final String KIND = "list-difference";
    /** Nodes that one report holds, of added and of missing ones each: two beats of the leader's. */
    public static final int MAX_NODES = 128;

    private static final int FIXED_FIELDS = 4;
    private static final int HEX = 16;

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
                .sorted((a, b) -> a.id().compareTo(b.id()))
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

    /** The report as a line of words. */
    public String encode() {
        List<Object> fields = new ArrayList<>();
        fields.add(KIND);
        fields.add(site);
        fields.add(Long.toHexString(basisDigest));
        fields.add(added.size());
        added.forEach(node -> fields.add(node.encode()));
        fields.addAll(missing.stream().sorted().toList());
        return LineCodec.encode(fields.toArray());
    }

    /**
     * Reads a report.
     *
     * @param fields of the line
     * @throws IllegalArgumentException where this is no such report, or one over its bounds
     * @throws IndexOutOfBoundsException where it is cut short
     */
    static NodeListDifference decode(List<String> fields) {
        int addedNodes = Integer.parseInt(fields.get(3));
        int missingNodes = fields.size() - FIXED_FIELDS - addedNodes;
        if (addedNodes < 0 || addedNodes > MAX_NODES || missingNodes > MAX_NODES) {
            throw new IllegalArgumentException("too many nodes in one report");
        }
        List<Machine> added = new ArrayList<>();
        for (String node : fields.subList(FIXED_FIELDS, FIXED_FIELDS + addedNodes)) {
            added.add(Machine.decode(LineCodec.decode(node)));
        }
        return new NodeListDifference(
                fields.get(1),
                Long.parseUnsignedLong(fields.get(2), HEX),
                added,
                new LinkedHashSet<>(fields.subList(FIXED_FIELDS + addedNodes, fields.size())));
    }
}

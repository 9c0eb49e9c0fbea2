package tinlink.maintenance.scheduling;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What routers report of the list of data nodes, as a difference to what is agreed on. A report counts only
 * if it is against a set of agreed nodes that the leader has had of late: the two are told apart by digest.
 *
 * <p>Danger: what is agreed on changes while reports are on their way. A report says nothing of a node that
 * was agreed on after its basis, so it must not be taken for one that the node has gone. For this each node
 * has the number of the set with which it came, and each report that of its basis.
 */
final class NodeListVotes {
    /** Sets of agreed nodes that a report may still be against; routers lag by a few at the most. */
    private static final int MAX_BASES = 64;

    private record Report(NodeListDifference difference, long basisNumber, long atUs) {}

    private final long expiryUs;
    private final int maxRouters;
    /** By router: its newest report. Expired ones leave as they are looked at. */
    private final Map<String, Report> reports = new LinkedHashMap<>();
    /** By digest: the number of a set of agreed nodes. The oldest leave past the bound. */
    private final Map<Long, Long> basisNumbers = new LinkedHashMap<>();
    /** By node agreed on: the number of the set with which it came. */
    private final Map<String, Long> agreedSince = new HashMap<>();

    private AgreedNodes agreedNodes;
    private long newestBasis;

    /**
     * @param expiryUs how long a report counts, microseconds
     * @param maxRouters routers that reports are kept of
     */
    NodeListVotes(long expiryUs, int maxRouters) {
        this.expiryUs = expiryUs;
        this.maxRouters = maxRouters;
    }

    /** Sets the nodes that are agreed on now. */
    void setAgreedNodes(AgreedNodes nodes) {
        if (agreedNodes != null && agreedNodes.digest() == nodes.digest()) {
            return;
        }
        newestBasis++;
        for (Machine node : nodes.all()) {
            if (agreedNodes == null || !node.equals(agreedNodes.node(node.id()))) {
                agreedSince.put(node.id(), newestBasis);
            }
        }
        agreedSince.keySet().removeIf(nodeId -> nodes.node(nodeId) == null);
        agreedNodes = nodes;
        basisNumbers.remove(nodes.digest());
        basisNumbers.put(nodes.digest(), newestBasis);
        if (basisNumbers.size() > MAX_BASES) {
            Iterator<Long> oldest = basisNumbers.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /**
     * Takes a report.
     *
     * @return false where it is against a set of nodes that is not known here, so that it does not count
     */
    boolean onReport(String router, NodeListDifference difference, long nowUs) {
        Long basisNumber = basisNumbers.get(difference.basisDigest());
        if (basisNumber == null || (reports.size() >= maxRouters && !reports.containsKey(router))) {
            return false;
        }
        reports.put(router, new Report(difference, basisNumber, nowUs));
        return true;
    }

    /** The router's report does not count any more. */
    void forget(String router) {
        reports.remove(router);
    }

    /** Drops reports that are too old to count. */
    void expire(long nowUs) {
        reports.values().removeIf(report -> nowUs - report.atUs() > expiryUs);
    }

    /** Adds, by site, the routers that have reported. */
    void countVoters(Map<String, Integer> voters) {
        reports.values()
                .forEach(report -> voters.merge(report.difference().site(), 1, Integer::sum));
    }

    /** Adds, by node, the routers that list it though it is not agreed on, or not as it is listed. */
    void countListed(Map<Machine, Integer> listed) {
        for (Report report : reports.values()) {
            for (Machine node : report.difference().added()) {
                if (node.site().equals(report.difference().site())) {
                    listed.merge(node, 1, Integer::sum);
                }
            }
        }
    }

    /** Adds, by the id of an agreed node, the routers of its site that don't list it. */
    void countMissing(Map<String, Integer> missing) {
        for (Report report : reports.values()) {
            for (String nodeId : report.difference().missing()) {
                Long since = agreedSince.get(nodeId);
                if (since != null
                        && since <= report.basisNumber()
                        && agreedNodes
                                .node(nodeId)
                                .site()
                                .equals(report.difference().site())) {
                    missing.merge(nodeId, 1, Integer::sum);
                }
            }
        }
    }
}

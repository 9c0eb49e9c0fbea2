package tinlink.maintenance.scheduling;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The newest reports of the routers' endpoint lists as differences to the agreed nodes. A report counts only
 * if its basis is a set of agreed nodes that the leader has had recently; sets are identified by digest.
 *
 * <p>The agreed nodes change while reports are in transit. A report does not cover a node that was agreed on
 * after the report's basis, and must not remove it. The sets are therefore numbered: the class stores for
 * each node the number of the set that introduced it, and for each report the number of its basis.
 */
final class NodeListDifferenceReports {
    /**
     * Number of recent sets of agreed nodes that a report may have as its basis. The copy of the state in a
     * router is behind the leader's by a few sets at most.
     */
    private static final int MAX_BASES = 64;

    private record Report(NodeListDifference difference, long basisNumber, long atUs) {}

    private final long expiryUs;
    private final int maxRouters;
    /**
     * By router name, its newest report; bounded by {@link #maxRouters}. {@link #expire} removes old reports.
     */
    private final Map<String, Report> reports = new LinkedHashMap<>();
    /** By digest of a set of agreed nodes, the number of the set; holds the newest {@link #MAX_BASES}. */
    private final Map<Long, Long> basisNumbers = new LinkedHashMap<>();
    /** By id of an agreed node, the number of the set that introduced it or changed its properties. */
    private final Map<String, Long> agreedSince = new HashMap<>();

    private AgreedNodes agreedNodes;
    private long newestBasis;

    /**
     * @param expiryUs time after which a report no longer counts, microseconds
     * @param maxRouters maximum number of routers of which reports are held
     */
    NodeListDifferenceReports(long expiryUs, int maxRouters) {
        this.expiryUs = expiryUs;
        this.maxRouters = maxRouters;
    }

    /** Sets the current agreed nodes. */
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
     * Records a report.
     *
     * @return false if the report does not count, because its basis is unknown or too many routers report
     */
    boolean onReport(String router, NodeListDifference difference, long nowUs) {
        Long basisNumber = basisNumbers.get(difference.basisDigest());
        if (basisNumber == null || (reports.size() >= maxRouters && !reports.containsKey(router))) {
            return false;
        }
        reports.put(router, new Report(difference, basisNumber, nowUs));
        return true;
    }

    /** Removes the report of a router. */
    void forget(String router) {
        reports.remove(router);
    }

    /** Removes reports that are too old to count. */
    void expire(long nowUs) {
        reports.values().removeIf(report -> nowUs - report.atUs() > expiryUs);
    }

    /** Adds to the counts, by site, the routers that have reported. */
    void countReporters(Map<String, Integer> reporters) {
        reports.values()
                .forEach(report -> reporters.merge(report.difference().site(), 1, Integer::sum));
    }

    /**
     * Adds to the counts, by node, the routers whose lists have it, if the node is not agreed on or is agreed
     * on with other properties.
     */
    void countListed(Map<Machine, Integer> listed) {
        for (Report report : reports.values()) {
            for (Machine node : report.difference().added()) {
                if (node.site().equals(report.difference().site())) {
                    listed.merge(node, 1, Integer::sum);
                }
            }
        }
    }

    /** Adds to the counts, by id of an agreed node, the routers of its site whose lists lack it. */
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

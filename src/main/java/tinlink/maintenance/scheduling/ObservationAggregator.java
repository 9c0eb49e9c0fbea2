package tinlink.maintenance.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Aggregates the routers' reports on machines, at the leader, into the commands that adapt the replicated
 * state to them. A change needs the reports of a majority of the reporting routers, in either direction; old
 * reports expire. Times are microseconds of one monotonic clock.
 */
final class ObservationAggregator {
    /** The report of one router on the health of one machine. */
    private record Observation(boolean healthy, long atUs) {}

    /** The report of one router of its full endpoint list. */
    private record NodeList(String site, Collection<Machine> nodes, long atUs) {}

    private final long expiryUs;
    private final int maxEntries;
    /**
     * By machine id and router name, the newest observation. Both levels are bounded by {@link #maxEntries};
     * {@link #proposals} removes expired observations.
     */
    private final Map<String, Map<String, Observation>> observations = new TreeMap<>();
    /**
     * By router name, its full endpoint list; bounded by {@link #maxEntries}. {@link #proposals} removes
     * expired lists.
     */
    private final Map<String, NodeList> nodeLists = new LinkedHashMap<>();
    /** Endpoint lists that were reported as a difference to the agreed nodes. */
    private final NodeListDifferenceReports differenceReports;

    /**
     * @param expiryUs time after which a report no longer counts
     * @param maxEntries maximum number of machines, and of routers, of which reports are held
     */
    ObservationAggregator(long expiryUs, int maxEntries) {
        this.expiryUs = expiryUs;
        this.maxEntries = maxEntries;
        differenceReports = new NodeListDifferenceReports(expiryUs, maxEntries);
    }

    /** Sets the current agreed nodes, to which differences are reported. */
    void setAgreedNodes(AgreedNodes nodes) {
        differenceReports.setAgreedNodes(nodes);
    }

    /** Records the endpoint list of a router as a difference to the agreed nodes. */
    void onDifference(String router, NodeListDifference difference, long nowUs) {
        if (differenceReports.onReport(router, difference, nowUs)) {
            nodeLists.remove(router);
        }
    }

    /** Records whether a router has found a machine healthy. */
    void onObservation(String router, String machine, boolean healthy, long nowUs) {
        if (observations.size() < maxEntries || observations.containsKey(machine)) {
            Map<String, Observation> byRouter =
                    observations.computeIfAbsent(machine, m -> new TreeMap<>());
            if (byRouter.size() < maxEntries || byRouter.containsKey(router)) {
                byRouter.put(router, new Observation(healthy, nowUs));
            }
        }
    }

    /**
     * Records the full endpoint list of a router.
     *
     * @param site the router's site
     */
    void onNodeList(String router, String site, Collection<Machine> nodes, long nowUs) {
        if (nodeLists.size() < maxEntries || nodeLists.containsKey(router)) {
            differenceReports.forget(router);
            nodeLists.put(router, new NodeList(site, List.copyOf(nodes), nowUs));
        }
    }

    /** Returns the commands that adapt the state to the reports; none if the two agree. */
    List<MaintenanceCommand> proposals(MaintenanceState state, long nowUs) {
        List<MaintenanceCommand> proposals = new ArrayList<>();
        addListChanges(state, nowUs, proposals);
        for (Machine machine : state.machines()) {
            Map<String, Observation> byRouter = observations.get(machine.id());
            if (byRouter == null) {
                continue;
            }
            byRouter.values().removeIf(observation -> nowUs - observation.atUs() > expiryUs);
            if (byRouter.isEmpty()) {
                observations.remove(machine.id());
                continue;
            }
            addHealthChange(machine.id(), state.isHealthy(machine.id()), byRouter, proposals);
        }
        return proposals;
    }

    /**
     * Proposes the other health if most of the reporting routers report it. A single report must not suffice:
     * a router that is cut off from the others would make half of the fleet unhealthy, or a dead machine
     * healthy.
     */
    private static void addHealthChange(
            String machine,
            boolean wasHealthy,
            Map<String, Observation> byRouter,
            List<MaintenanceCommand> proposals) {
        long agreeing = byRouter.values().stream()
                .filter(observation -> observation.healthy() == wasHealthy)
                .count();
        long differing = byRouter.size() - agreeing;
        if (differing > agreeing) {
            proposals.add(new MaintenanceCommand.SetHealth(machine, !wasHealthy));
        }
    }

    /**
     * Proposes to add and to remove data nodes as most reporting routers of their site list them. A single
     * list must not suffice, because the routers' lists are updated seconds apart. Sites may have different
     * lists, so only the routers of a site count for its nodes; if none of them reports, no node of the site
     * is removed.
     */
    private void addListChanges(
            MaintenanceState state, long nowUs, List<MaintenanceCommand> proposals) {
        nodeLists.values().removeIf(list -> nowUs - list.atUs() > expiryUs);
        differenceReports.expire(nowUs);
        ListCounts counts = countLists();
        Map<String, Machine> changed = new TreeMap<>();
        counts.listed.forEach((machine, count) -> {
            if (2 * count > counts.reporters.get(machine.site())
                    && !machine.equals(state.machine(machine.id()))) {
                changed.put(machine.id(), machine);
            }
        });
        changed.values()
                .forEach(machine -> proposals.add(new MaintenanceCommand.RegisterMachine(machine)));
        for (Machine machine : state.machines()) {
            if (!machine.isRouter()
                    && state.activeTask(machine.id()) == null
                    && 2 * counts.missing(machine)
                            > counts.reporters.getOrDefault(machine.site(), 0)) {
                proposals.add(new MaintenanceCommand.RemoveMachine(machine.id()));
            }
        }
    }

    /** Counts of the routers whose lists contain, or lack, each data node. */
    private static final class ListCounts {
        /** By site, the routers that report full lists. */
        final Map<String, Integer> fullLists = new TreeMap<>();
        /** By site, the routers that report a list in either form. */
        final Map<String, Integer> reporters = new TreeMap<>();
        /** By id of a data node, the full lists that contain it. */
        final Map<String, Integer> onFullLists = new TreeMap<>();
        /** By data node, the lists that contain it with these properties, as far as reports name it. */
        final Map<Machine, Integer> listed = new HashMap<>();
        /** By id of a data node, the differences that report it as missing. */
        final Map<String, Integer> missingByDifference = new HashMap<>();

        /** Returns the number of routers of the data node's site whose lists lack it. */
        int missing(Machine machine) {
            return fullLists.getOrDefault(machine.site(), 0)
                    - onFullLists.getOrDefault(machine.id(), 0)
                    + missingByDifference.getOrDefault(machine.id(), 0);
        }
    }

    private ListCounts countLists() {
        ListCounts counts = new ListCounts();
        for (NodeList list : nodeLists.values()) {
            counts.fullLists.merge(list.site(), 1, Integer::sum);
            for (Machine machine : list.nodes()) {
                if (machine.site().equals(list.site())) {
                    counts.listed.merge(machine, 1, Integer::sum);
                    counts.onFullLists.merge(machine.id(), 1, Integer::sum);
                }
            }
        }
        counts.reporters.putAll(counts.fullLists);
        differenceReports.countReporters(counts.reporters);
        differenceReports.countListed(counts.listed);
        differenceReports.countMissing(counts.missingByDifference);
        return counts;
    }
}

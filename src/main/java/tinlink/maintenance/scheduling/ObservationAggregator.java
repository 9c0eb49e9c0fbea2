package tinlink.maintenance.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What several routers report of machines, aggregated by the leader into what all are to agree on. One
 * router's report is not enough, in either direction; old reports expire. Times are microseconds of one
 * clock.
 */
final class ObservationAggregator {
    /** What one router reports of one machine. */
    private record Observation(boolean healthy, long atUs) {}

    private record NodeList(String site, Collection<Machine> nodes, long atUs) {}

    private final long expiryUs;
    private final int maxEntries;
    /** By machine, by router: the newest one. Expired ones leave as they are looked at. */
    private final Map<String, Map<String, Observation>> observations = new TreeMap<>();
    /** By router: its full list of data nodes. Expired ones leave as they are looked at. */
    private final Map<String, NodeList> nodeLists = new LinkedHashMap<>();
    /** Lists that were reported as a difference to the agreed nodes. */
    private final NodeListVotes differenceVotes;

    /**
     * @param expiryUs how long a report counts
     * @param maxEntries machines, and routers, that reports are kept of
     */
    ObservationAggregator(long expiryUs, int maxEntries) {
        this.expiryUs = expiryUs;
        this.maxEntries = maxEntries;
        differenceVotes = new NodeListVotes(expiryUs, maxEntries);
    }

    /** Sets the nodes that are agreed on now, to which differences are reported. */
    void setAgreedNodes(AgreedNodes nodes) {
        differenceVotes.setAgreedNodes(nodes);
    }

    /** A router's list as it differs from the agreed nodes. */
    void onDifference(String router, NodeListDifference difference, long nowUs) {
        if (differenceVotes.onReport(router, difference, nowUs)) {
            nodeLists.remove(router);
        }
    }

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
     * A router's full list as it is now.
     *
     * @param site the router's own
     */
    void onNodeList(String router, String site, Collection<Machine> nodes, long nowUs) {
        if (nodeLists.size() < maxEntries || nodeLists.containsKey(router)) {
            differenceVotes.forget(router);
            nodeLists.put(router, new NodeList(site, List.copyOf(nodes), nowUs));
        }
    }

    /** Commands by which what is agreed on becomes what is reported; none where they are the same. */
    List<MaintenanceCommand> proposals(MaintenanceState state, long nowUs) {
        List<MaintenanceCommand> proposals = new ArrayList<>();
        addListChanges(state, nowUs, proposals);
        for (Machine machine : state.machines()) {
            Map<String, Observation> byRouter = observations.get(machine.id());
            if (byRouter == null) {
                continue;
            }
            byRouter.values().removeIf(one -> nowUs - one.atUs() > expiryUs);
            if (byRouter.isEmpty()) {
                observations.remove(machine.id());
                continue;
            }
            addHealthChange(machine.id(), state.isHealthy(machine.id()), byRouter, proposals);
        }
        return proposals;
    }

    /** Danger: one router that is cut off would count half the fleet out, or count a dead machine in. */
    private static void addHealthChange(
            String machine,
            boolean wasHealthy,
            Map<String, Observation> byRouter,
            List<MaintenanceCommand> proposals) {
        long agreeing = byRouter.values().stream()
                .filter(one -> one.healthy() == wasHealthy)
                .count();
        long differing = byRouter.size() - agreeing;
        if (differing > agreeing) {
            proposals.add(new MaintenanceCommand.SetHealth(machine, !wasHealthy));
        }
    }

    /**
     * Danger: lists differ by seconds; a node that one router has heard of first, or still has, is no change.
     * And sites may have lists of their own: of its nodes the routers of a site decide, and where none of
     * them is heard nothing is known to have gone.
     */
    private void addListChanges(
            MaintenanceState state, long nowUs, List<MaintenanceCommand> proposals) {
        nodeLists.values().removeIf(list -> nowUs - list.atUs() > expiryUs);
        differenceVotes.expire(nowUs);
        ListVotes votes = countVotes();
        Map<String, Machine> changed = new TreeMap<>();
        votes.listed.forEach((machine, count) -> {
            if (2 * count > votes.voters.get(machine.site())
                    && !machine.equals(state.machine(machine.id()))) {
                changed.put(machine.id(), machine);
            }
        });
        changed.values()
                .forEach(machine -> proposals.add(new MaintenanceCommand.RegisterMachine(machine)));
        for (Machine machine : state.machines()) {
            if (!machine.isRouter()
                    && state.activeTask(machine.id()) == null
                    && 2 * votes.missing(machine) > votes.voters.getOrDefault(machine.site(), 0)) {
                proposals.add(new MaintenanceCommand.RemoveMachine(machine.id()));
            }
        }
    }

    /** How many routers' lists hold, or lack, each node. */
    private static final class ListVotes {
        /** By site: its routers that report full lists, and those that report a list of either form. */
        final Map<String, Integer> fullLists = new TreeMap<>();

        final Map<String, Integer> voters = new TreeMap<>();
        final Map<String, Integer> onFullLists = new TreeMap<>();
        final Map<Machine, Integer> listed = new HashMap<>();
        final Map<String, Integer> missingByDifference = new HashMap<>();

        int missing(Machine machine) {
            return fullLists.getOrDefault(machine.site(), 0)
                    - onFullLists.getOrDefault(machine.id(), 0)
                    + missingByDifference.getOrDefault(machine.id(), 0);
        }
    }

    private ListVotes countVotes() {
        ListVotes votes = new ListVotes();
        for (NodeList list : nodeLists.values()) {
            votes.fullLists.merge(list.site(), 1, Integer::sum);
            for (Machine machine : list.nodes()) {
                if (machine.site().equals(list.site())) {
                    votes.listed.merge(machine, 1, Integer::sum);
                    votes.onFullLists.merge(machine.id(), 1, Integer::sum);
                }
            }
        }
        votes.voters.putAll(votes.fullLists);
        differenceVotes.countVoters(votes.voters);
        differenceVotes.countListed(votes.listed);
        differenceVotes.countMissing(votes.missingByDifference);
        return votes;
    }
}

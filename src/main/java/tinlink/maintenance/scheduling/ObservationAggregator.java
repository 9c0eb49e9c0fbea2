package tinlink.maintenance.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What several routers see of machines, joined by the leader into what all are to agree on. One
 * router's word is not enough, in either direction; what is old counts for nothing. Times are
 * microseconds of one clock.
 */
public final class ObservationAggregator {
    /** What one router says of one machine. */
    private record Observation(boolean healthy, long atUs) {}

    private final long expiryUs;
    private final int maxEntries;
    /** By machine, by router: the newest word. Old ones leave as they are looked at. */
    private final Map<String, Map<String, Observation>> observations = new TreeMap<>();
    /**
     * By router: its list of data nodes, and when it was told; old ones leave as they are looked
     * at.
     */
    private final Map<String, NodeList> nodeLists = new LinkedHashMap<>();

    private record NodeList(String site, Collection<Machine> nodes, long atUs) {}

    /** Lists that were told as a difference to the nodes agreed on. */
    private final NodeListVotes differenceVotes;

    /**
     * @param expiryUs a word counts for so long
     * @param maxEntries machines and routers that are looked at
     */
    public ObservationAggregator(long expiryUs, int maxEntries) {
        this.expiryUs = expiryUs;
        this.maxEntries = maxEntries;
        differenceVotes = new NodeListVotes(expiryUs, maxEntries);
    }

    /** The nodes that are agreed on now: what differences are told against. */
    public void setAgreedNodes(AgreedNodes nodes) {
        differenceVotes.setAgreedNodes(nodes);
    }

    /** A router's list as it differs from what is agreed on; false where that is not known here. */
    public boolean onDifference(String router, NodeListDifference difference, long nowUs) {
        boolean isKnownBasis = differenceVotes.onReport(router, difference, nowUs);
        if (isKnownBasis) {
            nodeLists.remove(router);
        }
        return isKnownBasis;
    }

    public void onObservation(String router, String machine, boolean healthy, long nowUs) {
        if (observations.size() < maxEntries || observations.containsKey(machine)) {
            Map<String, Observation> byRouter =
                    observations.computeIfAbsent(machine, m -> new TreeMap<>());
            if (byRouter.size() < maxEntries || byRouter.containsKey(router)) {
                byRouter.put(router, new Observation(healthy, nowUs));
            }
        }
    }

    /**
     * A router's list as it has it now.
     *
     * @param site the router's own
     */
    public void onNodeList(String router, String site, Collection<Machine> nodes, long nowUs) {
        if (nodeLists.size() < maxEntries || nodeLists.containsKey(router)) {
            differenceVotes.forget(router);
            nodeLists.put(router, new NodeList(site, List.copyOf(nodes), nowUs));
        }
    }

    /**
     * What there is to propose, so that what stands becomes what is seen; nothing where they are
     * the same.
     */
    public List<String> proposals(MaintenanceStateMachine stateMachine, long nowUs) {
        List<String> proposals = new ArrayList<>();
        addMachineProposals(stateMachine, nowUs, proposals);
        for (Machine machine : stateMachine.machines()) {
            Map<String, Observation> byRouter = observations.get(machine.id());
            if (byRouter == null) {
                continue;
            }
            byRouter.values().removeIf(observation -> nowUs - observation.atUs() > expiryUs);
            if (byRouter.isEmpty()) {
                observations.remove(machine.id());
                continue;
            }
            long healthyCount =
                    byRouter.values().stream().filter(Observation::healthy).count();
            long unhealthyCount = byRouter.size() - healthyCount;
            boolean healthy = stateMachine.isHealthy(machine.id());
            // Danger: one router that is cut off would count half the fleet out, or count a dead
            // machine in.
            if ((healthy && unhealthyCount > healthyCount)
                    || (!healthy && healthyCount > unhealthyCount)) {
                proposals.add(MaintenanceStateMachine.healthLine(machine.id(), !healthy));
            }
        }
        return proposals;
    }

    /**
     * Danger: lists differ by seconds; a node that one router has heard of first, or still has, is
     * no change. And sites may have lists of their own: of its nodes the routers of a site know,
     * and where none of them is heard nothing is known to have gone.
     */
    private void addMachineProposals(
            MaintenanceStateMachine stateMachine, long nowUs, List<String> proposals) {
        nodeLists.values().removeIf(nodeList -> nowUs - nodeList.atUs() > expiryUs);
        differenceVotes.expire(nowUs);
        Map<String, Integer> fullLists = new TreeMap<>();
        Map<String, Integer> onFullLists = new TreeMap<>();
        Map<Machine, Integer> listed = new HashMap<>();
        for (NodeList nodeList : nodeLists.values()) {
            fullLists.merge(nodeList.site(), 1, Integer::sum);
            for (Machine machine : nodeList.nodes()) {
                if (machine.site().equals(nodeList.site())) {
                    listed.merge(machine, 1, Integer::sum);
                    onFullLists.merge(machine.id(), 1, Integer::sum);
                }
            }
        }
        Map<String, Integer> voters = new TreeMap<>(fullLists);
        Map<String, Integer> missing = new HashMap<>();
        differenceVotes.countVoters(voters);
        differenceVotes.countListed(listed);
        differenceVotes.countMissing(missing);
        Map<String, Machine> changed = new TreeMap<>();
        listed.forEach((machine, votes) -> {
            if (2 * votes > voters.get(machine.site())
                    && !machine.equals(stateMachine.machine(machine.id()))) {
                changed.put(machine.id(), machine);
            }
        });
        changed.values()
                .forEach(machine -> proposals.add(MaintenanceStateMachine.machineLine(machine)));
        for (Machine machine : stateMachine.machines()) {
            if (machine.isRouter() || stateMachine.activeTask(machine.id()) != null) {
                continue;
            }
            int missingCount = fullLists.getOrDefault(machine.site(), 0)
                    - onFullLists.getOrDefault(machine.id(), 0)
                    + missing.getOrDefault(machine.id(), 0);
            if (2 * missingCount > voters.getOrDefault(machine.site(), 0)) {
                proposals.add(MaintenanceStateMachine.machineGoneLine(machine.id()));
            }
        }
    }
}

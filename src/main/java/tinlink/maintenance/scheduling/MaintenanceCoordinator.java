package tinlink.maintenance.scheduling;

import tinlink.cluster.consensus.LineCodec;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * What the router that leads puts to the others: the bounds, once; what routers report of machines,
 * joined; which routers there are; and what time has passed. It decides nothing by it: the order
 * does, in all routers alike. Reports get lost and come late, so they are said again and again, and
 * what is old counts for nothing.
 */
public final class MaintenanceCoordinator {
    /** Puts a line to the vote; {@link #onProposalCompleted} is called as it has been agreed, or has not. */
    public interface Proposer {
        void propose(String line);
    }

    /** Lines that are put to the vote at a time; what more there is follows. */
    private static final int MAX_PROPOSALS_PER_ROUND = 64;
    /** An answer that has not come after so many beats won't. */
    private static final int PROPOSAL_TIMEOUT_ROUNDS = 20;

    private final DisruptionLimits limits;
    private final ObservationAggregator observations;
    private final long roundIntervalUs;
    private final int maxEntries;
    /** By name, as each says of itself; as many as there are routers. */
    private final Map<String, Machine> routers = new LinkedHashMap<>();
    /** Lives of routers that have said that they end; emptied as that is agreed. */
    private final Map<String, String> departures = new TreeMap<>();

    private long nowUs;
    private long lastTickUs = Long.MIN_VALUE;
    private long nextRoundUs = Long.MIN_VALUE;
    private int pendingProposals;
    private long pendingSinceUs;
    private boolean leader;
    /** Routers that vote, as the group stands. */
    private Set<String> voters = Set.of();

    /** @param limits as the leader's file has them; the first ones agreed on hold, whoever leads */
    public MaintenanceCoordinator(
            DisruptionLimits limits, long roundIntervalUs, long reportExpiryUs, int maxEntries) {
        this.limits = limits;
        this.roundIntervalUs = roundIntervalUs;
        this.maxEntries = maxEntries;
        observations = new ObservationAggregator(reportExpiryUs, maxEntries);
    }

    public void setTime(long timeUs) {
        nowUs = timeUs;
    }

    /**
     * Whether this router leads now. Danger: time that passed under another leader, or none, must
     * not be counted by this one: grants would end that nobody could begin.
     */
    public void setLeader(boolean isLeader) {
        if (isLeader && !leader) {
            lastTickUs = nowUs;
            pendingProposals = 0;
            routers.clear();
        }
        leader = isLeader;
    }

    /** Who votes now: what a router says of itself may be behind. */
    public void setVoters(Set<String> names) {
        voters = names;
    }

    // ---- What routers report, in lines of words. ----

    /** Of machines that the speaker looks after. */
    public static String healthReportLine(Map<String, Boolean> healthyByMachine) {
        List<Object> fields = new ArrayList<>(List.of("saw"));
        healthyByMachine.forEach((machine, healthy) -> {
            fields.add(machine);
            fields.add(healthy);
        });
        return LineCodec.encode(fields.toArray());
    }

    /** The speaker's own list of data nodes, whole: what routers of before {@link NodeListDifference} say. */
    public static String nodeListLine(String site, Collection<Machine> nodes) {
        List<Object> fields = new ArrayList<>(List.of("list", site));
        nodes.forEach(machine -> fields.add(machine.encode()));
        return LineCodec.encode(fields.toArray());
    }

    /** The speaker itself. */
    public static String selfReportLine(Machine router) {
        return LineCodec.encode("self", router.encode());
    }

    /** The speaker has let its last client go, and ends. */
    public static String departureLine(String incarnation) {
        return LineCodec.encode("left", incarnation);
    }

    /**
     * Hears a report from another router.
     *
     * @param from proved by its key; it speaks for itself alone
     */
    public void onReport(String from, String line) {
        List<String> fields = LineCodec.decode(line);
        try {
            switch (fields.get(0)) {
                case "saw" -> {
                    for (int i = 1; i + 1 < fields.size(); i += 2) {
                        observations.onObservation(
                                from,
                                fields.get(i),
                                Boolean.parseBoolean(fields.get(i + 1)),
                                nowUs);
                    }
                }
                case "list" -> {
                    List<Machine> all = new ArrayList<>();
                    for (String machine : fields.subList(2, fields.size())) {
                        all.add(Machine.decode(LineCodec.decode(machine)));
                    }
                    observations.onNodeList(from, fields.get(1), all, nowUs);
                }
                case NodeListDifference.KIND ->
                    observations.onDifference(from, NodeListDifference.decode(fields), nowUs);
                case "self" -> {
                    Machine machine = Machine.decode(LineCodec.decode(fields.get(1)));
                    if (machine.isRouter()
                            && machine.id().equals(from)
                            && (routers.size() < maxEntries || routers.containsKey(from))) {
                        routers.put(from, machine);
                    }
                }
                case "left" -> {
                    if (departures.size() < maxEntries) {
                        departures.put(from, fields.get(1));
                    }
                }
                default -> {}
            }
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            // A report that can't be read is no report; its router is one that says nothing.
        }
    }

    /** One of its lines has come to an end, this way or that. */
    public void onProposalCompleted() {
        pendingProposals = Math.max(0, pendingProposals - 1);
    }

    /** One beat's lines; false where there is nothing to put now. */
    public boolean decide(MaintenanceStateMachine stateMachine, Proposer proposer) {
        if (!leader
                || nowUs < nextRoundUs
                || (pendingProposals > 0
                        && nowUs - pendingSinceUs < PROPOSAL_TIMEOUT_ROUNDS * roundIntervalUs)) {
            return false;
        }
        nextRoundUs = nowUs + roundIntervalUs;
        List<String> lines = proposals(stateMachine);
        pendingProposals = lines.size();
        pendingSinceUs = nowUs;
        lines.forEach(proposer::propose);
        return !lines.isEmpty();
    }

    private List<String> proposals(MaintenanceStateMachine stateMachine) {
        List<String> lines = new ArrayList<>();
        if (!stateMachine.hasLimits()) {
            lines.add(MaintenanceStateMachine.limitsLine(limits));
            return lines; // Machines are counted against them: all else comes after.
        }
        observations.setAgreedNodes(stateMachine.agreedNodes());
        departures
                .values()
                .removeIf(
                        incarnation -> stateMachine.incarnations().noneMatch(incarnation::equals));
        departures.forEach((router, incarnation) ->
                lines.add(MaintenanceStateMachine.routerEndedLine(router, incarnation)));
        for (Machine self : routers.values()) {
            Machine router = self.withVoter(voters.contains(self.id()));
            if (!router.equals(stateMachine.machine(router.id()))) {
                lines.add(MaintenanceStateMachine.machineLine(router));
            }
        }
        lines.addAll(observations.proposals(stateMachine, nowUs));
        long elapsedUs = nowUs - lastTickUs;
        if (lines.size() < MAX_PROPOSALS_PER_ROUND && !stateMachine.openTasks().isEmpty()) {
            lines.add(MaintenanceStateMachine.tickLine(elapsedUs));
            lastTickUs = nowUs;
        } else if (stateMachine.openTasks().isEmpty()) {
            lastTickUs = nowUs; // Nothing waits by it.
        }
        return lines.size() > MAX_PROPOSALS_PER_ROUND
                ? lines.subList(0, MAX_PROPOSALS_PER_ROUND)
                : lines;
    }
}

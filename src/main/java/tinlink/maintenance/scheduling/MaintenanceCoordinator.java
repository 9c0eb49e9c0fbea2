package tinlink.maintenance.scheduling;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Computes the commands that the leader proposes: the initial limits, the machines and their health as
 * aggregated from the routers' reports, the routers that join and leave, and the elapsed time. What follows
 * from them for tasks is decided by the state machine, identically in all routers. Reports can be lost or
 * late, so routers repeat them, and old ones expire. Not thread-safe.
 */
public final class MaintenanceCoordinator {
    /** Proposes commands to the cluster. */
    public interface Proposer {
        /**
         * Proposes one command. When it has been committed or has failed, {@link
         * MaintenanceCoordinator#onProposalCompleted} has to be called.
         */
        void propose(MaintenanceCommand command);
    }

    /** Maximum number of commands in one round; further commands follow in later rounds. */
    private static final int MAX_PROPOSALS_PER_ROUND = 64;
    /** Number of rounds after which the results of proposals are no longer awaited. */
    private static final int PROPOSAL_TIMEOUT_ROUNDS = 20;

    private final DisruptionLimits limits;
    private final ObservationAggregator observations;
    private final long roundIntervalUs;
    private final int maxEntries;
    /** By router name, the last report of the router on itself; bounded by {@link #maxEntries}. */
    private final Map<String, Machine> routers = new LinkedHashMap<>();
    /**
     * By router name, the incarnation that has reported its termination; bounded by {@link #maxEntries}. An
     * entry is removed once the replicated state no longer holds the incarnation.
     */
    private final Map<String, String> departures = new TreeMap<>();

    private long nowUs;
    private long lastTickUs = Long.MIN_VALUE;
    private long nextRoundUs = Long.MIN_VALUE;
    private int pendingProposals;
    private long pendingSinceUs;
    private boolean leader;
    private Set<String> voters = Set.of();

    /**
     * @param limits limits from this router's configuration; proposed only if none have been agreed on
     * @param roundIntervalUs time between two rounds of proposals, microseconds
     * @param reportExpiryUs time after which a report no longer counts, microseconds
     * @param maxEntries maximum number of routers, and of machines, of which reports are held
     */
    public MaintenanceCoordinator(
            DisruptionLimits limits, long roundIntervalUs, long reportExpiryUs, int maxEntries) {
        this.limits = limits;
        this.roundIntervalUs = roundIntervalUs;
        this.maxEntries = maxEntries;
        observations = new ObservationAggregator(reportExpiryUs, maxEntries);
    }

    /**
     * Sets the time that the next reports and decisions have.
     *
     * @param timeUs microseconds of a monotonic clock
     */
    public void setTime(long timeUs) {
        nowUs = timeUs;
    }

    /**
     * Sets whether this router is the leader now. A new leader does not count the time that passed under
     * another leader or without one, because grants would end that no router could start.
     */
    public void setLeader(boolean leading) {
        if (leading && !leader) {
            lastTickUs = nowUs;
            pendingProposals = 0;
            routers.clear();
        }
        leader = leading;
    }

    /** Sets the current voters; what a router reports about itself may be outdated. */
    public void setVoters(Set<String> names) {
        voters = names;
    }

    /**
     * Records a report of a router.
     *
     * @param sender name of the sender, which the transport has authenticated; it may describe only itself
     */
    public void onReport(String sender, MachineReport report) {
        if (report instanceof MachineReport.Health health) {
            health.healthyByMachine()
                    .forEach((machine, healthy) ->
                            observations.onObservation(sender, machine, healthy, nowUs));
        } else if (report instanceof MachineReport.FullNodeList list) {
            observations.onNodeList(sender, list.site(), list.nodes(), nowUs);
        } else if (report instanceof NodeListDifference difference) {
            observations.onDifference(sender, difference, nowUs);
        } else if (report instanceof MachineReport.Self self) {
            onSelfReport(sender, self.router());
        } else if (report instanceof MachineReport.Departure departure
                && departures.size() < maxEntries) {
            departures.put(sender, departure.incarnation());
        }
    }

    private void onSelfReport(String sender, Machine router) {
        if (router.isRouter()
                && router.id().equals(sender)
                && (routers.size() < maxEntries || routers.containsKey(sender))) {
            routers.put(sender, router);
        }
    }

    /** Records that one proposal has been committed or has failed. */
    public void onProposalCompleted() {
        pendingProposals = Math.max(0, pendingProposals - 1);
    }

    /** Proposes the commands of one round; returns false if there is nothing to propose now. */
    public boolean decide(MaintenanceState state, Proposer proposer) {
        boolean awaitingResults = pendingProposals > 0
                && nowUs - pendingSinceUs < PROPOSAL_TIMEOUT_ROUNDS * roundIntervalUs;
        if (!leader || nowUs < nextRoundUs || awaitingResults) {
            return false;
        }
        nextRoundUs = nowUs + roundIntervalUs;
        List<MaintenanceCommand> commands = proposals(state);
        pendingProposals = commands.size();
        pendingSinceUs = nowUs;
        commands.forEach(proposer::propose);
        return !commands.isEmpty();
    }

    private List<MaintenanceCommand> proposals(MaintenanceState state) {
        List<MaintenanceCommand> commands = new ArrayList<>();
        if (!state.hasLimits()) {
            // Registrations are checked against the limits, so all other commands come later.
            commands.add(new MaintenanceCommand.SetLimits(limits));
            return commands;
        }
        observations.setAgreedNodes(state.agreedNodes());
        addRouterChanges(state, commands);
        commands.addAll(observations.proposals(state, nowUs));
        if (state.openTasks().isEmpty()) {
            lastTickUs = nowUs; // Without open tasks, no decision depends on time.
        } else if (commands.size() < MAX_PROPOSALS_PER_ROUND) {
            commands.add(new MaintenanceCommand.AdvanceTime(nowUs - lastTickUs));
            lastTickUs = nowUs;
        }
        return commands.size() > MAX_PROPOSALS_PER_ROUND
                ? commands.subList(0, MAX_PROPOSALS_PER_ROUND)
                : commands;
    }

    private void addRouterChanges(MaintenanceState state, List<MaintenanceCommand> commands) {
        departures
                .values()
                .removeIf(incarnation -> state.incarnations().noneMatch(incarnation::equals));
        departures.forEach((router, incarnation) ->
                commands.add(new MaintenanceCommand.RemoveRouter(router, incarnation)));
        for (Machine reported : routers.values()) {
            Machine router = reported.withVoter(voters.contains(reported.id()));
            if (!router.equals(state.machine(router.id()))) {
                commands.add(new MaintenanceCommand.RegisterMachine(router));
            }
        }
    }
}

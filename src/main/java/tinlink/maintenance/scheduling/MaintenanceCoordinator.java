package tinlink.maintenance.scheduling;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * What the leader proposes: the limits, once; what routers report of machines, aggregated; which routers
 * there are; and what time has passed. It decides nothing by it: the state machine does, in all routers
 * alike. Reports get lost and come late, so they are repeated, and old ones expire. Belongs to one thread.
 */
public final class MaintenanceCoordinator {
    /** Proposes a command; {@link #onProposalCompleted} is called as it has been agreed, or has not. */
    public interface Proposer {
        /** Proposes one command. */
        void propose(MaintenanceCommand command);
    }

    /** Commands that are proposed at a time; what more there is follows. */
    private static final int MAX_PROPOSALS_PER_ROUND = 64;
    /** A result that has not come after so many rounds won't. */
    private static final int PROPOSAL_TIMEOUT_ROUNDS = 20;

    private final DisruptionLimits limits;
    private final ObservationAggregator observations;
    private final long roundIntervalUs;
    private final int maxEntries;
    /** By name, as each reports itself; as many as there are routers. */
    private final Map<String, Machine> routers = new LinkedHashMap<>();
    /** Incarnations of routers that have reported that they end, by name; emptied as that is agreed. */
    private final Map<String, String> departures = new TreeMap<>();

    private long nowUs;
    private long lastTickUs = Long.MIN_VALUE;
    private long nextRoundUs = Long.MIN_VALUE;
    private int pendingProposals;
    private long pendingSinceUs;
    private boolean leader;
    private Set<String> voters = Set.of();

    /**
     * @param limits as the leader's file has them; the first ones agreed on hold, whoever leads
     * @param roundIntervalUs between two rounds of proposals, microseconds
     * @param reportExpiryUs how long a report counts, microseconds
     * @param maxEntries routers, and machines, that reports are kept of
     */
    public MaintenanceCoordinator(
            DisruptionLimits limits, long roundIntervalUs, long reportExpiryUs, int maxEntries) {
        this.limits = limits;
        this.roundIntervalUs = roundIntervalUs;
        this.maxEntries = maxEntries;
        observations = new ObservationAggregator(reportExpiryUs, maxEntries);
    }

    /**
     * Sets the time of what is decided from here on, in microseconds.
     *
     * @param timeUs of a clock that only goes forward
     */
    public void setTime(long timeUs) {
        nowUs = timeUs;
    }

    /**
     * Whether this router leads now. Danger: time that passed under another leader, or none, must not be
     * counted by this one: grants would end that nobody could start.
     */
    public void setLeader(boolean isLeader) {
        if (isLeader && !leader) {
            lastTickUs = nowUs;
            pendingProposals = 0;
            routers.clear();
        }
        leader = isLeader;
    }

    /** Who votes now: what a router reports of itself may be behind. */
    public void setVoters(Set<String> names) {
        voters = names;
    }

    /**
     * A router has reported what it sees.
     *
     * @param from proved by its key; it reports itself alone
     */
    public void onReport(String from, MachineReport report) {
        if (report instanceof MachineReport.Health health) {
            health.healthyByMachine()
                    .forEach((machine, healthy) ->
                            observations.onObservation(from, machine, healthy, nowUs));
        } else if (report instanceof MachineReport.FullNodeList list) {
            observations.onNodeList(from, list.site(), list.nodes(), nowUs);
        } else if (report instanceof NodeListDifference difference) {
            observations.onDifference(from, difference, nowUs);
        } else if (report instanceof MachineReport.Self self) {
            onSelfReport(from, self.router());
        } else if (report instanceof MachineReport.Departure departure
                && departures.size() < maxEntries) {
            departures.put(from, departure.incarnation());
        }
    }

    private void onSelfReport(String from, Machine router) {
        if (router.isRouter()
                && router.id().equals(from)
                && (routers.size() < maxEntries || routers.containsKey(from))) {
            routers.put(from, router);
        }
    }

    /** One of its proposals has been agreed, or has not. */
    public void onProposalCompleted() {
        pendingProposals = Math.max(0, pendingProposals - 1);
    }

    /** Proposes one round's commands; false where there is nothing to propose now. */
    public boolean decide(MaintenanceState state, Proposer proposer) {
        boolean waits = pendingProposals > 0
                && nowUs - pendingSinceUs < PROPOSAL_TIMEOUT_ROUNDS * roundIntervalUs;
        if (!leader || nowUs < nextRoundUs || waits) {
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
            commands.add(new MaintenanceCommand.SetLimits(limits));
            return commands; // Machines are counted against them: all else comes after.
        }
        observations.setAgreedNodes(state.agreedNodes());
        addRouters(state, commands);
        commands.addAll(observations.proposals(state, nowUs));
        if (state.openTasks().isEmpty()) {
            lastTickUs = nowUs; // Nothing waits for time to pass.
        } else if (commands.size() < MAX_PROPOSALS_PER_ROUND) {
            commands.add(new MaintenanceCommand.AdvanceTime(nowUs - lastTickUs));
            lastTickUs = nowUs;
        }
        return commands.size() > MAX_PROPOSALS_PER_ROUND
                ? commands.subList(0, MAX_PROPOSALS_PER_ROUND)
                : commands;
    }

    private void addRouters(MaintenanceState state, List<MaintenanceCommand> commands) {
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

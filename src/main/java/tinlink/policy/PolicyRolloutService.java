package tinlink.policy;

import tinlink.cluster.ClusterNode;
import tinlink.net.EventLog;
import tinlink.net.EventLoop;
import tinlink.net.EventLoopParticipant;
import tinlink.policy.rollout.AbsencePolicy;
import tinlink.policy.rollout.ChangeCoordinator;
import tinlink.policy.rollout.ChangeParticipant;
import tinlink.policy.rollout.EffectivePolicy;
import tinlink.policy.rollout.EnrolledRouter;
import tinlink.policy.rollout.PolicyChange;
import tinlink.policy.rollout.PolicyChanges;
import tinlink.policy.rollout.PolicyCommand;
import tinlink.policy.rollout.PolicyVersion;
import tinlink.policy.rollout.StartChecks;

import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.logging.Level;

/**
 * Runs policy changes in a router: proposes the commands of its {@link ChangeParticipant} and
 * {@link ChangeCoordinator} to the replicated log, renews the lease, and determines which policy
 * applies to new lookups. Must be used on the event loop's thread only.
 */
public final class PolicyRolloutService implements EventLoopParticipant {
    private static final EventLog LOG = new EventLog("tinlink.policy");

    private final EventLoop loop;
    private final ClusterNode clusterNode;
    private final PolicyStateMachine stateMachine;
    private final ChangeParticipant participant;
    private final ChangeCoordinator coordinator;
    private final LongSupplier sharedClockUs;
    private final long retryIntervalUs;
    /** The policy that applied at the last lookup or heartbeat. */
    private EffectivePolicy effective = EffectivePolicy.none("");
    /** A lease that starts to count once its log index has been applied here; null if none. */
    private PendingLease pendingLease;

    private boolean stopped;

    /**
     * A lease that a majority has confirmed.
     *
     * @param logIndex commit index that the majority confirmed
     * @param requestedAtUs time of the request on the event loop's clock, microseconds
     */
    private record PendingLease(long logIndex, long requestedAtUs) {}

    /**
     * Creates the service of one router.
     *
     * @param loop the event loop that runs the service
     * @param clusterNode replicates the commands
     * @param stateMachine the replicated state
     * @param startChecks validates a policy for this router
     * @param sharedClockUs synchronized wall clock of all machines, microseconds; it may step
     * @param retryIntervalUs time after which a command is proposed again if it has had no effect
     */
    public PolicyRolloutService(
            EventLoop loop,
            ClusterNode clusterNode,
            PolicyStateMachine stateMachine,
            StartChecks startChecks,
            LongSupplier sharedClockUs,
            long retryIntervalUs) {
        this.loop = loop;
        this.clusterNode = clusterNode;
        this.stateMachine = stateMachine;
        this.sharedClockUs = sharedClockUs;
        this.retryIntervalUs = retryIntervalUs;
        participant = new ChangeParticipant(
                clusterNode.incarnation().router(),
                clusterNode.incarnation().toString(),
                clusterNode.incarnation().startCount(),
                retryIntervalUs,
                startChecks);
        coordinator = new ChangeCoordinator(retryIntervalUs);
    }

    /** Starts the heartbeat. Must be called once, on the event loop. */
    public void start() {
        heartbeat();
    }

    /** Returns the replicated state, which the caller must not modify. */
    public PolicyChanges changes() {
        return stateMachine.changes();
    }

    /**
     * Returns the version that applies to a lookup arriving now, or null if the router takes no
     * lookups; {@link #unavailableReason} then returns the reason.
     */
    public PolicyVersion effectiveVersion() {
        participant.updateClocks(sharedClockUs.getAsLong(), loop.nowUs());
        EffectivePolicy current = participant.effectivePolicy(changes());
        if (!current.equals(effective)) {
            LOG.log(
                    current.isPresent() ? Level.INFO : Level.WARNING,
                    "policy_effective",
                    "epoch",
                    current.epoch(),
                    "reason",
                    current.unavailableReason());
        }
        effective = current;
        if (!current.isPresent()) {
            return null;
        }
        PolicyVersion inForce = changes().inForce();
        return inForce.epoch() == current.epoch() ? inForce : changes().previous();
    }

    /** Returns why the router took no lookups at the last check; empty if it took lookups. */
    public String unavailableReason() {
        return effective.unavailableReason();
    }

    @Override
    public void turnStarted(long nowUs) {
        // The clocks are read where they are needed.
    }

    @Override
    public void turnEnding() {
        if (stopped) {
            return;
        }
        participant.updateClocks(sharedClockUs.getAsLong(), loop.nowUs());
        if (pendingLease != null && clusterNode.learnedIndex() >= pendingLease.logIndex()) {
            participant.leaseGranted(
                    pendingLease.requestedAtUs(),
                    changes().inForce().absencePolicy().leaseUs());
            pendingLease = null;
        }
        participant.decide(changes(), this::propose);
        coordinator.updateClocks(loop.nowUs(), sharedClockUs.getAsLong());
        coordinator.setLeader(clusterNode.isLeader());
        coordinator.decide(changes(), this::propose);
    }

    private void heartbeat() {
        if (stopped) {
            return;
        }
        if (needsLease()) {
            requestLease();
        }
        // Refreshes the status shown to operators; the last lookup may be long ago.
        effectiveVersion();
        loop.schedule(loop.nowUs() + retryIntervalUs / 2, this::heartbeat);
    }

    private boolean needsLease() {
        PolicyChange openChange = changes().openChange();
        return usesFencing(changes().inForce().absencePolicy())
                || (openChange != null && usesFencing(openChange.absencePolicy()));
    }

    private static boolean usesFencing(AbsencePolicy absencePolicy) {
        return absencePolicy.rule() == AbsencePolicy.Rule.FENCE;
    }

    /**
     * Requests the commit index confirmed by a majority. A router that has applied the log up to
     * that index was up to date at the time of the request.
     */
    private void requestLease() {
        long requestedAtUs = loop.nowUs();
        clusterNode.confirmCommitIndex(index -> {
            if (pendingLease == null) {
                pendingLease = new PendingLease(index, requestedAtUs);
            }
        });
    }

    private void propose(PolicyCommand command) {
        clusterNode.propose(PolicyStateMachine.encode(command), (answer, failure) -> {
            if (failure != null || !answer.isEmpty()) {
                LOG.log(
                        Level.FINE,
                        "policy_command_not_accepted",
                        "command",
                        command.getClass().getSimpleName(),
                        "reason",
                        failure == null ? answer : failure);
            }
        });
    }

    /** Removes this router from the participants and stops the service. */
    public void stop() {
        stopped = true;
        propose(new PolicyCommand.Leave(
                clusterNode.incarnation().router(), clusterNode.incarnation().toString()));
    }

    /**
     * Removes a router from the participants, so that no change waits for it. The operator has to
     * make sure that its process has ended.
     */
    public void removeRouter(String router) {
        EnrolledRouter enrolled = changes().enrolledRouters().get(router);
        if (enrolled != null) {
            propose(new PolicyCommand.Leave(router, enrolled.incarnation()));
        }
    }

    /**
     * Proposes a change on behalf of an operator.
     *
     * @param onResult receives the answer, empty if the change was accepted, and null; or null and
     *     the reason why the outcome is unknown
     */
    public void propose(PolicyCommand.Propose proposal, BiConsumer<String, String> onResult) {
        clusterNode.propose(PolicyStateMachine.encode(proposal), onResult);
    }

    /**
     * Withdraws a change on behalf of an operator.
     *
     * @param onResult receives the answer, empty if the withdrawal was accepted, and null; or null
     *     and the reason why the outcome is unknown
     */
    public void withdraw(String changeId, String reason, BiConsumer<String, String> onResult) {
        PolicyCommand command = new PolicyCommand.Abort(changeId, reason);
        clusterNode.propose(PolicyStateMachine.encode(command), onResult);
    }

    /** Returns the status of this router for operators. */
    public Map<String, Object> status() {
        return PolicyStatusView.status(changes(), effective);
    }

    /** Returns the status of a change, or null if this router doesn't know the change. */
    public Map<String, Object> status(String changeId) {
        PolicyChange change = changes().change(changeId);
        return change == null ? null : PolicyStatusView.change(change);
    }

    /** Returns the status of the most recent changes, oldest first. */
    public List<Object> history() {
        return changes().history().stream()
                .<Object>map(PolicyStatusView::change)
                .toList();
    }
}

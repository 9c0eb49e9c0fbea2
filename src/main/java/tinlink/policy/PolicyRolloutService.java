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
 * Changes of policy in a router that serves: carries out what {@link ChangeParticipant} and
 * {@link ChangeCoordinator} decide. Belongs to the event loop's thread.
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
    /** As of the last lookup or heartbeat. */
    private EffectivePolicy effective = EffectivePolicy.none("");
    /**
     * A confirmation that was given and counts once so much of the log has been applied here; null
     * for none.
     */
    private PendingLease pendingLease;

    private boolean isStopped;

    /** What was asked for at {@code requestedAtUs} on the event loop's clock. */
    private record PendingLease(long logIndex, long requestedAtUs) {}

    /**
     * The part of one router. Decides nothing before {@link #start}.
     *
     * @param sharedClockUs the clock that all machines read, microseconds; it may step
     * @param retryIntervalUs after which a command whose effect is not seen is proposed again
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

    /** Called once, on the event loop. */
    public void start() {
        heartbeat();
    }

    /** The replicated state, to be read only. */
    public PolicyChanges changes() {
        return stateMachine.changes();
    }

    /**
     * By which version a lookup that comes now is taken; null where none may be, and
     * {@link #unavailableReason} says why.
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

    /** Why no lookups are taken; empty where they are, as of the last that came. */
    public String unavailableReason() {
        return effective.unavailableReason();
    }

    @Override
    public void turnStarted(long nowUs) {
        // Nothing: it reads its clocks as it decides.
    }

    @Override
    public void turnEnding() {
        if (isStopped) {
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
        if (isStopped) {
            return;
        }
        if (needsLease()) {
            requestLease();
        }
        // So that what operators are shown is not of the last lookup, which may be long ago.
        effectiveVersion();
        loop.schedule(loop.nowUs() + retryIntervalUs / 2, this::heartbeat);
    }

    private boolean needsLease() {
        PolicyChange openChange = changes().openChange();
        return fences(changes().inForce().absencePolicy())
                || (openChange != null && fences(openChange.absencePolicy()));
    }

    private static boolean fences(AbsencePolicy absencePolicy) {
        return absencePolicy.rule() == AbsencePolicy.Rule.FENCE;
    }

    /**
     * Asks a majority how much there is: who has applied that much is up to date as of the request.
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

    /** Leaves the group of participants; from here on it decides nothing. */
    public void stop() {
        isStopped = true;
        propose(new PolicyCommand.Leave(
                clusterNode.incarnation().router(), clusterNode.incarnation().toString()));
    }

    /** An operator vouches that this router's process is gone: no change waits for it. */
    public void removeRouter(String router) {
        EnrolledRouter enrolled = changes().enrolledRouters().get(router);
        if (enrolled != null) {
            propose(new PolicyCommand.Leave(router, enrolled.incarnation()));
        }
    }

    /**
     * Proposes a change for an operator.
     *
     * @param onResult is given the answer, empty if it was accepted; or why that is not known
     */
    public void propose(PolicyCommand.Propose proposal, BiConsumer<String, String> onResult) {
        clusterNode.propose(PolicyStateMachine.encode(proposal), onResult);
    }

    /**
     * Withdraws a change for an operator.
     *
     * @param onResult is given the answer, empty if it was accepted; or why that is not known
     */
    public void withdraw(String changeId, String reason, BiConsumer<String, String> onResult) {
        PolicyCommand command = new PolicyCommand.Abort(changeId, reason);
        clusterNode.propose(PolicyStateMachine.encode(command), onResult);
    }

    /** How this router stands, for operators. */
    public Map<String, Object> status() {
        return PolicyStatusView.status(changes(), effective);
    }

    /** A change as far as this router has heard; null where it has not. */
    public Map<String, Object> status(String changeId) {
        PolicyChange change = changes().change(changeId);
        return change == null ? null : PolicyStatusView.change(change);
    }

    /** The newest changes, oldest first. */
    public List<Object> history() {
        return changes().history().stream()
                .<Object>map(PolicyStatusView::change)
                .toList();
    }
}

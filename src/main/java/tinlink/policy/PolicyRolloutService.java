package tinlink.policy;

import tinlink.cluster.ClusterNode;
import tinlink.net.EventLog;
import tinlink.net.EventLoop;
import tinlink.net.EventLoopParticipant;
import tinlink.policy.rollout.AbsencePolicy;
import tinlink.policy.rollout.ChangeCoordinator;
import tinlink.policy.rollout.ChangeParticipant;
import tinlink.policy.rollout.PolicyChange;
import tinlink.policy.rollout.PolicyChanges;
import tinlink.policy.rollout.PolicyCommand;
import tinlink.policy.rollout.PolicyVersion;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.logging.Level;

/**
 * Changes of policy in a router that serves: carries out what {@link ChangeParticipant} and {@link
 * ChangeCoordinator} decide. All of it belongs to the loop's thread.
 */
public final class PolicyRolloutService implements EventLoopParticipant {
    private static final EventLog LOG = new EventLog("tinlink.policy");
    private final EventLoop loop;
    private final ClusterNode clusterNode;
    private final PolicyStateMachine policyStateMachine;
    private final ChangeParticipant participant;
    private final ChangeCoordinator coordinator;
    private final LongSupplier sharedClockUs;
    private final long retryIntervalUs;
    private String unavailableReason = "";
    private long effectiveEpoch = -1;
    /** A confirmation that was given and counts once so much has been heard of; below 0 none. */
    private long pendingLeaseIndex = -1;

    private long pendingLeaseRequestedAtUs;
    private boolean isStopped;

    /**
     * @param startChecks of a text by this router's own start checks: why it can't be used, or empty
     * @param sharedClockUs the clock that all machines read, microseconds
     */
    public PolicyRolloutService(
            EventLoop loop,
            ClusterNode clusterNode,
            PolicyStateMachine policyStateMachine,
            Function<PolicyChange, String> startChecks,
            LongSupplier sharedClockUs,
            long retryIntervalUs) {
        this.loop = loop;
        this.clusterNode = clusterNode;
        this.policyStateMachine = policyStateMachine;
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

    public void start() {
        heartbeat();
    }

    public PolicyChanges changes() {
        return policyStateMachine.changes();
    }

    /**
     * By which version a lookup that comes now is taken; null where none may be, and {@link
     * #unavailableReason} says why.
     */
    public PolicyVersion effectiveVersion() {
        participant.updateClocks(sharedClockUs.getAsLong(), loop.nowUs());
        ChangeParticipant.EffectivePolicy effective = participant.effectivePolicy(changes());
        if (effective.epoch() != effectiveEpoch
                || !effective.unavailableReason().equals(unavailableReason)) {
            LOG.log(
                    effective.isPresent() ? Level.INFO : Level.WARNING,
                    "policy_effective",
                    "epoch",
                    effective.epoch(),
                    "reason",
                    effective.unavailableReason());
        }
        effectiveEpoch = effective.epoch();
        unavailableReason = effective.unavailableReason();
        PolicyVersion inForce = changes().inForce();
        return !effective.isPresent()
                ? null
                : inForce.epoch() == effective.epoch() ? inForce : changes().previous();
    }

    /** Why no lookups are taken; empty where they are, as of the last that came. */
    public String unavailableReason() {
        return unavailableReason;
    }

    // ---- Its part in a turn. ----

    @Override
    public void turnStarted(long nowUs) {
        // It reads its clocks as it decides.
    }

    @Override
    public void turnEnding() {
        if (isStopped) {
            return;
        }
        long nowUs = loop.nowUs();
        participant.updateClocks(sharedClockUs.getAsLong(), nowUs);
        if (pendingLeaseIndex >= 0 && clusterNode.learnedIndex() >= pendingLeaseIndex) {
            participant.leaseGranted(
                    pendingLeaseRequestedAtUs,
                    changes().inForce().absencePolicy().leaseUs());
            pendingLeaseIndex = -1;
        }
        participant.decide(changes(), this::propose);
        coordinator.updateClocks(nowUs, sharedClockUs.getAsLong());
        coordinator.setLeader(clusterNode.isLeader());
        coordinator.decide(changes(), this::propose);
    }

    private void heartbeat() {
        if (isStopped) {
            return;
        }
        AbsencePolicy absencePolicy = changes().inForce().absencePolicy();
        PolicyChange openChange = changes().openChange();
        boolean requiresLease = absencePolicy.rule() == AbsencePolicy.Rule.FENCE
                || (openChange != null
                        && openChange.absencePolicy().rule() == AbsencePolicy.Rule.FENCE);
        if (requiresLease) {
            long requestedAtUs = loop.nowUs();
            clusterNode.confirmCommitIndex(index -> {
                if (pendingLeaseIndex < 0) {
                    pendingLeaseIndex = index;
                    pendingLeaseRequestedAtUs = requestedAtUs;
                }
            });
        }
        effectiveVersion(); // So that what it says of itself is not of the last lookup, which may
        // be long ago.
        loop.schedule(loop.nowUs() + retryIntervalUs / 2, this::heartbeat);
    }

    private void propose(PolicyCommand command) {
        clusterNode.propose(PolicyStateMachine.encode(command), (result, failure) -> {
            if (failure != null || !result.isEmpty()) {
                LOG.log(
                        Level.FINE,
                        "policy_command_not_accepted",
                        "command",
                        command.getClass().getSimpleName(),
                        "reason",
                        failure == null ? result : failure);
            }
        });
    }

    /** Nothing is taken any more. */
    public void stop() {
        isStopped = true;
        propose(new PolicyCommand.Leave(
                clusterNode.incarnation().router(), clusterNode.incarnation().toString()));
    }

    // ---- For operators. ----

    /** An operator vouches that this router's process is gone: no change waits for it. */
    public void removeRouter(String router) {
        PolicyChanges.EnrolledRouter enrolledRouter =
                changes().enrolledRouters().get(router);
        if (enrolledRouter != null) {
            propose(new PolicyCommand.Leave(router, enrolledRouter.incarnation()));
        }
    }

    /**
     * Proposes a change, for an operator.
     *
     * @param onResult what is said to it, or why that is not known
     */
    public void propose(
            String changeId,
            long baseEpoch,
            String digest,
            String text,
            String author,
            String reason,
            AbsencePolicy absencePolicy,
            BiConsumer<String, String> onResult) {
        clusterNode.propose(
                PolicyStateMachine.encode(new PolicyCommand.Propose(
                        changeId, baseEpoch, digest, text, author, reason, absencePolicy)),
                onResult);
    }

    public void withdraw(String changeId, String reason, BiConsumer<String, String> onResult) {
        clusterNode.propose(
                PolicyStateMachine.encode(new PolicyCommand.Abort(changeId, reason)), onResult);
    }

    /** How this router stands. */
    public Map<String, Object> status() {
        Map<String, Object> view = new LinkedHashMap<>();
        view.put("epoch", effectiveEpoch);
        view.put("why", unavailableReason);
        view.put("in_force", status(changes().inForce()));
        if (changes().previous() != null) {
            view.put("before", status(changes().previous()));
        }
        PolicyChange openChange = changes().openChange();
        view.put("open", openChange == null ? "" : openChange.id());
        view.put("owing", changes().pendingRouters());
        return view;
    }

    private static Map<String, Object> status(PolicyVersion version) {
        Map<String, Object> view = new LinkedHashMap<>();
        view.put("epoch", version.epoch());
        view.put("digest", version.digest());
        view.put("change", version.changeId());
        view.put("author", version.author());
        view.put("reason", version.reason());
        view.put("at_us", version.effectiveAtUs());
        view.put("text", version.text());
        return view;
    }

    /** A change as far as this router has heard; null where it has not. */
    public Map<String, Object> status(String changeId) {
        PolicyChange change = changes().change(changeId);
        return change == null ? null : status(change);
    }

    public List<Object> history() {
        List<Object> views = new ArrayList<>();
        changes().history().forEach(change -> views.add(status(change)));
        return views;
    }

    private static Map<String, Object> status(PolicyChange change) {
        Map<String, Object> view = new LinkedHashMap<>();
        view.put("id", change.id());
        view.put(
                "state",
                switch (change.state()) {
                    case OPEN -> "not settled";
                    case IN_FORCE -> "in force";
                    case WITHDRAWN -> "withdrawn";
                });
        view.put("why", change.withdrawalReason());
        view.put("epoch", change.epoch());
        view.put("at_us", change.effectiveAtUs());
        view.put("digest", change.digest());
        view.put("author", change.author());
        view.put("reason", change.reason());
        return view;
    }
}

package tinlink.policy.rollout;

import tinlink.policy.rollout.CommandOutcome.RejectionReason;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The replicated state of changes of policy: commands in one agreed order, applied alike by all routers. A
 * change is open, and then in force or withdrawn, once and for ever. Nothing here asks a clock; times are
 * those that participants and coordinators have written into their commands.
 *
 * <p>What makes it safe. A participant that votes yes binds itself: past the time in its vote it takes no
 * lookup by the old policy unless it knows how the change ended. A change is committed for a time that no
 * vote reaches beyond. Of a router that is enrolled and has not voted yes nothing is known; it has to be
 * waited for, or its lease has to have run out, which it got before the proposal was agreed on (one that it
 * got later tells it of the proposal).
 */
public final class PolicyChanges {
    private static final int MAX_TEXT_LENGTH = 1 << 16;
    private final int maxSettledChanges;
    private final int maxRouters;
    /** Routers that may take lookups, and the incarnation of each; those that leave go. */
    private final Map<String, EnrolledRouter> enrolledRouters = new TreeMap<>();

    /**
     * @param startCount how often the router had been started, this incarnation counted: a later one is told
     * by it
     */
    public record EnrolledRouter(String incarnation, long startCount) {}

    /** The newest, by id; ended ones leave, oldest first, past the number that is kept. */
    private final Map<String, PolicyChange> changesById = new LinkedHashMap<>();

    private PolicyVersion inForce;
    /** The one before it, which holds until the newest one's time has come; null before the first change. */
    private PolicyVersion previous;

    private PolicyChange openChange;

    /**
     * @param maxSettledChanges ended changes that are remembered
     * @param maxRouters routers
     */
    public PolicyChanges(
            int maxSettledChanges, int maxRouters, AbsencePolicy initialAbsencePolicy) {
        this.maxSettledChanges = maxSettledChanges;
        this.maxRouters = maxRouters;
        inForce = new PolicyVersion(
                0, "", "", "", "", "each router's own file", initialAbsencePolicy, 0);
    }

    // ---- What stands. ----

    public PolicyVersion inForce() {
        return inForce;
    }

    /** The one before {@link #inForce}; null where there has been none. */
    public PolicyVersion previous() {
        return previous;
    }

    /** The one that is not settled; null where there is none. */
    public PolicyChange openChange() {
        return openChange;
    }

    /** Null where no change has that id, or not any more. */
    public PolicyChange change(String id) {
        return changesById.get(id);
    }

    public Collection<PolicyChange> history() {
        return changesById.values();
    }

    public boolean isEnrolled(String router, String incarnation) {
        EnrolledRouter enrolledRouter = enrolledRouters.get(router);
        return enrolledRouter != null && enrolledRouter.incarnation().equals(incarnation);
    }

    public Map<String, EnrolledRouter> enrolledRouters() {
        return enrolledRouters;
    }

    /** Routers that have not said yes, and are not bound beyond any doubt. */
    public List<String> pendingRouters() {
        List<String> pending = new ArrayList<>();
        if (openChange != null) {
            enrolledRouters.forEach((router, enrolledRouter) -> {
                if (openChange.boundUntilUs(router, enrolledRouter.incarnation()) == 0) {
                    pending.add(router);
                }
            });
        }
        return pending;
    }

    /** Who has said no to the open change; null where nobody has. */
    public String firstRejection() {
        return openChange == null
                ? null
                : enrolledRouters.keySet().stream()
                        .filter(openChange::isRejectedBy)
                        .findFirst()
                        .map(router ->
                                router + ": " + openChange.votes.get(router).reason())
                        .orElse(null);
    }

    /**
     * Whether the policy in force has come to be so by a leader's clock. Danger: settled before that, the
     * next
     * one would leave a router with two to choose from and the one that holds not among them.
     */
    boolean hasVersionInForceTakenEffect() {
        return openChange == null
                || openChange.confirmedAtUs
                        >= inForce.effectiveAtUs() + inForce.absencePolicy().maxClockErrorUs();
    }

    /** The earliest time at which the open change may take hold; Long.MAX_VALUE while it may not yet. */
    public long earliestCommitUs() {
        if (openChange == null || firstRejection() != null || !hasVersionInForceTakenEffect()) {
            return Long.MAX_VALUE;
        }
        long earliestUs = 0;
        for (Map.Entry<String, EnrolledRouter> enrolled : enrolledRouters.entrySet()) {
            earliestUs = Math.max(
                    earliestUs,
                    openChange.boundUntilUs(
                            enrolled.getKey(), enrolled.getValue().incarnation()));
        }
        if (!pendingRouters().isEmpty()) {
            // The lease that counts is the one under the policy in force: that is what the absent
            // go by.
            AbsencePolicy absencePolicy = inForce.absencePolicy();
            if (absencePolicy.rule() != AbsencePolicy.Rule.FENCE || openChange.confirmedAtUs == 0) {
                return Long.MAX_VALUE;
            }
            earliestUs = Math.max(earliestUs, openChange.confirmedAtUs + absencePolicy.leaseUs());
        }
        return earliestUs + inForce.absencePolicy().maxClockErrorUs();
    }

    // ---- Commands, in the order agreed on. ----

    /** Applies one command; what is not understood changes nothing. @return what came of it, for who asked */
    public CommandOutcome apply(PolicyCommand command) {
        if (command instanceof PolicyCommand.Propose typed) {
            return propose(typed);
        } else if (command instanceof PolicyCommand.ConfirmProposal typed) {
            return confirmProposal(typed);
        } else if (command instanceof PolicyCommand.VoteYes typed) {
            return voteYes(typed);
        } else if (command instanceof PolicyCommand.VoteNo typed) {
            return voteNo(typed);
        } else if (command instanceof PolicyCommand.Commit typed) {
            return commit(typed);
        } else if (command instanceof PolicyCommand.Abort typed) {
            return abort(typed);
        } else if (command instanceof PolicyCommand.Enrol typed) {
            return enrol(typed);
        } else if (command instanceof PolicyCommand.Leave typed) {
            return leave(typed);
        } else if (command instanceof PolicyCommand.UnknownCommand typed) {
            return CommandOutcome.rejected(
                    RejectionReason.UNKNOWN_COMMAND, "not understood: " + typed.text());
        }
        throw new IllegalStateException("a command of another kind: " + command);
    }

    /** One with an id that is known is that one, however often it is proposed. */
    private CommandOutcome propose(PolicyCommand.Propose command) {
        PolicyChange known = changesById.get(command.changeId());
        if (known != null) {
            return known.digest.equals(command.digest()) && known.baseEpoch == command.baseEpoch()
                    ? CommandOutcome.accepted()
                    : CommandOutcome.rejected(
                            RejectionReason.ID_TAKEN, "another change has that id");
        }
        if (command.changeId().isEmpty() || command.text().length() > MAX_TEXT_LENGTH) {
            return CommandOutcome.rejected(
                    RejectionReason.INVALID_PROPOSAL,
                    "a change needs an id and a text of at most " + MAX_TEXT_LENGTH
                            + " characters");
        }
        if (openChange != null) {
            return CommandOutcome.rejected(
                    RejectionReason.ANOTHER_CHANGE_OPEN,
                    "another change is open: " + openChange.id);
        }
        if (command.baseEpoch() != inForce.epoch()) {
            return CommandOutcome.rejected(
                    RejectionReason.STALE_EPOCH,
                    "it is written against epoch " + command.baseEpoch() + ", and "
                            + inForce.epoch() + " is in force");
        }
        openChange = new PolicyChange(
                command.changeId(),
                command.baseEpoch(),
                command.digest(),
                command.text(),
                command.author(),
                command.reason(),
                command.absencePolicy());
        changesById.put(openChange.id, openChange);
        evictSettledChanges();
        return CommandOutcome.accepted();
    }

    private PolicyChange openChangeWithId(String id) {
        return openChange != null && openChange.id.equals(id) ? openChange : null;
    }

    private static CommandOutcome changeSettled() {
        return CommandOutcome.rejected(RejectionReason.CHANGE_SETTLED, "that change is settled");
    }

    private static CommandOutcome notEnrolled() {
        return CommandOutcome.rejected(RejectionReason.NOT_ENROLLED, "that router is not enrolled");
    }

    private CommandOutcome confirmProposal(PolicyCommand.ConfirmProposal command) {
        PolicyChange change = openChangeWithId(command.changeId());
        if (change == null) {
            return changeSettled();
        }
        // The latest is kept: leases are older than all of them.
        change.confirmedAtUs = Math.max(change.confirmedAtUs, command.coordinatorTimeUs());
        return CommandOutcome.accepted();
    }

    private CommandOutcome voteYes(PolicyCommand.VoteYes command) {
        PolicyChange change = openChangeWithId(command.changeId());
        if (change == null) {
            return changeSettled();
        }
        if (!isEnrolled(command.router(), command.incarnation())) {
            return notEnrolled();
        }
        // Danger: a vote that comes late would take back what a later one has promised.
        long boundUntilUs = Math.max(
                command.boundUntilUs(),
                change.boundUntilUs(command.router(), command.incarnation()));
        change.votes.put(
                command.router(),
                new PolicyChange.Vote(command.incarnation(), true, boundUntilUs, ""));
        return CommandOutcome.accepted();
    }

    private CommandOutcome voteNo(PolicyCommand.VoteNo command) {
        PolicyChange change = openChangeWithId(command.changeId());
        if (change == null) {
            return changeSettled();
        }
        if (!isEnrolled(command.router(), command.incarnation())) {
            return notEnrolled();
        }
        change.votes.put(
                command.router(),
                new PolicyChange.Vote(command.incarnation(), false, 0, command.reason()));
        return CommandOutcome.accepted();
    }

    /** It takes hold then, if by what is agreed on it may. */
    private CommandOutcome commit(PolicyCommand.Commit command) {
        PolicyChange change = openChangeWithId(command.changeId());
        if (change == null) {
            return changeSettled();
        }
        if (command.effectiveAtUs() < earliestCommitUs()) {
            return CommandOutcome.rejected(
                    RejectionReason.COMMIT_TOO_EARLY, "it may not take hold then");
        }
        change.state = PolicyChange.State.IN_FORCE;
        change.epoch = inForce.epoch() + 1;
        change.effectiveAtUs = command.effectiveAtUs();
        change.votes.clear();
        previous = inForce;
        inForce = new PolicyVersion(
                change.epoch,
                change.digest,
                change.text,
                change.id,
                change.author,
                change.reason,
                change.absencePolicy,
                change.effectiveAtUs);
        openChange = null;
        evictSettledChanges();
        return CommandOutcome.accepted();
    }

    private CommandOutcome abort(PolicyCommand.Abort command) {
        PolicyChange change = openChangeWithId(command.changeId());
        if (change == null) {
            return abortSettled(command.changeId());
        }
        change.state = PolicyChange.State.WITHDRAWN;
        change.withdrawalReason = command.reason();
        change.votes.clear();
        openChange = null;
        evictSettledChanges();
        return CommandOutcome.accepted();
    }

    private CommandOutcome abortSettled(String id) {
        PolicyChange known = changesById.get(id);
        if (known == null) {
            return CommandOutcome.rejected(RejectionReason.UNKNOWN_CHANGE, "no change has that id");
        }
        return known.state == PolicyChange.State.WITHDRAWN
                ? CommandOutcome.accepted()
                : CommandOutcome.rejected(
                        RejectionReason.CHANGE_IN_FORCE,
                        "it is in force: undo it by another change");
    }

    /**
     * Danger: a command of an earlier process that comes late would put that one in the place of the one that
     * runs, and what it had promised would be taken for a promise of this one's.
     */
    private CommandOutcome enrol(PolicyCommand.Enrol command) {
        EnrolledRouter known = enrolledRouters.get(command.router());
        if (known != null && known.startCount() > command.startCount()) {
            return CommandOutcome.rejected(
                    RejectionReason.LATER_INCARNATION_ENROLLED,
                    "a later life of that router is enrolled");
        }
        if (enrolledRouters.size() >= maxRouters && known == null) {
            return CommandOutcome.rejected(RejectionReason.TOO_MANY_ROUTERS, "too many routers");
        }
        enrolledRouters.put(
                command.router(), new EnrolledRouter(command.incarnation(), command.startCount()));
        return CommandOutcome.accepted();
    }

    private CommandOutcome leave(PolicyCommand.Leave command) {
        enrolledRouters.computeIfPresent(
                command.router(),
                (router, enrolledRouter) ->
                        enrolledRouter.incarnation().equals(command.incarnation())
                                ? null
                                : enrolledRouter);
        return CommandOutcome.accepted();
    }

    private void evictSettledChanges() {
        for (Iterator<PolicyChange> iterator = changesById.values().iterator();
                iterator.hasNext() && changesById.size() > maxSettledChanges; ) {
            if (iterator.next() != openChange) {
                iterator.remove();
            }
        }
    }

    // ---- Written, and read again. ----

    /** All of it, words a line; {@link #fromSnapshot} makes the same from them. */
    public List<List<String>> snapshot() {
        return PolicySnapshotCodec.encode(this);
    }

    /**
     * Reads changes from their lines.
     *
     * @throws IllegalArgumentException where these are no lines of changes
     */
    public static PolicyChanges fromSnapshot(
            int maxSettledChanges,
            int maxRouters,
            AbsencePolicy initialAbsencePolicy,
            List<List<String>> lines) {
        PolicyChanges changes =
                new PolicyChanges(maxSettledChanges, maxRouters, initialAbsencePolicy);
        PolicySnapshotCodec.restoreInto(changes, lines);
        return changes;
    }

    void restoreInForce(PolicyVersion version) {
        inForce = version;
    }

    void restorePrevious(PolicyVersion version) {
        previous = version;
    }

    void restoreEnrolled(String router, EnrolledRouter enrolledRouter) {
        enrolledRouters.put(router, enrolledRouter);
    }

    void restore(PolicyChange change) {
        changesById.put(change.id, change);
        openChange = change.state == PolicyChange.State.OPEN ? change : openChange;
    }
}

package tinlink.policy.rollout;

import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * The replicated state of policy changes. All routers apply the same commands in the same order and
 * reach the same state. A change is open until it is in force or withdrawn, which is final.
 * Commands are applied without reading a clock: all times were set by participants and coordinators
 * in their commands. {@link CommitRule} determines when a change may be committed. Not thread-safe.
 */
public final class PolicyChanges {
    private static final int MAX_TEXT_LENGTH = 1 << 16;

    private final EnrolledRouters enrolledRouters;
    private final ChangeHistory history;
    private final CommandHandler handler = new CommandHandler();
    private PolicyVersion inForce;
    /** Applies until the effective time of {@link #inForce}; null before the first change. */
    private PolicyVersion previous;

    /**
     * Creates the state before any command.
     *
     * @param maxSettledChanges number of changes past which the oldest settled change is evicted
     * @param maxRouters number of enrolled routers past which no other router is enrolled
     * @param initialAbsencePolicy absence policy in force before the first change; it has to be the
     *     same on all routers
     */
    public PolicyChanges(
            int maxSettledChanges, int maxRouters, AbsencePolicy initialAbsencePolicy) {
        enrolledRouters = new EnrolledRouters(maxRouters);
        history = new ChangeHistory(maxSettledChanges);
        inForce = new PolicyVersion(
                0, "", "", "", "", "each router's own file", initialAbsencePolicy, 0);
    }

    /** Returns the newest version, even if its effective time is still in the future. */
    public PolicyVersion inForce() {
        return inForce;
    }

    /** Returns the version before {@link #inForce}, or null before the first change. */
    public PolicyVersion previous() {
        return previous;
    }

    /** Returns the open change, or null if all changes are settled. */
    public PolicyChange openChange() {
        return history.openChange();
    }

    /** Returns the change with that id, or null if it is unknown or has been evicted. */
    public PolicyChange change(String changeId) {
        return history.get(changeId);
    }

    /** Returns the most recent changes, oldest first. */
    public Collection<PolicyChange> history() {
        return history.all();
    }

    /** Returns whether that process of the router takes part in changes. */
    public boolean isEnrolled(String router, String incarnation) {
        return enrolledRouters.contains(router, incarnation);
    }

    /** Returns the routers that take part in changes, by name; no other router takes lookups. */
    public Map<String, EnrolledRouter> enrolledRouters() {
        return enrolledRouters.byName();
    }

    /** Returns the routers that have not accepted the open change; empty if there is none. */
    public List<String> pendingRouters() {
        return openChange() == null ? List.of() : commitRule().pendingRouters();
    }

    /** Returns the rule for committing the open change; to be called only while there is one. */
    CommitRule commitRule() {
        return new CommitRule(openChange(), inForce, enrolledRouters.byName());
    }

    /**
     * Applies a command. An unknown or rejected command changes nothing.
     *
     * @return the outcome, for the proposer of the command
     */
    public CommandOutcome apply(PolicyCommand command) {
        return command.dispatch(handler);
    }

    /** Applies the commands, one method for each type. */
    private final class CommandHandler implements PolicyCommand.Handler<CommandOutcome> {
        /** Opens a change. Proposing the same change again is accepted without effect. */
        @Override
        public CommandOutcome onPropose(PolicyCommand.Propose command) {
            PolicyChange known = history.get(command.changeId());
            if (known != null) {
                return known.isProposedBy(command)
                        ? CommandOutcome.accepted()
                        : Rejection.idTaken();
            }
            if (command.changeId().isEmpty() || command.text().length() > MAX_TEXT_LENGTH) {
                return Rejection.invalidProposal(MAX_TEXT_LENGTH);
            }
            if (openChange() != null) {
                return Rejection.anotherChangeOpen(openChange().changeId());
            }
            if (command.baseEpoch() != inForce.epoch()) {
                return Rejection.staleEpoch(command.baseEpoch(), inForce.epoch());
            }
            history.open(new PolicyChange(command));
            return CommandOutcome.accepted();
        }

        @Override
        public CommandOutcome onConfirmProposal(PolicyCommand.ConfirmProposal command) {
            PolicyChange change = history.openChange(command.changeId());
            if (change == null) {
                return Rejection.changeSettled();
            }
            // The latest confirmation counts: a lease of a router that doesn't know the proposal is
            // older than any of them.
            change.confirm(command.coordinatorTimeUs());
            return CommandOutcome.accepted();
        }

        @Override
        public CommandOutcome onVoteYes(PolicyCommand.VoteYes command) {
            PolicyChange change = history.openChange(command.changeId());
            if (change == null) {
                return Rejection.changeSettled();
            }
            if (!isEnrolled(command.router(), command.incarnation())) {
                return Rejection.notEnrolled();
            }
            // A delayed vote must not shorten the binding time of a later vote.
            long boundUntilUs = Math.max(
                    command.boundUntilUs(),
                    change.boundUntilUs(command.router(), command.incarnation()));
            change.vote(
                    command.router(),
                    new PolicyChange.Vote(command.incarnation(), true, boundUntilUs, ""));
            return CommandOutcome.accepted();
        }

        @Override
        public CommandOutcome onVoteNo(PolicyCommand.VoteNo command) {
            PolicyChange change = history.openChange(command.changeId());
            if (change == null) {
                return Rejection.changeSettled();
            }
            if (!isEnrolled(command.router(), command.incarnation())) {
                return Rejection.notEnrolled();
            }
            change.vote(
                    command.router(),
                    new PolicyChange.Vote(command.incarnation(), false, 0, command.reason()));
            return CommandOutcome.accepted();
        }

        @Override
        public CommandOutcome onCommit(PolicyCommand.Commit command) {
            PolicyChange change = history.openChange(command.changeId());
            if (change == null) {
                return Rejection.changeSettled();
            }
            if (command.effectiveAtUs() < commitRule().earliestCommitUs()) {
                return Rejection.commitTooEarly();
            }
            previous = inForce;
            inForce = change.commit(inForce.epoch() + 1, command.effectiveAtUs());
            history.closeOpenChange();
            return CommandOutcome.accepted();
        }

        @Override
        public CommandOutcome onAbort(PolicyCommand.Abort command) {
            PolicyChange change = history.get(command.changeId());
            if (change == null) {
                return Rejection.unknownChange();
            }
            switch (change.state()) {
                case IN_FORCE -> {
                    return Rejection.changeInForce();
                }
                case OPEN -> {
                    change.withdraw(command.reason());
                    history.closeOpenChange();
                }
                case WITHDRAWN -> {
                    // The withdrawal has already been applied.
                }
            }
            return CommandOutcome.accepted();
        }

        @Override
        public CommandOutcome onEnrol(PolicyCommand.Enrol command) {
            return enrolledRouters.enrol(command);
        }

        @Override
        public CommandOutcome onLeave(PolicyCommand.Leave command) {
            return enrolledRouters.leave(command);
        }

        @Override
        public CommandOutcome onUnknownCommand(PolicyCommand.UnknownCommand command) {
            return Rejection.unknownCommand(command.text());
        }
    }

    /** Returns the whole state as lines, each a list of fields, for {@link #fromSnapshot}. */
    public List<List<String>> snapshot() {
        return PolicySnapshotCodec.encode(this);
    }

    /**
     * Restores the state from the lines of a snapshot.
     *
     * @param maxSettledChanges as for the constructor
     * @param maxRouters as for the constructor
     * @param initialAbsencePolicy as for the constructor
     * @param lines the result of {@link #snapshot}
     * @throws IllegalArgumentException if a line is not one of {@link #snapshot}
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

    void restoreEnrolled(String router, EnrolledRouter enrolled) {
        enrolledRouters.put(router, enrolled);
    }

    void restoreChange(PolicyChange change) {
        history.restore(change);
    }
}

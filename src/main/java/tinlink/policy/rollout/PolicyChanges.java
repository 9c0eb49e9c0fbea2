package tinlink.policy.rollout;

import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * The replicated state of changes of policy: commands in one agreed order, applied alike by all
 * routers. A change is open, and then in force or withdrawn, which is final. Nothing here reads a
 * clock; times are those that participants and coordinators have written into their commands. When
 * a change may be committed is said by {@link CommitRule}. For one thread at a time.
 */
public final class PolicyChanges {
    private static final int MAX_TEXT_LENGTH = 1 << 16;

    private final EnrolledRouters enrolledRouters;
    private final ChangeHistory history;
    private final CommandHandler handler = new CommandHandler();
    private PolicyVersion inForce;
    /** Holds until the time of {@link #inForce} has come; null before the first change. */
    private PolicyVersion previous;

    /**
     * The state before any command.
     *
     * @param maxSettledChanges that are remembered
     * @param initialAbsencePolicy until a first change has brought its own; it has to be the same
     *     in all routers
     */
    public PolicyChanges(
            int maxSettledChanges, int maxRouters, AbsencePolicy initialAbsencePolicy) {
        enrolledRouters = new EnrolledRouters(maxRouters);
        history = new ChangeHistory(maxSettledChanges);
        inForce = new PolicyVersion(
                0, "", "", "", "", "each router's own file", initialAbsencePolicy, 0);
    }

    /** The newest version, whether its time has come or not. */
    public PolicyVersion inForce() {
        return inForce;
    }

    /** The version before {@link #inForce}; null where there has been none. */
    public PolicyVersion previous() {
        return previous;
    }

    /** The change that is not settled; null where there is none. */
    public PolicyChange openChange() {
        return history.openChange();
    }

    /** Null where no change has that id, or not any more. */
    public PolicyChange change(String changeId) {
        return history.get(changeId);
    }

    /** The newest changes, oldest first. */
    public Collection<PolicyChange> history() {
        return history.all();
    }

    /** Whether that process of that router takes part in changes. */
    public boolean isEnrolled(String router, String incarnation) {
        return enrolledRouters.contains(router, incarnation);
    }

    /** Routers that may take lookups, by name. */
    public Map<String, EnrolledRouter> enrolledRouters() {
        return enrolledRouters.byName();
    }

    /** Routers that have not accepted the open change. */
    public List<String> pendingRouters() {
        return openChange() == null ? List.of() : commitRule().pendingRouters();
    }

    /** When the open change may be committed; to be asked only while there is one. */
    CommitRule commitRule() {
        return new CommitRule(openChange(), inForce, enrolledRouters.byName());
    }

    /**
     * Applies one command; what is not understood changes nothing.
     *
     * @return what came of it, for its proposer
     */
    public CommandOutcome apply(PolicyCommand command) {
        return command.dispatch(handler);
    }

    /** One method for each command of the agreed log. */
    private final class CommandHandler implements PolicyCommand.Handler<CommandOutcome> {
        /** One with an id that is known is that one, however often it is proposed. */
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
            // The latest is kept: leases are older than all of them.
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
            // Danger: a vote that comes late would take back what a later one has promised.
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
            history.openChangeSettled();
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
                    history.openChangeSettled();
                }
                case WITHDRAWN -> {
                    // It has been carried out before.
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

    /** All of it, each line as a list of fields; {@link #fromSnapshot} makes the same from them. */
    public List<List<String>> snapshot() {
        return PolicySnapshotCodec.encode(this);
    }

    /**
     * The state that those lines were made from.
     *
     * @throws IllegalArgumentException where these are no lines of {@link #snapshot}
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

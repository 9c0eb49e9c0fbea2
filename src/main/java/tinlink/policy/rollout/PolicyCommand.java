package tinlink.policy.rollout;

/**
 * A command of the replicated log that modifies the {@link PolicyChanges}. All routers apply the
 * same commands in the same order. {@link PolicyCommandCodec} defines the stored format. Times are
 * in microseconds on the shared clock.
 */
public sealed interface PolicyCommand {
    /** A visitor with one method for each command type. */
    interface Handler<R> {
        /** A change is proposed. */
        R onPropose(Propose command);

        /** A coordinator confirms that the proposal is in the replicated log. */
        R onConfirmProposal(ConfirmProposal command);

        /** A participant accepts a change. */
        R onVoteYes(VoteYes command);

        /** A participant rejects a change. */
        R onVoteNo(VoteNo command);

        /** A change is committed. */
        R onCommit(Commit command);

        /** A change is withdrawn. */
        R onAbort(Abort command);

        /** A process of a router enrols as a participant. */
        R onEnrol(Enrol command);

        /** A process of a router stops being a participant. */
        R onLeave(Leave command);

        /** The command is unknown to this version of the router. */
        R onUnknownCommand(UnknownCommand command);
    }

    /** Calls the handler's method for this command and returns its result. */
    <R> R dispatch(Handler<R> handler);

    /**
     * Opens a change.
     *
     * @param changeId id of the change, chosen by the operator
     * @param baseEpoch epoch that has to be in force for the change to be opened
     * @param digest digest of the text
     * @param text the policy document
     * @param author who proposes the change
     * @param reason the author's reason
     * @param absencePolicy the new policy on absent routers; its timeouts already apply to the vote
     */
    record Propose(
            String changeId,
            long baseEpoch,
            String digest,
            String text,
            String author,
            String reason,
            AbsencePolicy absencePolicy)
            implements PolicyCommand {
        @Override
        public <R> R dispatch(Handler<R> handler) {
            return handler.onPropose(this);
        }
    }

    /** Confirms that a coordinator found the proposal in the log at the given time of its clock. */
    record ConfirmProposal(String changeId, long coordinatorTimeUs) implements PolicyCommand {
        @Override
        public <R> R dispatch(Handler<R> handler) {
            return handler.onConfirmProposal(this);
        }
    }

    /** Accepts a change; the vote binds the participant until the given time. */
    record VoteYes(String changeId, String router, String incarnation, long boundUntilUs)
            implements PolicyCommand {
        @Override
        public <R> R dispatch(Handler<R> handler) {
            return handler.onVoteYes(this);
        }
    }

    /** Rejects a change. */
    record VoteNo(String changeId, String router, String incarnation, String reason)
            implements PolicyCommand {
        @Override
        public <R> R dispatch(Handler<R> handler) {
            return handler.onVoteNo(this);
        }
    }

    /**
     * Puts a change in force from the given time on. The command is rejected if a necessary vote is
     * missing, or if a vote or a lease reaches beyond that time.
     */
    record Commit(String changeId, long effectiveAtUs) implements PolicyCommand {
        @Override
        public <R> R dispatch(Handler<R> handler) {
            return handler.onCommit(this);
        }
    }

    /** Withdraws a change. */
    record Abort(String changeId, String reason) implements PolicyCommand {
        @Override
        public <R> R dispatch(Handler<R> handler) {
            return handler.onAbort(this);
        }
    }

    /**
     * Enrols a process of a router as a participant.
     *
     * @param router name of the router
     * @param incarnation identifies the process
     * @param startCount number of starts of the router up to and including this process
     */
    record Enrol(String router, String incarnation, long startCount) implements PolicyCommand {
        @Override
        public <R> R dispatch(Handler<R> handler) {
            return handler.onEnrol(this);
        }
    }

    /** Removes a process of a router from the participants. */
    record Leave(String router, String incarnation) implements PolicyCommand {
        @Override
        public <R> R dispatch(Handler<R> handler) {
            return handler.onLeave(this);
        }
    }

    /** A command that this version of the router can't decode; applying it changes nothing. */
    record UnknownCommand(String text) implements PolicyCommand {
        @Override
        public <R> R dispatch(Handler<R> handler) {
            return handler.onUnknownCommand(this);
        }
    }
}

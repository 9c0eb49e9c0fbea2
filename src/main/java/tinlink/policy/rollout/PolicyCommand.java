package tinlink.policy.rollout;

/**
 * A command of the agreed log that changes the state of policy ({@link PolicyChanges}). All routers
 * apply the same commands in the same order. {@link PolicyCommandCodec} says how each is written.
 * Times are microseconds on the clock that all machines read.
 */
public sealed interface PolicyCommand {
    /** One method for each command. */
    interface Handler<R> {
        /** A change is proposed. */
        R onPropose(Propose command);

        /** The coordinator has seen the proposal agreed on. */
        R onConfirmProposal(ConfirmProposal command);

        /** A participant accepts. */
        R onVoteYes(VoteYes command);

        /** A participant rejects. */
        R onVoteNo(VoteNo command);

        /** A change takes effect. */
        R onCommit(Commit command);

        /** A change is withdrawn. */
        R onAbort(Abort command);

        /** A process takes part. */
        R onEnrol(Enrol command);

        /** A process takes no part any more. */
        R onLeave(Leave command);

        /** Nothing that this build can read. */
        R onUnknownCommand(UnknownCommand command);
    }

    /** Calls the handler's method for this command and returns what that returns. */
    <R> R dispatch(Handler<R> handler);

    /**
     * Opens a change.
     *
     * @param changeId the id that its operator gave it
     * @param baseEpoch the epoch that has to be in force
     * @param digest names the text
     * @param reason its author's
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

    /** The coordinator has seen the proposal agreed on, at this time of its clock. */
    record ConfirmProposal(String changeId, long coordinatorTimeUs) implements PolicyCommand {
        @Override
        public <R> R dispatch(Handler<R> handler) {
            return handler.onConfirmProposal(this);
        }
    }

    /** A participant accepts a change and is bound by that vote until the stated time. */
    record VoteYes(String changeId, String router, String incarnation, long boundUntilUs)
            implements PolicyCommand {
        @Override
        public <R> R dispatch(Handler<R> handler) {
            return handler.onVoteYes(this);
        }
    }

    /** A participant rejects a change. */
    record VoteNo(String changeId, String router, String incarnation, String reason)
            implements PolicyCommand {
        @Override
        public <R> R dispatch(Handler<R> handler) {
            return handler.onVoteNo(this);
        }
    }

    /**
     * The change takes effect at that time, if all votes that it needs are there and bind no
     * longer.
     */
    record Commit(String changeId, long effectiveAtUs) implements PolicyCommand {
        @Override
        public <R> R dispatch(Handler<R> handler) {
            return handler.onCommit(this);
        }
    }

    /** The change is withdrawn. */
    record Abort(String changeId, String reason) implements PolicyCommand {
        @Override
        public <R> R dispatch(Handler<R> handler) {
            return handler.onAbort(this);
        }
    }

    /**
     * A process of a router becomes a participant.
     *
     * @param startCount starts of that router, this one counted
     */
    record Enrol(String router, String incarnation, long startCount) implements PolicyCommand {
        @Override
        public <R> R dispatch(Handler<R> handler) {
            return handler.onEnrol(this);
        }
    }

    /** A process of a router is no participant any more. */
    record Leave(String router, String incarnation) implements PolicyCommand {
        @Override
        public <R> R dispatch(Handler<R> handler) {
            return handler.onLeave(this);
        }
    }

    /** Something that this build can't read; it changes nothing. */
    record UnknownCommand(String text) implements PolicyCommand {
        @Override
        public <R> R dispatch(Handler<R> handler) {
            return handler.onUnknownCommand(this);
        }
    }
}

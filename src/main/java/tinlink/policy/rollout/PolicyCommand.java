package tinlink.policy.rollout;

/**
 * A command of the agreed log that changes the state of policy ({@link PolicyChanges}). All routers apply the
 * same commands in the same order. {@link PolicyCommandCodec} says how each is written.
 */
public sealed interface PolicyCommand {
    /**
     * Opens a change.
     *
     * @param changeId the id that its operator gave it
     * @param baseEpoch the epoch that has to be in force
     * @param digest names the text
     */
    record Propose(
            String changeId,
            long baseEpoch,
            String digest,
            String text,
            String author,
            String reason,
            AbsencePolicy absencePolicy)
            implements PolicyCommand {}

    /** The coordinator has seen the proposal agreed, at this time of its clock. */
    record ConfirmProposal(String changeId, long coordinatorTimeUs) implements PolicyCommand {}

    /** A participant votes for a change and is bound by that vote until the stated time. */
    record VoteYes(String changeId, String router, String incarnation, long boundUntilUs)
            implements PolicyCommand {}

    /** A participant votes against a change. */
    record VoteNo(String changeId, String router, String incarnation, String reason)
            implements PolicyCommand {}

    /** The change takes hold at that time, if all votes that it needs are there and bind no longer. */
    record Commit(String changeId, long effectiveAtUs) implements PolicyCommand {}

    /** The change is withdrawn. */
    record Abort(String changeId, String reason) implements PolicyCommand {}

    /** A process of a router becomes a participant. @param starts starts of that router, this one counted */
    record Enrol(String router, String incarnation, long startCount) implements PolicyCommand {}

    /** A process of a router is no participant any more. */
    record Leave(String router, String incarnation) implements PolicyCommand {}

    /** Something that this build can't read; it changes nothing. */
    record UnknownCommand(String text) implements PolicyCommand {}
}

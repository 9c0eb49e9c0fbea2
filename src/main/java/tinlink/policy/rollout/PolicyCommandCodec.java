package tinlink.policy.rollout;

import tinlink.cluster.consensus.FieldReader;

import java.util.ArrayList;
import java.util.List;

/**
 * Encodes {@link PolicyCommand}s as lists of fields. Version 1 of the format has no version field:
 * it consists of {@link #SUBJECT}, the command type and the fields of that type. Later versions
 * begin with {@code @} and the version number; routers that only know version 1 treat such a
 * command as unknown.
 */
public final class PolicyCommandCodec {
    /** The first field of every command in version 1. */
    public static final String SUBJECT = "policy";

    // Command types as stored in the replicated log.
    private static final String PROPOSE = "propose";
    private static final String CONFIRM_PROPOSAL = "seen";
    private static final String VOTE_YES = "yes";
    private static final String VOTE_NO = "no";
    private static final String COMMIT = "hold";
    private static final String ABORT = "withdraw";
    static final String ENROL = "enrol";
    private static final String LEAVE = "left";

    private static final PolicyCommand.Handler<List<String>> ENCODER = new Encoder();

    private PolicyCommandCodec() {}

    /**
     * Encodes a command for {@link #decode}.
     *
     * @throws IllegalArgumentException if it is an {@link PolicyCommand.UnknownCommand}
     */
    public static List<String> encode(PolicyCommand command) {
        return command.dispatch(ENCODER);
    }

    private static final class Encoder implements PolicyCommand.Handler<List<String>> {
        @Override
        public List<String> onPropose(PolicyCommand.Propose command) {
            List<String> fields = fields(
                    PROPOSE,
                    command.changeId(),
                    command.baseEpoch(),
                    command.digest(),
                    command.text(),
                    command.author(),
                    command.reason());
            fields.addAll(encode(command.absencePolicy()));
            return fields;
        }

        @Override
        public List<String> onConfirmProposal(PolicyCommand.ConfirmProposal command) {
            return fields(CONFIRM_PROPOSAL, command.changeId(), command.coordinatorTimeUs());
        }

        @Override
        public List<String> onVoteYes(PolicyCommand.VoteYes command) {
            return fields(
                    VOTE_YES,
                    command.changeId(),
                    command.router(),
                    command.incarnation(),
                    command.boundUntilUs());
        }

        @Override
        public List<String> onVoteNo(PolicyCommand.VoteNo command) {
            return fields(
                    VOTE_NO,
                    command.changeId(),
                    command.router(),
                    command.incarnation(),
                    command.reason());
        }

        @Override
        public List<String> onCommit(PolicyCommand.Commit command) {
            return fields(COMMIT, command.changeId(), command.effectiveAtUs());
        }

        @Override
        public List<String> onAbort(PolicyCommand.Abort command) {
            return fields(ABORT, command.changeId(), command.reason());
        }

        @Override
        public List<String> onEnrol(PolicyCommand.Enrol command) {
            return fields(ENROL, command.router(), command.incarnation(), command.startCount());
        }

        @Override
        public List<String> onLeave(PolicyCommand.Leave command) {
            return fields(LEAVE, command.router(), command.incarnation());
        }

        @Override
        public List<String> onUnknownCommand(PolicyCommand.UnknownCommand command) {
            throw new IllegalArgumentException("an unknown command can't be encoded: " + command);
        }
    }

    /** Decodes a command; the result is an {@link PolicyCommand.UnknownCommand} if that fails. */
    public static PolicyCommand decode(List<String> fields) {
        try {
            return decodeVersion1(new FieldReader(fields));
        } catch (IllegalArgumentException e) {
            return new PolicyCommand.UnknownCommand(String.valueOf(fields));
        }
    }

    private static PolicyCommand decodeVersion1(FieldReader reader) {
        reader.nextText(); // Skips the subject.
        String kind = reader.nextText();
        return switch (kind) {
            case PROPOSE ->
                new PolicyCommand.Propose(
                        reader.nextText(),
                        reader.nextLong(),
                        reader.nextText(),
                        reader.nextText(),
                        reader.nextText(),
                        reader.nextText(),
                        decodeAbsencePolicy(reader));
            case CONFIRM_PROPOSAL ->
                new PolicyCommand.ConfirmProposal(reader.nextText(), reader.nextLong());
            case VOTE_YES ->
                new PolicyCommand.VoteYes(
                        reader.nextText(), reader.nextText(), reader.nextText(), reader.nextLong());
            case VOTE_NO ->
                new PolicyCommand.VoteNo(
                        reader.nextText(), reader.nextText(), reader.nextText(), reader.nextText());
            case COMMIT -> new PolicyCommand.Commit(reader.nextText(), reader.nextLong());
            case ABORT -> new PolicyCommand.Abort(reader.nextText(), reader.nextText());
            case ENROL ->
                new PolicyCommand.Enrol(reader.nextText(), reader.nextText(), reader.nextLong());
            case LEAVE -> new PolicyCommand.Leave(reader.nextText(), reader.nextText());
            default -> new PolicyCommand.UnknownCommand(kind);
        };
    }

    /** Decodes the five fields written by {@link #encode(AbsencePolicy)}. */
    static AbsencePolicy decodeAbsencePolicy(FieldReader reader) {
        return new AbsencePolicy(
                AbsencePolicy.Rule.valueOf(reader.nextText()),
                reader.nextLong(),
                reader.nextLong(),
                reader.nextLong(),
                reader.nextLong());
    }

    static List<String> encode(AbsencePolicy absencePolicy) {
        return List.of(
                absencePolicy.rule().name(),
                Long.toString(absencePolicy.settleTimeoutUs()),
                Long.toString(absencePolicy.voteBindingUs()),
                Long.toString(absencePolicy.leaseUs()),
                Long.toString(absencePolicy.maxClockErrorUs()));
    }

    /** Returns a modifiable list of the subject, the type and the values. */
    static List<String> fields(String kind, Object... values) {
        List<String> fields = new ArrayList<>(List.of(SUBJECT, kind));
        for (Object value : values) {
            fields.add(String.valueOf(value));
        }
        return fields;
    }
}

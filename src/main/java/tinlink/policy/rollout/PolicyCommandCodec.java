package tinlink.policy.rollout;

import tinlink.cluster.consensus.FieldReader;

import java.util.ArrayList;
import java.util.List;

/**
 * The written form of {@link PolicyCommand}s: a list of fields. Version 1, the form of the first
 * builds, has no number: {@link #SUBJECT}, the kind, its fields. Later forms begin with {@code @}
 * and their version, which earlier builds take for a command that they don't understand.
 */
public final class PolicyCommandCodec {
    /** The first field of all commands of version 1. */
    public static final String SUBJECT = "policy";

    // Kinds of commands as they stand in the agreed log.
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
     * The fields of a command; {@link #decode} makes the same from them.
     *
     * @throws IllegalArgumentException for an unknown command, which is never written
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
            throw new IllegalArgumentException("not a command that is written: " + command);
        }
    }

    /** Reads a command; one that can't be read is a {@link PolicyCommand.UnknownCommand}. */
    public static PolicyCommand decode(List<String> fields) {
        try {
            return decodeVersion1(new FieldReader(fields));
        } catch (IllegalArgumentException e) {
            return new PolicyCommand.UnknownCommand(String.valueOf(fields));
        }
    }

    private static PolicyCommand decodeVersion1(FieldReader reader) {
        reader.nextText(); // The subject.
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

    /** Reads the five fields of {@link #encode(AbsencePolicy)}. */
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

    /** The subject, the kind and the values, as a list that can be added to. */
    static List<String> fields(String kind, Object... values) {
        List<String> fields = new ArrayList<>(List.of(SUBJECT, kind));
        for (Object value : values) {
            fields.add(String.valueOf(value));
        }
        return fields;
    }
}

package tinlink.policy.rollout;

import java.util.ArrayList;
import java.util.List;

/**
 * The written form of {@link PolicyCommand}s: a list of words. Version 1, the form of the first builds, has
 * no number: {@code policy}, the kind, its fields. Later forms begin with {@code @} and their version,
 * which earlier builds take for a command that they don't understand.
 */
public final class PolicyCommandCodec {
    /** The first word of all commands of version 1. */
    public static final String SUBJECT = "policy";

    private PolicyCommandCodec() {}

    /** The words of a command; {@link #decode} makes the same from them. */
    public static List<String> encode(PolicyCommand command) {
        if (command instanceof PolicyCommand.Propose typed) {
            List<String> fields = fields(
                    "propose",
                    typed.changeId(),
                    typed.baseEpoch(),
                    typed.digest(),
                    typed.text(),
                    typed.author(),
                    typed.reason());
            fields.addAll(encode(typed.absencePolicy()));
            return fields;
        } else if (command instanceof PolicyCommand.ConfirmProposal typed) {
            return fields("seen", typed.changeId(), typed.coordinatorTimeUs());
        } else if (command instanceof PolicyCommand.VoteYes typed) {
            return fields(
                    "yes",
                    typed.changeId(),
                    typed.router(),
                    typed.incarnation(),
                    typed.boundUntilUs());
        } else if (command instanceof PolicyCommand.VoteNo typed) {
            return fields(
                    "no", typed.changeId(), typed.router(), typed.incarnation(), typed.reason());
        } else if (command instanceof PolicyCommand.Commit typed) {
            return fields("hold", typed.changeId(), typed.effectiveAtUs());
        } else if (command instanceof PolicyCommand.Abort typed) {
            return fields("withdraw", typed.changeId(), typed.reason());
        } else if (command instanceof PolicyCommand.Enrol typed) {
            return fields("enrol", typed.router(), typed.incarnation(), typed.startCount());
        } else if (command instanceof PolicyCommand.Leave typed) {
            return fields("left", typed.router(), typed.incarnation());
        }
        throw new IllegalArgumentException("not a command that is written: " + command);
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
            case "propose" ->
                new PolicyCommand.Propose(
                        reader.nextText(),
                        reader.nextLong(),
                        reader.nextText(),
                        reader.nextText(),
                        reader.nextText(),
                        reader.nextText(),
                        decodeAbsencePolicy(reader));
            case "seen" -> new PolicyCommand.ConfirmProposal(reader.nextText(), reader.nextLong());
            case "yes" ->
                new PolicyCommand.VoteYes(
                        reader.nextText(), reader.nextText(), reader.nextText(), reader.nextLong());
            case "no" ->
                new PolicyCommand.VoteNo(
                        reader.nextText(), reader.nextText(), reader.nextText(), reader.nextText());
            case "hold" -> new PolicyCommand.Commit(reader.nextText(), reader.nextLong());
            case "withdraw" -> new PolicyCommand.Abort(reader.nextText(), reader.nextText());
            case "enrol" ->
                new PolicyCommand.Enrol(reader.nextText(), reader.nextText(), reader.nextLong());
            case "left" -> new PolicyCommand.Leave(reader.nextText(), reader.nextText());
            default -> new PolicyCommand.UnknownCommand(kind);
        };
    }

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

    /** A list that can be added to, with the subject in front. */
    static List<String> fields(String kind, Object... values) {
        List<String> fields = new ArrayList<>(List.of(SUBJECT, kind));
        for (Object value : values) {
            fields.add(String.valueOf(value));
        }
        return fields;
    }
}

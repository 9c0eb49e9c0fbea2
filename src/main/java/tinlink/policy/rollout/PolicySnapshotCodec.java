package tinlink.policy.rollout;

import java.util.ArrayList;
import java.util.List;

/**
 * The written form of all that stands ({@link PolicyChanges}), as lists of words. It is version 1 of {@link
 * PolicyCommandCodec} and some lines of its own: {@code is} and {@code was} for versions, {@code change},
 * {@code vote}.
 */
final class PolicySnapshotCodec {
    private PolicySnapshotCodec() {}

    static List<List<String>> encode(PolicyChanges changes) {
        List<List<String>> lines = new ArrayList<>();
        lines.add(version("is", changes.inForce()));
        if (changes.previous() != null) {
            lines.add(version("was", changes.previous()));
        }
        changes.enrolledRouters()
                .forEach((router, enrolled) ->
                        lines.add(PolicyCommandCodec.encode(new PolicyCommand.Enrol(
                                router, enrolled.incarnation(), enrolled.startCount()))));
        for (PolicyChange change : changes.history()) {
            lines.add(change(change));
            change.votes.forEach((router, vote) -> lines.add(PolicyCommandCodec.fields(
                    "vote",
                    change.id,
                    router,
                    vote.incarnation(),
                    vote.accepts(),
                    vote.boundUntilUs(),
                    vote.reason())));
        }
        return lines;
    }

    private static List<String> version(String kind, PolicyVersion version) {
        List<String> fields = PolicyCommandCodec.fields(
                kind,
                version.epoch(),
                version.digest(),
                version.text(),
                version.changeId(),
                version.author(),
                version.reason(),
                version.effectiveAtUs());
        fields.addAll(PolicyCommandCodec.encode(version.absencePolicy()));
        return fields;
    }

    private static List<String> change(PolicyChange change) {
        List<String> fields = PolicyCommandCodec.fields(
                "change",
                change.id,
                change.baseEpoch,
                change.digest,
                change.text,
                change.author,
                change.reason,
                change.state,
                change.withdrawalReason,
                change.epoch,
                change.effectiveAtUs,
                change.confirmedAtUs);
        fields.addAll(PolicyCommandCodec.encode(change.absencePolicy));
        return fields;
    }

    /** @throws IllegalArgumentException where these are no lines of {@link #encode} */
    static void restoreInto(PolicyChanges changes, List<List<String>> lines) {
        for (List<String> line : lines) {
            FieldReader reader = new FieldReader(line);
            reader.nextText(); // The subject.
            switch (reader.nextText()) {
                case "is" -> changes.restoreInForce(version(reader));
                case "was" -> changes.restorePrevious(version(reader));
                case "enrol" ->
                    changes.restoreEnrolled(
                            reader.nextText(),
                            new PolicyChanges.EnrolledRouter(reader.nextText(), reader.nextLong()));
                case "change" -> changes.restore(change(reader));
                case "vote" -> {
                    PolicyChange change = changes.change(reader.nextText());
                    if (change == null) {
                        throw new IllegalArgumentException("a vote for no change: " + line);
                    }
                    change.votes.put(
                            reader.nextText(),
                            new PolicyChange.Vote(
                                    reader.nextText(),
                                    reader.nextBoolean(),
                                    reader.nextLong(),
                                    reader.nextText()));
                }
                default -> throw new IllegalArgumentException("no line of changes: " + line);
            }
        }
    }

    private static PolicyVersion version(FieldReader reader) {
        long epoch = reader.nextLong();
        String digest = reader.nextText();
        String text = reader.nextText();
        String change = reader.nextText();
        String author = reader.nextText();
        String reason = reader.nextText();
        long effectiveAtUs = reader.nextLong();
        return new PolicyVersion(
                epoch,
                digest,
                text,
                change,
                author,
                reason,
                PolicyCommandCodec.decodeAbsencePolicy(reader),
                effectiveAtUs);
    }

    private static PolicyChange change(FieldReader reader) {
        String id = reader.nextText();
        long baseEpoch = reader.nextLong();
        String digest = reader.nextText();
        String text = reader.nextText();
        String author = reader.nextText();
        String reason = reader.nextText();
        PolicyChange.State state = PolicyChange.State.valueOf(reader.nextText());
        String withdrawalReason = reader.nextText();
        long epoch = reader.nextLong();
        long effectiveAtUs = reader.nextLong();
        long confirmedAtUs = reader.nextLong();
        PolicyChange change = new PolicyChange(
                id,
                baseEpoch,
                digest,
                text,
                author,
                reason,
                PolicyCommandCodec.decodeAbsencePolicy(reader));
        change.state = state;
        change.withdrawalReason = withdrawalReason;
        change.epoch = epoch;
        change.effectiveAtUs = effectiveAtUs;
        change.confirmedAtUs = confirmedAtUs;
        return change;
    }
}

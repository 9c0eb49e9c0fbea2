package tinlink.policy.rollout;

import tinlink.cluster.consensus.FieldReader;

import java.util.ArrayList;
import java.util.List;

/**
 * Encodes {@link PolicyChanges} as lines, each a list of fields. The format extends version 1 of
 * {@link PolicyCommandCodec} by line types for versions, changes and votes.
 */
final class PolicySnapshotCodec {
    // Line types as stored in snapshots.
    private static final String VERSION_IN_FORCE = "is";
    private static final String PREVIOUS_VERSION = "was";
    private static final String CHANGE = "change";
    private static final String VOTE = "vote";

    private PolicySnapshotCodec() {}

    static List<List<String>> encode(PolicyChanges changes) {
        List<List<String>> lines = new ArrayList<>();
        lines.add(encodeVersion(VERSION_IN_FORCE, changes.inForce()));
        if (changes.previous() != null) {
            lines.add(encodeVersion(PREVIOUS_VERSION, changes.previous()));
        }
        changes.enrolledRouters()
                .forEach((router, enrolled) ->
                        lines.add(PolicyCommandCodec.encode(new PolicyCommand.Enrol(
                                router, enrolled.incarnation(), enrolled.startCount()))));
        for (PolicyChange change : changes.history()) {
            lines.add(encodeChange(change));
            change.votes()
                    .forEach((router, vote) ->
                            lines.add(encodeVote(change.changeId(), router, vote)));
        }
        return lines;
    }

    private static List<String> encodeVersion(String kind, PolicyVersion version) {
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

    private static List<String> encodeChange(PolicyChange change) {
        List<String> fields = PolicyCommandCodec.fields(
                CHANGE,
                change.changeId(),
                change.baseEpoch(),
                change.digest(),
                change.text(),
                change.author(),
                change.reason(),
                change.state(),
                change.withdrawalReason(),
                change.epoch(),
                change.effectiveAtUs(),
                change.confirmedAtUs());
        fields.addAll(PolicyCommandCodec.encode(change.absencePolicy()));
        return fields;
    }

    private static List<String> encodeVote(String changeId, String router, PolicyChange.Vote vote) {
        return PolicyCommandCodec.fields(
                VOTE,
                changeId,
                router,
                vote.incarnation(),
                vote.accepts(),
                vote.boundUntilUs(),
                vote.reason());
    }

    /**
     * Restores the state from a snapshot.
     *
     * @throws IllegalArgumentException if a line was not written by {@link #encode}
     */
    static void restoreInto(PolicyChanges changes, List<List<String>> lines) {
        for (List<String> line : lines) {
            FieldReader reader = new FieldReader(line);
            reader.nextText(); // Skips the subject.
            switch (reader.nextText()) {
                case VERSION_IN_FORCE -> changes.restoreInForce(decodeVersion(reader));
                case PREVIOUS_VERSION -> changes.restorePrevious(decodeVersion(reader));
                case PolicyCommandCodec.ENROL ->
                    changes.restoreEnrolled(
                            reader.nextText(),
                            new EnrolledRouter(reader.nextText(), reader.nextLong()));
                case CHANGE -> changes.restoreChange(decodeChange(reader));
                case VOTE -> {
                    PolicyChange change = changes.change(reader.nextText());
                    if (change == null) {
                        throw new IllegalArgumentException(
                                "policy snapshot has a vote for an unknown change: " + line);
                    }
                    change.vote(reader.nextText(), decodeVote(reader));
                }
                default ->
                    throw new IllegalArgumentException(
                            "policy snapshot has a line of an unknown type: " + line);
            }
        }
    }

    private static PolicyVersion decodeVersion(FieldReader reader) {
        long epoch = reader.nextLong();
        String digest = reader.nextText();
        String text = reader.nextText();
        String changeId = reader.nextText();
        String author = reader.nextText();
        String reason = reader.nextText();
        long effectiveAtUs = reader.nextLong();
        AbsencePolicy absencePolicy = PolicyCommandCodec.decodeAbsencePolicy(reader);
        return new PolicyVersion(
                epoch, digest, text, changeId, author, reason, absencePolicy, effectiveAtUs);
    }

    private static PolicyChange decodeChange(FieldReader reader) {
        String changeId = reader.nextText();
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
        AbsencePolicy absencePolicy = PolicyCommandCodec.decodeAbsencePolicy(reader);
        return PolicyChange.restore(
                new PolicyCommand.Propose(
                        changeId, baseEpoch, digest, text, author, reason, absencePolicy),
                state,
                withdrawalReason,
                epoch,
                effectiveAtUs,
                confirmedAtUs);
    }

    private static PolicyChange.Vote decodeVote(FieldReader reader) {
        return new PolicyChange.Vote(
                reader.nextText(), reader.nextBoolean(), reader.nextLong(), reader.nextText());
    }
}

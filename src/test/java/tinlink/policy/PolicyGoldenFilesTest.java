package tinlink.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

import tinlink.GoldenFile;
import tinlink.cluster.consensus.LineCodec;
import tinlink.policy.rollout.AbsencePolicy;
import tinlink.policy.rollout.PolicyCommand;
import tinlink.policy.rollout.PolicyCommandCodec;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Compares commands, answers and snapshots of policy changes byte for byte with golden files that
 * earlier builds have written.
 */
class PolicyGoldenFilesTest {
    private static final String LOG = "policy-log.txt";
    private static final String ANSWERS = "policy-answers.txt";
    private static final String SNAPSHOTS = "policy-snapshots.txt";
    private static final long START_US = 1_700_000_000_000_000L;
    private static final String TEXT = "{\n\t\"absent\": {\"rule\": \"fence\"}, \"é\\\": 1\r\n}";

    private static String encode(PolicyCommand command) {
        return PolicyStateMachine.encode(command);
    }

    private static PolicyCommand decode(String line) {
        return PolicyCommandCodec.decode(LineCodec.decode(line));
    }

    /** One replica of the state machine. */
    private static final class Replica {
        private final PolicyStateMachine stateMachine = new PolicyStateMachine();

        String apply(String line) {
            return stateMachine.apply(line);
        }

        List<String> snapshot() {
            return stateMachine.snapshot();
        }

        void restore(List<String> lines) {
            stateMachine.restore(lines);
        }
    }

    private static AbsencePolicy absencePolicy(AbsencePolicy.Rule rule) {
        long leaseUs = rule == AbsencePolicy.Rule.FENCE ? 30_000_000 : 0;
        return new AbsencePolicy(rule, 10_000_000, 1_000_000, leaseUs, 50_000);
    }

    private static PolicyCommand propose(String changeId, long baseEpoch, AbsencePolicy.Rule rule) {
        return new PolicyCommand.Propose(
                changeId,
                baseEpoch,
                "digest-" + changeId,
                TEXT,
                "op é",
                "why\tso",
                absencePolicy(rule));
    }

    private static PolicyCommand enrol(int router, long startCount) {
        return new PolicyCommand.Enrol("r" + router, incarnation(router), startCount);
    }

    private static String incarnation(int router) {
        return "r" + router + "#2.ab" + router;
    }

    private static PolicyCommand voteYes(String changeId, int router, long boundUntilUs) {
        return new PolicyCommand.VoteYes(changeId, "r" + router, incarnation(router), boundUntilUs);
    }

    private static List<PolicyCommand> commands() {
        List<PolicyCommand> all = new ArrayList<>();
        all.add(enrol(1, 2));
        all.add(enrol(2, 2));
        all.add(enrol(3, 7));
        all.add(new PolicyCommand.Enrol("r3", "r3#6.0", 6));
        all.add(propose("c1", 0, AbsencePolicy.Rule.WAIT));
        all.add(propose("c2", 0, AbsencePolicy.Rule.WITHDRAW));
        all.add(new PolicyCommand.ConfirmProposal("c1", START_US));
        all.add(voteYes("c1", 1, START_US + 1_000_000));
        all.add(voteYes("c1", 1, START_US + 500_000));
        all.add(voteYes("c1", 9, START_US));
        all.add(new PolicyCommand.VoteNo("c1", "r2", incarnation(2), "a key\nthat it lacks"));
        all.add(new PolicyCommand.Commit("c1", START_US + 9_000_000));
        all.add(voteYes("c1", 2, START_US + 1_100_000));
        all.add(voteYes("c1", 3, START_US + 1_200_000));
        all.add(new PolicyCommand.Commit("c1", START_US + 1_200_000));
        all.add(new PolicyCommand.Commit("c1", START_US + 1_250_000));
        all.add(propose("c1", 0, AbsencePolicy.Rule.WAIT));
        all.add(propose("c3", 0, AbsencePolicy.Rule.FENCE));
        all.add(propose("c3", 1, AbsencePolicy.Rule.FENCE));
        all.add(voteYes("c3", 1, START_US + 5_000_000));
        all.add(new PolicyCommand.Abort("c3", "by its operator"));
        all.add(new PolicyCommand.Abort("c3", "once more"));
        all.add(new PolicyCommand.Abort("c1", "too late"));
        all.add(new PolicyCommand.Abort("cx", "unknown"));
        all.add(new PolicyCommand.Leave("r2", "r2#1.0"));
        all.add(new PolicyCommand.Leave("r2", incarnation(2)));
        all.add(propose("", 1, AbsencePolicy.Rule.WAIT));
        all.add(propose("c4", 1, AbsencePolicy.Rule.FENCE));
        all.add(new PolicyCommand.ConfirmProposal("c4", START_US + 20_000_000));
        all.add(voteYes("c4", 3, START_US + 21_000_000));
        all.add(new PolicyCommand.VoteNo("c4", "r1", incarnation(1), "no"));
        return all;
    }

    /** Numbers of applied commands after which the golden file has a snapshot. */
    private static final int[] SNAPSHOTS_AFTER = {0, 11, 20, 31};

    private static String recordName(int number, PolicyCommand command) {
        String line = encode(command);
        return String.format("%02d-%s", number, line.split("\t", -1)[1]);
    }

    private static void addSnapshotIfDue(
            Map<String, String> snapshots, int appliedCommands, Replica replica) {
        for (int snapshotAfter : SNAPSHOTS_AFTER) {
            if (snapshotAfter == appliedCommands) {
                int line = 0;
                for (String text : replica.snapshot()) {
                    snapshots.put(
                            String.format("after-%02d-line-%02d", appliedCommands, ++line), text);
                }
            }
        }
    }

    @Test
    void commandsAreEncodedAndAnsweredAsInTheGoldenFiles() throws IOException {
        Map<String, String> log = new LinkedHashMap<>();
        Map<String, String> answers = new LinkedHashMap<>();
        Map<String, String> snapshots = new LinkedHashMap<>();
        Replica replica = new Replica();
        addSnapshotIfDue(snapshots, 0, replica);
        for (PolicyCommand command : commands()) {
            String name = recordName(log.size() + 1, command);
            log.put(name, encode(command));
            answers.put(name, replica.apply(encode(command)));
            addSnapshotIfDue(snapshots, log.size(), replica);
        }
        GoldenFile.holds(LOG, "Commands of changes of policy, in agreed order.", log);
        GoldenFile.holds(ANSWERS, "What was answered to each command.", answers);
        GoldenFile.holds(
                SNAPSHOTS, "All that stands, after so many commands of the log.", snapshots);
    }

    @Test
    void goldenLogIsDecodedAndAppliedWithTheSameResults() throws IOException {
        Replica replica = new Replica();
        Map<String, String> answers = GoldenFile.read(ANSWERS);
        Map<String, String> snapshots = new LinkedHashMap<>();
        addSnapshotIfDue(snapshots, 0, replica);
        List<PolicyCommand> commands = commands();
        int applied = 0;
        for (Map.Entry<String, String> entry : GoldenFile.read(LOG).entrySet()) {
            String line = entry.getValue();
            assertEquals(commands.get(applied), decode(line));
            assertEquals(line, encode(decode(line)));
            assertEquals(answers.get(entry.getKey()), replica.apply(line), entry.getKey());
            addSnapshotIfDue(snapshots, ++applied, replica);
        }
        assertEquals(GoldenFile.read(SNAPSHOTS), snapshots);
    }

    @Test
    void goldenSnapshotsAreRestoredAndTheRestOfTheLogIsApplied() throws IOException {
        List<String> commands = List.copyOf(GoldenFile.read(LOG).values());
        List<String> answers = List.copyOf(GoldenFile.read(ANSWERS).values());
        for (int snapshotAfter : SNAPSHOTS_AFTER) {
            String prefix = String.format("after-%02d-", snapshotAfter);
            List<String> lines = new ArrayList<>();
            GoldenFile.read(SNAPSHOTS).forEach((name, text) -> {
                if (name.startsWith(prefix)) {
                    lines.add(text);
                }
            });
            Replica replica = new Replica();
            replica.restore(lines);
            assertEquals(lines, replica.snapshot());
            for (int i = snapshotAfter; i < commands.size(); i++) {
                assertEquals(answers.get(i), replica.apply(commands.get(i)), commands.get(i));
            }
        }
    }
}

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

/** Commands, answers and snapshots of changes of policy, byte for byte as earlier builds wrote them. */
class PolicyGoldenFilesTest {
    private static final String LOG = "policy-log.txt";
    private static final String ANSWERS = "policy-answers.txt";
    private static final String SNAPSHOTS = "policy-snapshots.txt";
    private static final long T = 1_700_000_000_000_000L;
    private static final String TEXT = "{\n\t\"absent\": {\"rule\": \"fence\"}, \"é\\\": 1\r\n}";

    // ---- The code under test. ----

    private static String encode(PolicyCommand command) {
        return PolicyStateMachine.encode(command);
    }

    private static PolicyCommand decode(String line) {
        return PolicyCommandCodec.decode(LineCodec.decode(line));
    }

    /** One replica of what is agreed. */
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

    private static AbsencePolicy absent(AbsencePolicy.Rule rule) {
        long lease = rule == AbsencePolicy.Rule.FENCE ? 30_000_000 : 0;
        return new AbsencePolicy(rule, 10_000_000, 1_000_000, lease, 50_000);
    }

    private static PolicyCommand propose(String id, long against, AbsencePolicy.Rule rule) {
        return new PolicyCommand.Propose(
                id, against, "digest-" + id, TEXT, "op é", "why\tso", absent(rule));
    }

    private static PolicyCommand enrol(int router, long starts) {
        return new PolicyCommand.Enrol("r" + router, life(router), starts);
    }

    private static String life(int router) {
        return "r" + router + "#2.ab" + router;
    }

    private static PolicyCommand yes(String id, int router, long until) {
        return new PolicyCommand.VoteYes(id, "r" + router, life(router), until);
    }

    private static List<PolicyCommand> commands() {
        List<PolicyCommand> all = new ArrayList<>();
        all.add(enrol(1, 2));
        all.add(enrol(2, 2));
        all.add(enrol(3, 7));
        all.add(new PolicyCommand.Enrol("r3", "r3#6.0", 6));
        all.add(propose("c1", 0, AbsencePolicy.Rule.WAIT));
        all.add(propose("c2", 0, AbsencePolicy.Rule.WITHDRAW));
        all.add(new PolicyCommand.ConfirmProposal("c1", T));
        all.add(yes("c1", 1, T + 1_000_000));
        all.add(yes("c1", 1, T + 500_000));
        all.add(yes("c1", 9, T));
        all.add(new PolicyCommand.VoteNo("c1", "r2", life(2), "a key\nthat it lacks"));
        all.add(new PolicyCommand.Commit("c1", T + 9_000_000));
        all.add(yes("c1", 2, T + 1_100_000));
        all.add(yes("c1", 3, T + 1_200_000));
        all.add(new PolicyCommand.Commit("c1", T + 1_200_000));
        all.add(new PolicyCommand.Commit("c1", T + 1_250_000));
        all.add(propose("c1", 0, AbsencePolicy.Rule.WAIT));
        all.add(propose("c3", 0, AbsencePolicy.Rule.FENCE));
        all.add(propose("c3", 1, AbsencePolicy.Rule.FENCE));
        all.add(yes("c3", 1, T + 5_000_000));
        all.add(new PolicyCommand.Abort("c3", "by its operator"));
        all.add(new PolicyCommand.Abort("c3", "once more"));
        all.add(new PolicyCommand.Abort("c1", "too late"));
        all.add(new PolicyCommand.Abort("cx", "unknown"));
        all.add(new PolicyCommand.Leave("r2", "r2#1.0"));
        all.add(new PolicyCommand.Leave("r2", life(2)));
        all.add(propose("", 1, AbsencePolicy.Rule.WAIT));
        all.add(propose("c4", 1, AbsencePolicy.Rule.FENCE));
        all.add(new PolicyCommand.ConfirmProposal("c4", T + 20_000_000));
        all.add(yes("c4", 3, T + 21_000_000));
        all.add(new PolicyCommand.VoteNo("c4", "r1", life(1), "no"));
        return all;
    }

    private static final int[] SNAPSHOT_AFTER = {0, 11, 20, 31};

    private static String name(int number, PolicyCommand command) {
        String line = encode(command);
        return String.format("%02d-%s", number, line.split("\t", -1)[1]);
    }

    private static void snapshot(Map<String, String> all, int after, Replica replica) {
        for (int at : SNAPSHOT_AFTER) {
            if (at == after) {
                int line = 0;
                for (String text : replica.snapshot()) {
                    all.put(String.format("after-%02d-line-%02d", after, ++line), text);
                }
            }
        }
    }

    @Test
    void commandsAreWrittenAndAnsweredAsTheyWere() throws IOException {
        Map<String, String> log = new LinkedHashMap<>();
        Map<String, String> answers = new LinkedHashMap<>();
        Map<String, String> snapshots = new LinkedHashMap<>();
        Replica replica = new Replica();
        snapshot(snapshots, 0, replica);
        for (PolicyCommand command : commands()) {
            String name = name(log.size() + 1, command);
            log.put(name, encode(command));
            answers.put(name, replica.apply(encode(command)));
            snapshot(snapshots, log.size(), replica);
        }
        GoldenFile.holds(LOG, "Commands of changes of policy, in agreed order.", log);
        GoldenFile.holds(ANSWERS, "What was answered to each command.", answers);
        GoldenFile.holds(
                SNAPSHOTS, "All that stands, after so many commands of the log.", snapshots);
    }

    @Test
    void theLogIsReadAndPlayedAsItWas() throws IOException {
        Replica replica = new Replica();
        Map<String, String> answers = GoldenFile.read(ANSWERS);
        Map<String, String> snapshots = new LinkedHashMap<>();
        snapshot(snapshots, 0, replica);
        List<PolicyCommand> commands = commands();
        int played = 0;
        for (Map.Entry<String, String> line : GoldenFile.read(LOG).entrySet()) {
            assertEquals(commands.get(played), decode(line.getValue()));
            assertEquals(line.getValue(), encode(decode(line.getValue())));
            assertEquals(answers.get(line.getKey()), replica.apply(line.getValue()), line.getKey());
            snapshot(snapshots, ++played, replica);
        }
        assertEquals(GoldenFile.read(SNAPSHOTS), snapshots);
    }

    @Test
    void snapshotsAreReadAndTheRestOfTheLogPlayedAfterThem() throws IOException {
        List<String> commands = List.copyOf(GoldenFile.read(LOG).values());
        List<String> answers = List.copyOf(GoldenFile.read(ANSWERS).values());
        for (int after : SNAPSHOT_AFTER) {
            String name = String.format("after-%02d-", after);
            List<String> lines = new ArrayList<>();
            GoldenFile.read(SNAPSHOTS).forEach((line, text) -> {
                if (line.startsWith(name)) {
                    lines.add(text);
                }
            });
            Replica replica = new Replica();
            replica.restore(lines);
            assertEquals(lines, replica.snapshot());
            for (int i = after; i < commands.size(); i++) {
                assertEquals(answers.get(i), replica.apply(commands.get(i)), commands.get(i));
            }
        }
    }
}

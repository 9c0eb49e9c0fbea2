package tinlink.cluster.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

import tinlink.cluster.consensus.VoterAdmission.Decision;
import tinlink.cluster.membership.Incarnation;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Which disks may vote, and to which voters the voter slots go. */
class VoterReplacementTest {
    private static final Map<String, String> VOTERS =
            new TreeMap<>(Map.of("r1", "0", "r2", "0", "r3", "0"));

    private static VoterReplacement.Change nextChange(
            Map<String, String> voters,
            Map<String, String> present,
            Map<String, String> operatorReplacements) {
        return VoterReplacement.nextChange(
                new TreeMap<>(voters),
                new TreeMap<>(present),
                new TreeMap<>(operatorReplacements),
                3);
    }

    @Test
    void aLostDiskIsReplacedByTheNewOneInTwoSteps() {
        Map<String, String> present = Map.of("r1", "0", "r2", "7", "r3", "0");
        assertEquals(
                new VoterReplacement.Change("r2/0", null), nextChange(VOTERS, present, Map.of()));
        assertEquals(
                new VoterReplacement.Change(null, "r2/7"),
                nextChange(Map.of("r1", "0", "r3", "0"), present, Map.of()));
        assertNull(nextChange(Map.of("r1", "0", "r2", "7", "r3", "0"), present, Map.of()));
    }

    @Test
    void votersDoNotChangeWithoutAPresentMajority() {
        assertNull(nextChange(VOTERS, Map.of("r1", "0", "r2", "7", "r3", "8"), Map.of()));
        assertNull(nextChange(VOTERS, Map.of("r1", "0"), Map.of("r2", "r9")));
    }

    @Test
    void anotherRouterBecomesVoterOnlyByAnOperatorsCommand() {
        Map<String, String> present = Map.of("r1", "0", "r3", "0", "r4", "5");
        assertNull(nextChange(VOTERS, present, Map.of()), "r2 may come back");
        assertEquals(
                new VoterReplacement.Change("r2/0", null),
                nextChange(VOTERS, present, Map.of("r2", "r4")));
        Map<String, String> afterRemoval = Map.of("r1", "0", "r3", "0");
        assertEquals(
                new VoterReplacement.Change(null, "r4/5"),
                nextChange(afterRemoval, present, Map.of("r2", "r4")));
        Map<String, String> allPresent = Map.of("r1", "0", "r2", "0", "r3", "0", "r4", "5");
        assertEquals(
                new VoterReplacement.Change(null, "r4/5"),
                nextChange(afterRemoval, allPresent, Map.of("r2", "r4")),
                "r2 came back after its slot was given away");
    }

    private static final Incarnation SELF = new Incarnation("r1", 4, 9);
    private static final LogPosition DISK_POSITION = new LogPosition(3, 50);

    private static VoterAdmission admission() {
        return new VoterAdmission(SELF, DISK_POSITION, Set.of("r2", "r3", "r4", "r5"));
    }

    @Test
    void aDiskIsAdmittedOnceAMajorityKnowsNothingLater() {
        VoterAdmission admission = admission();
        admission.onAnswer(
                "r2", new Incarnation("r1", 3, 1), new LogPosition(3, 50), RecoveryFloor.NONE, 0);
        assertEquals(Decision.UNDECIDED, admission.decide(10_000, 100));
        admission.onAnswer("r3", null, null, RecoveryFloor.NONE, 10_000);
        assertEquals(
                Decision.UNDECIDED,
                admission.decide(10_099, 100),
                "r4 or r5 may know something later");
        assertEquals(Set.of("r4", "r5"), admission.votersToAsk());
        assertEquals(
                Decision.UNDECIDED,
                admission.decide(10_499, 100),
                "two of four other voters may both lack what the disk acknowledged");
        assertEquals(
                Decision.ADMITTED,
                admission.decide(10_500, 100),
                "half of the others stay away: the disk is admitted without a floor");
        assertEquals(RecoveryFloor.NONE, admission.floor());
        VoterAdmission withFloor = admission();
        withFloor.onAnswer("r2", null, null, new RecoveryFloor(3, 3, 40), 0);
        withFloor.onAnswer("r3", null, null, new RecoveryFloor(4, 3, 60), 0);
        withFloor.onAnswer("r4", null, null, new RecoveryFloor(3, 3, 50), 0);
        assertEquals(Decision.UNDECIDED, withFloor.decide(99, 100), "r5 may know something later");
        assertEquals(Decision.ADMITTED, withFloor.decide(100, 100));
        assertEquals(new RecoveryFloor(4, 3, 60), withFloor.floor());
    }

    @Test
    void oneLaterAnswerPreventsAdmission() {
        VoterAdmission admission = admission();
        admission.onAnswer("r2", null, null, RecoveryFloor.NONE, 0);
        admission.onAnswer("r3", null, null, RecoveryFloor.NONE, 0);
        admission.onAnswer("r4", null, new LogPosition(3, 51), RecoveryFloor.NONE, 0);
        assertEquals(Decision.STALE_DISK, admission.decide(1000, 100));
        VoterAdmission laterTerm = admission();
        laterTerm.onAnswer("r2", null, new LogPosition(4, 0), RecoveryFloor.NONE, 0);
        assertEquals(Decision.STALE_DISK, laterTerm.decision());
        VoterAdmission laterIncarnation = admission();
        laterIncarnation.onAnswer("r2", new Incarnation("r1", 5, 1), null, RecoveryFloor.NONE, 0);
        assertEquals(Decision.STALE_DISK, laterIncarnation.decision());
        VoterAdmission duplicate = admission();
        duplicate.onAnswer("r2", new Incarnation("r1", 4, 8), null, RecoveryFloor.NONE, 0);
        assertEquals(Decision.DUPLICATE_PROCESS, duplicate.decision());
    }

    @Test
    void anEmptyDiskOfAKnownRouterReplacesTheLostOne() {
        for (Incarnation knownIncarnation : new Incarnation[] {
            new Incarnation("r1", 3, 1), new Incarnation("r1", 4, 8), new Incarnation("r1", 7, 2)
        }) {
            VoterAdmission admission =
                    new VoterAdmission(SELF, new LogPosition(0, 0), Set.of("r2", "r3"), true);
            admission.onAnswer("r2", knownIncarnation, null, RecoveryFloor.NONE, 0);
            assertEquals(Decision.STALE_DISK, admission.decision(), knownIncarnation.toString());
            assertTrue(admission.isLostDisk());
            assertEquals(knownIncarnation.startCount(), admission.knownStartCount());
        }
        VoterAdmission firstStart =
                new VoterAdmission(SELF, new LogPosition(0, 0), Set.of("r2", "r3"), true);
        firstStart.onAnswer("r2", SELF, null, RecoveryFloor.NONE, 0);
        firstStart.onAnswer("r3", null, null, RecoveryFloor.NONE, 0);
        assertEquals(
                Decision.ADMITTED, firstStart.decide(0, 100), "this is the router's first start");
    }

    @Test
    void answersOfNonVotersAreIgnored() {
        VoterAdmission admission = admission();
        admission.onAnswer("r9", new Incarnation("r1", 5, 1), null, RecoveryFloor.NONE, 0);
        assertEquals(Decision.UNDECIDED, admission.decision());
        assertEquals(
                Decision.ADMITTED, new VoterAdmission(SELF, DISK_POSITION, Set.of()).decision());
    }
}

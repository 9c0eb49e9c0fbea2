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

/** Who may vote, and who takes whose voter slot. */
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
        assertNull(nextChange(VOTERS, present, Map.of()), "r2 may only be away for a while");
        assertEquals(
                new VoterReplacement.Change("r2/0", null),
                nextChange(VOTERS, present, Map.of("r2", "r4")));
        Map<String, String> twoPresent = Map.of("r1", "0", "r3", "0");
        assertEquals(
                new VoterReplacement.Change(null, "r4/5"),
                nextChange(twoPresent, present, Map.of("r2", "r4")));
        Map<String, String> originalPresent = Map.of("r1", "0", "r2", "0", "r3", "0", "r4", "5");
        assertEquals(
                new VoterReplacement.Change(null, "r4/5"),
                nextChange(twoPresent, originalPresent, Map.of("r2", "r4")),
                "it is back too late");
    }

    private static final Incarnation SELF = new Incarnation("r1", 4, 9);
    private static final LogPosition DISK = new LogPosition(3, 50);

    private static VoterAdmission admission() {
        return new VoterAdmission(SELF, DISK, Set.of("r2", "r3", "r4", "r5"));
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
                "each of the others may be the one that knows");
        assertEquals(Set.of("r4", "r5"), admission.votersToAsk());
        assertEquals(
                Decision.UNDECIDED,
                admission.decide(10_499, 100),
                "two of four others: they may both lack what it confirmed");
        assertEquals(
                Decision.ADMITTED,
                admission.decide(10_500, 100),
                "half of the others stay away: it votes without a floor");
        assertEquals(RecoveryFloor.NONE, admission.floor());
        VoterAdmission withLaterPositions = admission();
        withLaterPositions.onAnswer("r2", null, null, new RecoveryFloor(3, 3, 40), 0);
        withLaterPositions.onAnswer("r3", null, null, new RecoveryFloor(4, 3, 60), 0);
        withLaterPositions.onAnswer("r4", null, null, new RecoveryFloor(3, 3, 50), 0);
        assertEquals(
                Decision.UNDECIDED,
                withLaterPositions.decide(99, 100),
                "each of the others may be the one that knows");
        assertEquals(Decision.ADMITTED, withLaterPositions.decide(100, 100));
        assertEquals(new RecoveryFloor(4, 3, 60), withLaterPositions.floor());
    }

    @Test
    void oneLaterAnswerPreventsAdmission() {
        VoterAdmission admission = admission();
        admission.onAnswer("r2", null, null, RecoveryFloor.NONE, 0);
        admission.onAnswer("r3", null, null, RecoveryFloor.NONE, 0);
        admission.onAnswer("r4", null, new LogPosition(3, 51), RecoveryFloor.NONE, 0);
        assertEquals(Decision.STALE_DISK, admission.decide(1000, 100));
        VoterAdmission term = admission();
        term.onAnswer("r2", null, new LogPosition(4, 0), RecoveryFloor.NONE, 0);
        assertEquals(Decision.STALE_DISK, term.decision());
        VoterAdmission later = admission();
        later.onAnswer("r2", new Incarnation("r1", 5, 1), null, RecoveryFloor.NONE, 0);
        assertEquals(Decision.STALE_DISK, later.decision());
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
        VoterAdmission first =
                new VoterAdmission(SELF, new LogPosition(0, 0), Set.of("r2", "r3"), true);
        first.onAnswer("r2", SELF, null, RecoveryFloor.NONE, 0);
        first.onAnswer("r3", null, null, RecoveryFloor.NONE, 0);
        assertEquals(Decision.ADMITTED, first.decide(0, 100), "the first start of all");
    }

    @Test
    void answersOfNonVotersAreIgnored() {
        VoterAdmission admission = admission();
        admission.onAnswer("r9", new Incarnation("r1", 5, 1), null, RecoveryFloor.NONE, 0);
        assertEquals(Decision.UNDECIDED, admission.decision());
        assertEquals(Decision.ADMITTED, new VoterAdmission(SELF, DISK, Set.of()).decision());
    }
}

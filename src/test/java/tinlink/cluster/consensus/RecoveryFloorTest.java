package tinlink.cluster.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

import java.util.List;

/** The floor that a restarted voter observes. */
class RecoveryFloorTest {
    private static final List<RecoveryFloor> ANSWERS = List.of(
            new RecoveryFloor(2, 1, 107),
            new RecoveryFloor(3, 2, 90),
            new RecoveryFloor(2, 1, 95),
            new RecoveryFloor(1, 1, 80));

    @Test
    void floorIsTheLeastPositionOfAQuorumAndTheLatestTerm() {
        assertEquals(new RecoveryFloor(3, 1, 107), RecoveryFloor.fromAnswers(ANSWERS, 3));
        assertEquals(
                RecoveryFloor.NONE,
                RecoveryFloor.fromAnswers(ANSWERS.subList(0, 2), 3),
                "fewer answers than the quorum");
    }

    /** Without a floor, a voter whose disk lost a granted vote votes a second time in the same term. */
    @Test
    void noVoteIsGrantedInAKnownTermOrToAShorterLog() {
        RecoveryFloor floor = new RecoveryFloor(3, 1, 107);
        assertFalse(floor.mayGrant(3, 2, 200), "the voter may have voted in term 3");
        assertFalse(floor.mayGrant(4, 1, 106), "the voter may have acknowledged entry 107");
        assertTrue(floor.mayGrant(4, 1, 107));
        assertTrue(floor.mayGrant(4, 2, 5));
        assertFalse(floor.mayFollow(2));
        assertTrue(floor.mayFollow(3));
        assertFalse(floor.mayCampaign(1, 100));
        assertTrue(floor.mayCampaign(2, 1));
        assertTrue(RecoveryFloor.NONE.mayGrant(0, 0, 0)
                && RecoveryFloor.NONE.mayCampaign(0, 0)
                && RecoveryFloor.NONE.mayFollow(0));
    }

    /**
     * A candidate whose pre-vote request is dropped never learns the later term: in a seeded simulation, the
     * group never got a leader.
     */
    @Test
    void aCandidateBehindOnlyInTermsGetsAPreVoteAnswer() {
        RecoveryFloor floor = new RecoveryFloor(2, 1, 95);
        assertTrue(floor.mayAnswerPreVote(1, 107));
        assertFalse(floor.mayAnswerPreVote(1, 94));
    }
}

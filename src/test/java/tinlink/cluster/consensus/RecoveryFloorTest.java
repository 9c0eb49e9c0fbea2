package tinlink.cluster.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

import java.util.List;

/** What a voter that was started again holds to. */
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
                "too few have answered");
    }

    /** Fails without the floor: a vote that was given and forgotten is given a second time. */
    @Test
    void noVoteIsGrantedInAKnownTermOrToAShorterLog() {
        RecoveryFloor floor = new RecoveryFloor(3, 1, 107);
        assertFalse(floor.mayGrant(3, 2, 200), "it may have voted in that term");
        assertFalse(floor.mayGrant(4, 1, 106), "it may have confirmed what that one lacks");
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
     * Fails where such a question is dropped: seen in a seeded play as a group that never got a
     * leader.
     */
    @Test
    void aCandidateBehindOnlyInTermsGetsAPreVoteAnswer() {
        RecoveryFloor floor = new RecoveryFloor(2, 1, 95);
        assertTrue(floor.mayAnswerPreVote(1, 107));
        assertFalse(floor.mayAnswerPreVote(1, 94));
    }
}

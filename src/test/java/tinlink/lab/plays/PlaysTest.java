package tinlink.lab.plays;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Many routers in simulated time, with faults from a seed. */
class PlaysTest {
    private static final WorkPlay.Size SIZE = new WorkPlay.Size(9, 5, 4, 3, false);
    private static final long OVER = 30_000_000;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void routersComeToKnowEachOtherAgain(long seed) {
        MembershipPlay.Came came = MembershipPlay.play(seed, 12, 10, seed % 2 == 0);
        assertEquals(List.of(), came.violations());
    }

    @Test
    void nobodyIsHeldForDeadForALossyLine() {
        MembershipPlay.Came came = MembershipPlay.play(11, 40, 0, false);
        assertEquals(List.of(), came.violations());
        assertEquals(0, came.falseDeaths());
    }

    @Test
    void theSameSeedIsTheSamePlay() {
        assertEquals(MembershipPlay.play(5, 9, 6, true), MembershipPlay.play(5, 9, 6, true));
        List<WorkPlay.Event> s = WorkPlay.schedule(5, SIZE, 10, 6, OVER);
        assertEquals(WorkPlay.play(5, SIZE, s), WorkPlay.play(5, SIZE, s));
    }

    @Test
    void workKeepsItsBoundsThroughFaults() {
        int finished = 0;
        for (long seed = 1; seed <= 40; seed++) {
            List<WorkPlay.Event> s = WorkPlay.schedule(seed, SIZE, 10, 6, OVER);
            WorkPlay.Came came = WorkPlay.play(seed, SIZE, s);
            assertEquals(List.of(), came.violations(), "seed " + seed + " " + s);
            finished += came.finished();
        }
        assertTrue(finished > 100, "finished " + finished);
    }

    @Test
    void aPlantedFaultIsFoundAndMadeSmall() {
        WorkPlay.Size planted = new WorkPlay.Size(9, 5, 4, 3, true);
        List<WorkPlay.Event> s = WorkPlay.schedule(3, planted, 10, 4, OVER);
        assertFalse(WorkPlay.play(3, planted, s).violations().isEmpty());
        List<WorkPlay.Event> small = WorkPlay.shrink(3, planted, s);
        assertTrue(small.size() <= 2, small.toString());
        assertFalse(WorkPlay.play(3, planted, small).violations().isEmpty());
    }
}

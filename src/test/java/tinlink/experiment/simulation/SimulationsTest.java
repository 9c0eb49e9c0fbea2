package tinlink.experiment.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.LongStream;

/** Many routers in simulated time, with faults from a seed. */
class SimulationsTest {
    private static final MaintenanceSimulation.Size SIZE =
            new MaintenanceSimulation.Size(9, 5, 4, 3, false);
    private static final long OVER = 30_000_000;
    /** Each broke a rule or got stuck once; docs/design/work.md says by what. */
    private static final List<Long> FOUND =
            List.of(334L, 341L, 346L, 437L, 676L, 725L, 807L, 866L, 1455L, 1961L, 2155L, 8342L);

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void routersComeToKnowEachOtherAgain(long seed) {
        MembershipSimulation.Outcome came = MembershipSimulation.play(seed, 12, 10, seed % 2 == 0);
        assertEquals(List.of(), came.violations());
    }

    @Test
    void nobodyIsHeldForDeadForALossyLine() {
        MembershipSimulation.Outcome came = MembershipSimulation.play(11, 40, 0, false);
        assertEquals(List.of(), came.violations());
        assertEquals(0, came.falseDeaths());
    }

    @Test
    void theSameSeedIsTheSamePlay() {
        assertEquals(
                MembershipSimulation.play(5, 9, 6, true), MembershipSimulation.play(5, 9, 6, true));
        List<MaintenanceEvent> s = MaintenanceSchedule.of(5, SIZE, 10, 6, OVER);
        assertEquals(
                MaintenanceSimulation.play(5, SIZE, s), MaintenanceSimulation.play(5, SIZE, s));
    }

    @Test
    void workKeepsItsBoundsThroughFaults() {
        Logger.getLogger("io.microraft")
                .setLevel(Level.OFF); // What it says of lost messages is the purpose.
        int finished = LongStream.concat(
                        LongStream.rangeClosed(1, 200), FOUND.stream().mapToLong(s -> s))
                .parallel()
                .mapToInt(seed -> {
                    List<MaintenanceEvent> s = MaintenanceSchedule.of(seed, SIZE, 10, 6, OVER);
                    MaintenanceSimulation.Outcome came = MaintenanceSimulation.play(seed, SIZE, s);
                    assertEquals(List.of(), came.violations(), "seed " + seed + " " + s);
                    return came.finished();
                })
                .sum();
        assertTrue(finished > 500, "finished " + finished);
    }

    @Test
    void aPlantedFaultIsFoundAndMadeSmall() {
        MaintenanceSimulation.Size planted = new MaintenanceSimulation.Size(9, 5, 4, 3, true);
        List<MaintenanceEvent> s = MaintenanceSchedule.of(3, planted, 10, 4, OVER);
        assertFalse(MaintenanceSimulation.play(3, planted, s).violations().isEmpty());
        List<MaintenanceEvent> small = MaintenanceSimulation.shrink(3, planted, s);
        assertTrue(small.size() <= 2, small.toString());
        assertFalse(MaintenanceSimulation.play(3, planted, small).violations().isEmpty());
    }

    /** Fleets whose routers have their states in common play as those whose routers have each its own. */
    @ParameterizedTest
    @ValueSource(longs = {1, 5, 334, 8342})
    void sharedStatesPlayAsOwnOnes(long seed) {
        List<MaintenanceEvent> schedule = MaintenanceSchedule.of(seed, SIZE, 10, 6, OVER);
        assertEquals(
                MaintenanceSimulation.play(seed, SIZE, schedule, false),
                MaintenanceSimulation.play(seed, SIZE, schedule));
    }

    @Test
    void sharedStatesPlayAsOwnOnesInALargerFleet() {
        MaintenanceSimulation.Size size = new MaintenanceSimulation.Size(20, 7, 5, 3, false);
        List<MaintenanceEvent> schedule = MaintenanceSchedule.of(2, size, 10, 6, OVER);
        assertEquals(
                MaintenanceSimulation.play(2, size, schedule, false),
                MaintenanceSimulation.play(2, size, schedule));
    }
}

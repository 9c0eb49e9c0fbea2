package tinlink.experiment.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import tinlink.policy.rollout.AbsencePolicy;

import java.util.List;
import java.util.stream.LongStream;

/** Changes of policy through seeded faults, in simulated time. */
class PolicySimulationTest {
    private static final long OVER = 20_000_000;

    private static PolicySimulation.Outcome play(long seed, PolicySimulation.Size size) {
        return PolicySimulation.play(seed, size, PolicySchedule.of(seed, size, 8, 6, OVER));
    }

    /**
     * Seed 683 once had a router go on by the old policy: it had forgotten one of its own words.
     */
    @ParameterizedTest
    @EnumSource(AbsencePolicy.Rule.class)
    void aChangeTakesHoldEverywhereOrNowhereThroughFaults(AbsencePolicy.Rule rule) {
        PolicySimulation.Size size = new PolicySimulation.Size(7, rule, false);
        int inForce = LongStream.concat(
                        LongStream.rangeClosed(1, 100), LongStream.of(683, 764, 1897))
                .parallel()
                .mapToInt(seed -> {
                    PolicySimulation.Outcome came = play(seed, size);
                    assertEquals(List.of(), came.violations(), "seed " + seed);
                    return came.inForce();
                })
                .sum();
        assertTrue(inForce > 500, "in force " + inForce);
    }

    @Test
    void theSameSeedIsTheSamePlayAndAPlantedFaultIsFoundAndMadeSmall() {
        PolicySimulation.Size size = new PolicySimulation.Size(5, AbsencePolicy.Rule.FENCE, false);
        assertEquals(play(4, size), play(4, size));
        PolicySimulation.Size planted =
                new PolicySimulation.Size(5, AbsencePolicy.Rule.FENCE, true);
        List<PolicyEvent> s = PolicySchedule.of(4, planted, 8, 6, OVER);
        assertFalse(PolicySimulation.play(4, planted, s).violations().isEmpty());
        assertEquals(1, PolicySimulation.shrink(4, planted, s).size(), "one change is enough");
    }
}

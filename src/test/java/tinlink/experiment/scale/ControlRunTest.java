package tinlink.experiment.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import static tinlink.experiment.scale.ControlUse.Role.LEADER;
import static tinlink.experiment.scale.ControlUse.Role.ROUTER;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/** The short form of {@code make lab-scale}: bounds on counts of messages, bytes and state, none on times. */
@Timeout(120)
class ControlRunTest {
    private static final int ROUTERS = 14;
    private static final int NODES = 8;

    @Test
    void whatControlCostsStaysWithinItsCounts() throws Exception {
        ControlPlan plan = new ControlPlan(1, ROUTERS, 3, 1, 1, 10, NODES);
        ControlResult result = ControlRun.run(plan, new ControlRun.Effort(1, 1500, 2, 0, 1, false));
        assertEquals(0, result.lost, "changes that were not settled");
        assertEquals(0, result.mixed, "routers that took lookups by an older policy");
        // One connection a direction with each other router at the most.
        assertAtMost(2 * ROUTERS, result.idle, ROUTER, ControlUse::connections, "connections");
        assertAtMost(80, result.idle, ROUTER, u -> u.messages() / u.seconds(), "messages a second");
        assertAtMost(10_000, result.idle, ROUTER, u -> u.bytes() / u.seconds(), "bytes a second");
        assertAtMost(
                100 * ROUTERS,
                result.idle,
                LEADER,
                u -> u.messages() / u.seconds(),
                "at the leader");
        assertAtMost(20_000, result.changes, ROUTER, ControlUse::bytes, "bytes a change");
        assertTrue(
                result.routerMb > 0 && result.routerMb <= 24,
                "heap of a router, MB: " + result.routerMb);
        assertTrue(
                result.fetchedBytes.getMaxValue() <= 100_000, "bytes fetched by one that was away");
    }

    private static void assertAtMost(
            double most,
            List<Map<String, ControlUse>> windows,
            ControlUse.Role role,
            ToDoubleFunction<ControlUse> cost,
            String what) {
        List<Double> values = ControlResult.costliest(windows, role, cost);
        assertFalse(values.isEmpty(), what + ": nothing was measured");
        assertTrue(ControlResult.most(values) <= most, what + ": " + values + ", at most " + most);
    }
}

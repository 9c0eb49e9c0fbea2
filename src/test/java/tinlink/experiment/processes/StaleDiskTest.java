package tinlink.experiment.processes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** A voter that comes back with a copy of its disk from before, or with none, never votes by it. */
@Timeout(120)
class StaleDiskTest {
    private static boolean votes(RouterProcess c) {
        try {
            return c.output().contains("event=voter_started");
        } catch (java.io.IOException e) {
            return false;
        }
    }

    @Test
    void aVoterWithAnOldDiskOrNoneIsFoundOutAndTheOthersGoOn() throws Exception {
        try (Fleet fleet = new Fleet(new Fleet.Plan(
                5,
                5,
                2,
                3,
                3,
                "holders: 2, zone_share: 0.3, " + "site_share: 0.3, warm_ms: 200, begin_ms: 1000",
                5))) {
            fleet.startAll();
            fleet.awaitAgreed(30_000);
            RouterProcess leader = fleet.leader();
            RouterProcess c = fleet.routers.values().stream()
                    .filter(x -> x != leader)
                    .findFirst()
                    .orElseThrow();
            Path before = c.copyDisk();
            for (String id : List.of("a", "b", "c")) {
                assertEquals(
                        200,
                        Fleet.send(
                                        leader,
                                        Map.of(
                                                "do",
                                                "ask",
                                                "id",
                                                id,
                                                "machines",
                                                List.of("nobody"),
                                                "for_ms",
                                                1000))
                                .status());
            }
            Fleet.await(
                    10_000,
                    "it has heard of them",
                    () -> Fleet.send(c, Map.of("do", "list"))
                                    .body()
                                    .path("requests")
                                    .size()
                            == 3);
            c.kill();
            c.disk(before);
            fleet.start(c);
            Fleet.await(
                    20_000,
                    "it is found out",
                    () -> Fleet.send(c, Map.of("do", "router"))
                            .body()
                            .path("old_disk")
                            .asBoolean());
            assertFalse(c.output().contains("event=voter_started"), c.output());
            assertEquals(
                    200,
                    Fleet.send(
                                    leader,
                                    Map.of(
                                            "do",
                                            "ask",
                                            "id",
                                            "d",
                                            "machines",
                                            List.of("nobody"),
                                            "for_ms",
                                            1000))
                            .status());
            RouterProcess none = fleet.routers.values().stream()
                    .filter(x -> x != leader && x != c)
                    .findFirst()
                    .orElseThrow();
            none.kill();
            none.disk(null);
            fleet.start(none);
            Fleet.await(
                    20_000,
                    "it is found out",
                    () -> Fleet.send(none, Map.of("do", "router"))
                            .body()
                            .path("old_disk")
                            .asBoolean());
            assertFalse(none.output().contains("event=voter_started"), none.output());
            assertNotEquals(null, fleet.leader());
            assertEquals(
                    200,
                    Fleet.send(
                                    fleet.leader(),
                                    Map.of(
                                            "do",
                                            "ask",
                                            "id",
                                            "e",
                                            "machines",
                                            List.of("nobody"),
                                            "for_ms",
                                            1000))
                            .status());
            // Started once more it is a later life, and gets the seat of its lost disk with the new
            // one.
            none.stop(10_000);
            fleet.start(none);
            Fleet.await(20_000, "it votes with its new disk", () -> votes(none));
            assertTrue(
                    none.output()
                            .matches("(?s).*event=voter_started router=" + none.name + " .*voter="
                                    + none.name + "/[0-9a-f]{8,}.*"),
                    none.output());
            // The other one gets an empty folder, and is found out with it as well before it votes
            // by it.
            c.stop(10_000);
            c.disk(null);
            fleet.start(c);
            Fleet.await(
                    20_000,
                    "it is found out",
                    () -> Fleet.send(c, Map.of("do", "router"))
                            .body()
                            .path("old_disk")
                            .asBoolean());
            c.stop(10_000);
            fleet.start(c);
            Fleet.await(20_000, "it votes with its new disk", () -> votes(c));
            fleet.awaitAgreed(30_000);
            Fleet.await(
                    20_000,
                    "what was agreed is with all",
                    () -> fleet.running().stream()
                            .allMatch(x -> Fleet.send(x, Map.of("do", "list"))
                                            .body()
                                            .path("requests")
                                            .size()
                                    == 5));
        }
        assertEquals(0, RouterProcess.running());
    }
}

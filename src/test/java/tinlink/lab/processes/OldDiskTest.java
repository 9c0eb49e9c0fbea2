package tinlink.lab.processes;

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
class OldDiskTest {
    private static boolean votes(Child c) {
        try {
            return c.said().contains("event=voter_started");
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
            Child leader = fleet.leader();
            Child c = fleet.routers.values().stream()
                    .filter(x -> x != leader)
                    .findFirst()
                    .orElseThrow();
            Path before = c.copyDisk();
            for (String id : List.of("a", "b", "c")) {
                assertEquals(
                        200,
                        Fleet.say(
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
            Fleet.until(
                    10_000,
                    "it has heard of them",
                    () -> Fleet.say(c, Map.of("do", "list"))
                                    .body()
                                    .path("requests")
                                    .size()
                            == 3);
            c.kill();
            c.disk(before);
            fleet.start(c);
            Fleet.until(
                    20_000,
                    "it is found out",
                    () -> Fleet.say(c, Map.of("do", "router"))
                            .body()
                            .path("old_disk")
                            .asBoolean());
            assertFalse(c.said().contains("event=voter_started"), c.said());
            assertEquals(
                    200,
                    Fleet.say(
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
            Child none = fleet.routers.values().stream()
                    .filter(x -> x != leader && x != c)
                    .findFirst()
                    .orElseThrow();
            none.kill();
            none.disk(null);
            fleet.start(none);
            Fleet.until(
                    20_000,
                    "it is found out",
                    () -> Fleet.say(none, Map.of("do", "router"))
                            .body()
                            .path("old_disk")
                            .asBoolean());
            assertFalse(none.said().contains("event=voter_started"), none.said());
            assertNotEquals(null, fleet.leader());
            assertEquals(
                    200,
                    Fleet.say(
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
            Fleet.until(20_000, "it votes with its new disk", () -> votes(none));
            assertTrue(
                    none.said()
                            .matches("(?s).*event=voter_started router=" + none.name + " .*as=" + none.name
                                    + "/[0-9a-f]{8,}.*"),
                    none.said());
            // The other one gets an empty folder, and is found out with it as well before it votes
            // by it.
            c.stop(10_000);
            c.disk(null);
            fleet.start(c);
            Fleet.until(
                    20_000,
                    "it is found out",
                    () -> Fleet.say(c, Map.of("do", "router"))
                            .body()
                            .path("old_disk")
                            .asBoolean());
            c.stop(10_000);
            fleet.start(c);
            Fleet.until(20_000, "it votes with its new disk", () -> votes(c));
            fleet.awaitAgreed(30_000);
            Fleet.until(
                    20_000,
                    "what was agreed is with all",
                    () -> fleet.up().stream()
                            .allMatch(x -> Fleet.say(x, Map.of("do", "list"))
                                            .body()
                                            .path("requests")
                                            .size()
                                    == 5));
        }
        assertEquals(0, Child.running());
    }
}

package tinlink.experiment.processes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import tinlink.emulator.EmulatedClient;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Changes of policy with routers in processes of their own. Which policy a lookup was taken by is
 * seen from the time that its part calls give the data node, never from a router's word.
 */
@Timeout(120)
class PolicyProcessesTest {
    private static final long PATIENCE_MS = 30_000;
    private static Fleet fleet;
    private static int asked;

    @BeforeAll
    static void start() throws IOException, InterruptedException {
        fleet = new Fleet(new Fleet.Plan(
                5, 5, 2, 3, 3, "holders: 2, zone_share: 0.3, site_share: 0.3", true, 7));
        fleet.startAll();
    }

    @AfterAll
    static void end() throws IOException {
        fleet.close();
        assertEquals(0, RouterProcess.running(), "processes left behind");
    }

    @BeforeEach
    void atRest() throws IOException, InterruptedException {
        fleet.healAll();
        for (RouterProcess c : fleet.routers.values()) {
            c.resume();
        }
        fleet.startAll();
        fleet.awaitAgreed(PATIENCE_MS);
        // Back to a policy that asks nothing of the majority, whatever the case before has left.
        String id = "rest" + asked++;
        settle(
                id,
                "{indexes: {}, absent: {rule: 'withdraw', wait_ms: 3000, hold_ms: 500}}",
                "in force");
        hasCome();
    }

    /** All that run take lookups by the newest that any of them has heard of. */
    private static void hasCome() throws InterruptedException {
        Fleet.await(PATIENCE_MS, "its time has come in all", () -> {
            int newest = fleet.running().stream()
                    .mapToInt(c -> show(c).path("in_force").path("epoch").asInt())
                    .max()
                    .orElse(0);
            return fleet.running().stream()
                    .allMatch(c ->
                            epoch(c) == newest && show(c).path("why").asText().isEmpty());
        });
    }

    private static RouterProcess router(int n) {
        return fleet.routers.get("r" + n);
    }

    private static JsonNode show(RouterProcess c) {
        return Fleet.send(c, Map.of("do", "policy-show")).body();
    }

    private static int epoch(RouterProcess c) {
        return show(c).path("epoch").asInt(-1);
    }

    private static Fleet.ControlResponse propose(
            RouterProcess at, String id, String text, int against) {
        return Fleet.send(
                at, Map.of("do", "policy-propose", "id", id, "text", text, "against", against));
    }

    private static String state(RouterProcess c, String id) {
        return Fleet.send(c, Map.of("do", "policy-status", "id", id))
                .body()
                .path("change")
                .path("state")
                .asText();
    }

    /** Says it again and again, here and there, under one id, until it is settled. */
    private static void settle(String id, String text, String how) throws InterruptedException {
        int against = fleet.running().stream()
                .mapToInt(c -> show(c).path("in_force").path("epoch").asInt())
                .max()
                .orElse(0);
        int[] n = new int[1];
        Fleet.await(PATIENCE_MS, id + " is " + how, () -> {
            List<RouterProcess> up = List.copyOf(fleet.running());
            RouterProcess c = up.get(n[0]++ % up.size());
            String s = state(c, id);
            if (s.isEmpty()) {
                propose(c, id, text, against);
            }
            if (!s.isEmpty() && !s.equals("not settled") && !s.equals(how)) {
                throw new AssertionError(id + " is " + s + " "
                        + Fleet.send(c, Map.of("do", "policy-status", "id", id)).body());
            }
            return s.equals(how);
        });
    }

    private static CompletableFuture<EmulatedClient.LookupResponse> ask(
            RouterProcess c, String id) {
        CompletableFuture<EmulatedClient.LookupResponse> f = new CompletableFuture<>();
        fleet.clientGroups
                .get(c.name)
                .sendHere(
                        new EmulatedClient.LookupRequest(id, "find", 1400, List.of(0), "t", null),
                        f::complete);
        return f;
    }

    /** The time that a lookup at that router gives its data node; -1 where it was not taken. */
    private static long wait(RouterProcess c) throws Exception {
        String id = "l" + asked++;
        EmulatedClient.LookupResponse response = ask(c, id).get(10, TimeUnit.SECONDS);
        if (response.status() != 200) {
            assertEquals(503, response.status(), response.body());
            assertTrue(response.body().contains("no lookups are taken"), response.body());
            return -1;
        }
        return fleet.emulatorLoop.call(() -> fleet.runLog.timeoutMsOf(id + ".0"));
    }

    /** With nothing gained by late answers a call has the soft deadline's time. */
    private static String policy(int softMs, String absent) {
        return "{indexes: {find: {soft_ms: " + softMs + ", late_gain: 0}}, absent: {" + absent
                + ", hold_ms: 500, clock_error_ms: 20}}";
    }

    @Test
    void aChangeTakesHoldInAllAndAskedAgainAnywhereItIsOneChange() throws Exception {
        long before = wait(router(1));
        settle("short", policy(300, "rule: 'withdraw', wait_ms: 5000"), "in force");
        Set<String> told = new HashSet<>();
        for (RouterProcess c : fleet.routers.values()) {
            Fleet.await(PATIENCE_MS, c.name + " knows", () -> state(c, "short").equals("in force"));
            JsonNode s = Fleet.send(c, Map.of("do", "policy-status", "id", "short"))
                    .body()
                    .path("change");
            told.add(s.path("epoch") + " at " + s.path("at_us"));
        }
        assertEquals(1, told.size(), "one outcome: " + told);
        hasCome();
        for (RouterProcess c : fleet.routers.values()) {
            long now = wait(c);
            assertTrue(
                    now > 0 && now < before && now <= 300,
                    c.name + " gives " + now + " ms, before " + before);
        }
        int epoch = epoch(router(3));
        assertEquals(
                "",
                propose(
                                router(4),
                                "short",
                                policy(300, "rule: 'withdraw', wait_ms: 5000"),
                                epoch - 1)
                        .message());
        assertEquals(epoch, epoch(router(3)));
        assertTrue(propose(router(2), "late", policy(200, "rule: 'withdraw'"), epoch - 1)
                .message()
                .contains("is written against epoch"));
    }

    @Test
    void whatOneMachineCanNotUseIsWithdrawnEverywhereNamingIt() throws Exception {
        int epoch = epoch(router(0));
        settle(
                "large",
                "{open_cap: 1500, absent: {rule: 'withdraw', wait_ms: 5000, hold_ms: 500}}",
                "withdrawn");
        for (RouterProcess c : fleet.routers.values()) {
            Fleet.await(
                    PATIENCE_MS, c.name + " knows", () -> state(c, "large").equals("withdrawn"));
            String why = Fleet.send(c, Map.of("do", "policy-status", "id", "large"))
                    .body()
                    .path("change")
                    .path("why")
                    .asText();
            assertTrue(why.contains("r4") && why.contains("open_cap"), why);
            assertEquals(epoch, epoch(c));
        }
        assertEquals(
                400,
                propose(router(0), "bad", "{absent: {rule: 'perhaps'}}", epoch).status());
    }

    @Test
    void withARouterDownItIsWithdrawnOrTakesHoldWithoutItAsIsChosen() throws Exception {
        RouterProcess down = router(4);
        settle("fenced", policy(1200, "rule: 'fence', wait_ms: 10000, lease_ms: 1000"), "in force");
        down.kill();
        settle("without", policy(250, "rule: 'fence', wait_ms: 10000, lease_ms: 1000"), "in force");
        hasCome();
        fleet.start(down);
        // From its first breath on: it takes none, or by the new one.
        List<Long> waits = new ArrayList<>();
        Fleet.await(PATIENCE_MS, "it takes lookups", () -> {
            try {
                waits.add(wait(down));
                return waits.get(waits.size() - 1) >= 0;
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        assertTrue(waits.get(waits.size() - 1) <= 250, waits.toString());
        settle("patient", policy(1100, "rule: 'withdraw', wait_ms: 800"), "in force");
        down.kill();
        settle("hasty", policy(1000, "rule: 'withdraw', wait_ms: 800"), "withdrawn");
    }

    @Test
    void aRouterThatWakesPastTheInstantTakesNothingByTheOldOne() throws Exception {
        settle("fences", policy(1300, "rule: 'fence', wait_ms: 10000, lease_ms: 1000"), "in force");
        RouterProcess c = router(3);
        hasCome();
        assertTrue(wait(c) > 250);
        c.pause();
        settle("newer", policy(200, "rule: 'fence', wait_ms: 10000, lease_ms: 1000"), "in force");
        hasCome();
        List<CompletableFuture<EmulatedClient.LookupResponse>> unread = new ArrayList<>();
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            ids.add("unread" + asked++);
            unread.add(ask(c, ids.get(i))); // In its sockets before it wakes.
        }
        c.resume();
        for (int i = 0; i < 10; i++) {
            EmulatedClient.LookupResponse response = unread.get(i).get(10, TimeUnit.SECONDS);
            String part = ids.get(i) + ".0";
            long w = fleet.emulatorLoop.call(() -> fleet.runLog.timeoutMsOf(part));
            assertTrue(w <= 200, "taken by the old one: " + w + " ms, " + response);
        }
        hasCome();
        assertTrue(wait(c) <= 200);
    }

    @Test
    void theLeaderIsKilledWhileAChangeIsOpenAndItEndsAllTheSame() throws Exception {
        RouterProcess leader = fleet.leader();
        RouterProcess other = fleet.routers.values().stream()
                .filter(c -> c != leader)
                .findFirst()
                .orElseThrow();
        propose(other, "orphan", policy(700, "rule: 'wait', wait_ms: 60000"), epoch(other));
        leader.kill();
        Fleet.await(
                PATIENCE_MS,
                "another leads",
                () -> fleet.leader() != null && fleet.leader() != leader);
        fleet.start(leader);
        settle("orphan", policy(700, "rule: 'wait', wait_ms: 60000"), "in force");
        for (RouterProcess c : fleet.routers.values()) {
            Fleet.await(
                    PATIENCE_MS, c.name + " knows", () -> state(c, "orphan").equals("in force"));
        }
    }

    @Test
    void withTheMajorityGoneServingGoesOnOrStopsAsIsChosen() throws Exception {
        List<RouterProcess> gone = List.of(router(0), router(1), router(2));
        for (RouterProcess c : gone) {
            c.kill();
        }
        Thread.sleep(1500);
        assertTrue(wait(router(3)) > 0, "no lease is asked for");
        assertEquals(
                503,
                propose(router(3), "none", policy(500, "rule: 'withdraw'"), 0).status());
        fleet.startAll();
        fleet.awaitAgreed(PATIENCE_MS);
        settle("strict", policy(800, "rule: 'fence', wait_ms: 10000, lease_ms: 1000"), "in force");
        hasCome();
        for (RouterProcess c : gone) {
            c.kill();
        }
        Fleet.await(
                PATIENCE_MS,
                "its lease has run out",
                () -> show(router(3)).path("why").asText().contains("has not heard of a majority"));
        assertEquals(-1, wait(router(3)));
        fleet.startAll();
        Fleet.await(
                PATIENCE_MS,
                "it serves again",
                () -> show(router(3)).path("why").asText().isEmpty());
        assertFalse(wait(router(3)) < 0);
    }
}

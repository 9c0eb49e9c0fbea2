package tinlink.experiment.processes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import tinlink.cli.Commands;
import tinlink.emulator.EmulatedFleet;
import tinlink.emulator.EmulatedNode;
import tinlink.experiment.LoadGenerator;
import tinlink.experiment.LookupRules;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Work on machines with routers in processes of their own: the hard cases, each caused on purpose.
 * One fleet serves all of them; before each the whole fleet has to be at rest.
 */
@Timeout(120)
class MaintenanceProcessesTest {
    private static final long PATIENCE_MS = 30_000;
    private static Fleet fleet;
    private static int asked;

    @BeforeAll
    static void start() throws IOException, InterruptedException {
        fleet = new Fleet(new Fleet.Plan(
                6,
                5,
                4,
                3,
                3,
                "holders: 2, zone_share: 0.5, site_share: 0.5, "
                        + "warm_ms: 200, begin_ms: 1000, aging_ms: 5000, most: 5000, kept: 5000",
                11));
        fleet.startAll();
    }

    @AfterAll
    static void end() throws IOException {
        fleet.close();
        assertEquals(0, RouterProcess.running(), "processes left behind");
    }

    /** All routers run and know each other, all machines are sound and here, no work is in hand. */
    @BeforeEach
    void atRest() throws IOException, InterruptedException {
        fleet.healAll();
        for (RouterProcess c : fleet.routers.values()) {
            c.resume();
        }
        fleet.emulated.nodes.forEach((id, n) -> {
            n.restart();
            fleet.emulated.publish(id, "in_service");
        });
        fleet.startAll();
        fleet.awaitAgreed(PATIENCE_MS);
        for (var r : Fleet.send(router(0), Map.of("do", "list")).body().path("requests")) {
            if (!r.path("over").asBoolean()) { // Left by a case that failed.
                Fleet.send(
                        router(0), Map.of("do", "call-off", "id", r.path("id").asText()));
                Fleet.send(router(0), Map.of("do", "done", "id", r.path("id").asText()));
            }
        }
        Fleet.await(PATIENCE_MS, "all machines sound and here", () -> {
            for (RouterProcess c : fleet.routers.values()) {
                var all = Fleet.send(c, Map.of("do", "machines")).body().path("machines");
                int well = 0;
                for (var m : all) {
                    well += m.path("sound").asBoolean()
                                    && m.path("away").asText().isEmpty()
                            ? 1
                            : 0;
                }
                if (well != 18) {
                    return false;
                }
            }
            return true;
        });
    }

    private static RouterProcess router(int n) {
        return fleet.routers.get("r" + n);
    }

    private static Fleet.ControlResponse ask(
            RouterProcess at, String id, List<String> machines, long forMs)
            throws InterruptedException {
        Fleet.ControlResponse t = new Fleet.ControlResponse(0, null);
        for (int i = 0; i < 50 && t.status() != 200; i++) {
            t = Fleet.send(
                    at, Map.of("do", "ask", "id", id, "machines", machines, "for_ms", forMs));
            Thread.sleep(t.status() == 200 ? 0 : 200);
        }
        assertEquals(200, t.status(), id);
        return t;
    }

    private static String ask(String... machines) throws InterruptedException {
        String id = "w" + asked++;
        assertEquals("", ask(router(0), id, List.of(machines), 60_000).message());
        return id;
    }

    private static void is(RouterProcess at, String id, String machine, String... states)
            throws InterruptedException {
        try {
            Fleet.await(
                    PATIENCE_MS, "", () -> List.of(states).contains(Fleet.state(at, id, machine)));
        } catch (IllegalStateException e) {
            throw new AssertionError(
                    machine + " of " + id + " is not " + String.join(" or ", states) + ": "
                            + Fleet.send(at, Map.of("do", "show", "id", id)).body(),
                    e);
        }
    }

    private static String why(RouterProcess at, String id) {
        return Fleet.send(at, Map.of("do", "show", "id", id))
                .body()
                .path("request")
                .path("machines")
                .path(0)
                .path("why")
                .asText();
    }

    private static void whySays(RouterProcess at, String id, String words)
            throws InterruptedException {
        Fleet.await(
                PATIENCE_MS, words + ", not: " + why(at, id), () -> why(at, id).contains(words));
    }

    private static long fence(String id) {
        return Fleet.send(router(0), Map.of("do", "show", "id", id))
                .body()
                .path("request")
                .path("machines")
                .path(0)
                .path("fence")
                .asLong();
    }

    /** Says it until it is known to be agreed. */
    private static void say(RouterProcess at, Map<String, ?> what) throws InterruptedException {
        Fleet.await(PATIENCE_MS, what + " is agreed", () -> Fleet.send(at, what).status() == 200);
    }

    private static void done(String id) throws InterruptedException {
        say(fleet.running().iterator().next(), Map.of("do", "done", "id", id));
    }

    @Test
    void aNodeGoesAndComesBackUnderLoadAndNothingIsSentToItWhileItIsOut() throws Exception {
        LoadGenerator load = new LoadGenerator(fleet.emulatorLoop, fleet.clientGroups.values());
        load.run(
                new SplittableRandom(1),
                "load",
                4,
                20,
                List.of(
                        new LoadGenerator.LookupKind("find", false, false, 0, 0.3),
                        new LoadGenerator.LookupKind("pay", true, false, 1_500_000, 1),
                        new LoadGenerator.LookupKind("once", false, true, 0, 1)),
                0,
                ClientGroup.BUDGET_MS);
        SimulatedOperators ops = new SimulatedOperators(fleet, 2);
        ops.submit("n-load", List.of("n0-0"), 500, 5);
        ops.submit("r-load", List.of("r5"), 500, 5);
        ops.await(PATIENCE_MS);
        load.await(PATIENCE_MS);
        ops.end();
        assertEquals(Map.of("n-load/n0-0", "back", "r-load/r5", "back"), ops.ended());
        assertEquals(List.of(), List.copyOf(ops.staleActs));
        assertEquals(List.of(), List.copyOf(ops.faults));
        LookupRules rules = new LookupRules();
        List<LoadGenerator.LookupRecord> all = load.records(a -> true);
        fleet.emulatorLoop.run(() -> rules.check(all, fleet.runLog));
        // How fast is not judged here: the machine may be busy with something else.
        assertEquals(List.of(), rules.lost);
        assertEquals(List.of(), rules.repeated);
        assertEquals(List.of(), rules.dishonest);
        assertTrue(all.stream().filter(LoadGenerator.LookupRecord::isSatisfied).count()
                > all.size() / 2);
    }

    @SuppressWarnings("FutureReturnValueIgnored") // What the routers hold is asserted below.
    @Test
    void twoRequestsForBothHoldersInOneInstantAtTwoRoutersGoOneAfterTheOther() throws Exception {
        ExecutorService two = Executors.newFixedThreadPool(2);
        two.submit(() -> ask(router(0), "both-a", List.of("n1-0"), 60_000));
        two.submit(() -> ask(router(5), "both-b", List.of("n1-1"), 60_000));
        two.shutdown();
        assertTrue(two.awaitTermination(PATIENCE_MS, TimeUnit.MILLISECONDS));
        is(router(2), "both-a", "n1-0", "out", "waiting");
        is(router(2), "both-b", "n1-1", "out", "waiting");
        Fleet.await(
                PATIENCE_MS,
                "one is out",
                () -> Fleet.state(router(2), "both-a", "n1-0").equals("out")
                        || Fleet.state(router(2), "both-b", "n1-1").equals("out"));
        boolean first = Fleet.state(router(2), "both-a", "n1-0").equals("out");
        String waits = first ? "both-b" : "both-a";
        whySays(router(3), waits, "block 1");
        done(first ? "both-a" : "both-b");
        is(router(4), waits, first ? "n1-1" : "n1-0", "out");
        done(waits);
        is(router(4), waits, first ? "n1-1" : "n1-0", "back");
    }

    @Test
    void askedTwiceItIsOneRequestAndAnotherOfThatIdIsRefused() throws Exception {
        ask(router(0), "twice", List.of("n2-0"), 60_000);
        is(router(0), "twice", "n2-0", "out");
        assertEquals("", ask(router(1), "twice", List.of("n2-0"), 60_000).message());
        assertEquals("out", Fleet.state(router(1), "twice", "n2-0"));
        done("twice");
        is(router(0), "twice", "n2-0", "back");
        assertEquals("back", Fleet.state(router(0), "twice", "n2-0"));
    }

    @Test
    void whatCanNeverBeGrantedIsRefusedAtOnceNamingTheBoundAndWrongTokensHearNothing()
            throws Exception {
        String id = ask("no-such-machine");
        is(router(0), id, "no-such-machine", "refused");
        assertEquals("no machine has that name", why(router(0), id));
        Fleet.ControlResponse t =
                Fleet.send(router(0), "wrong-token-of-somebody", Map.of("do", "list"));
        assertEquals(401, t.status());
        assertTrue(t.body().path("requests").isMissingNode());
        assertEquals(400, Fleet.send(router(0), Map.of("do", "dance")).status());
    }

    @Test
    void theLeaderIsKilledAsItGrantsAndTheGrantStands() throws Exception {
        RouterProcess leader = fleet.leader();
        RouterProcess other =
                fleet.running().stream().filter(c -> c != leader).findFirst().orElseThrow();
        String id = ask("n0-1");
        fleet.clientGroups.get(leader.name).routerLost();
        leader.kill();
        is(other, id, "n0-1", "draining", "out");
        whySays(other, id, leader.name); // It may have something open there: nobody but it can say.
        fleet.start(leader);
        is(other, id, "n0-1", "out");
        done(id);
        is(other, id, "n0-1", "back");
    }

    @Test
    void aRouterThatIsGrantedDiesAndDrainsAnewOnlyByItsNewLife() throws Exception {
        RouterProcess c = router(5);
        String id = ask("r5");
        is(router(0), id, "r5", "granted", "draining", "out");
        c.kill();
        fleet.start(c);
        is(router(0), id, "r5", "out");
        // Killed while it is out: given back all the same, it counts only after it has served
        // again.
        c.kill();
        done(id);
        is(router(0), id, "r5", "returning");
        Thread.sleep(1000);
        assertEquals("returning", Fleet.state(router(0), id, "r5"));
        fleet.start(c);
        is(router(0), id, "r5", "back");
    }

    @Test
    void aSecondHolderFailsWhileTheFirstIsOutAndAllFurtherGrantsPause() throws Exception {
        String id = ask("n3-0");
        is(router(0), id, "n3-0", "out");
        fleet.emulated.nodes.get("n3-1").kill();
        Fleet.await(PATIENCE_MS, "its failure is seen", () -> {
            for (var m : Fleet.send(router(0), Map.of("do", "machines")).body().path("machines")) {
                if (m.path("id").asText().equals("n3-1")) {
                    return !m.path("sound").asBoolean();
                }
            }
            return false;
        });
        String next = ask("n0-2");
        whySays(router(4), next, "nothing is granted while block 3");
        fleet.emulated.nodes.get("n3-1").restart();
        is(router(4), next, "n0-2", "out");
        done(id);
        done(next);
        is(router(0), id, "n3-0", "back");
        is(router(0), next, "n0-2", "back");
    }

    @Test
    void theCutBetweenSitesFallsBetweenGrantAndDrain() throws Exception {
        RouterProcess leader = fleet.leader();
        boolean north = fleet.site(fleet.zoneOf(leader)).equals("s0");
        RouterProcess far = fleet.routers.values().stream()
                .filter(c -> fleet.site(fleet.zoneOf(c)).equals("s0") != north)
                .findFirst()
                .orElseThrow();
        fleet.isolate(c -> fleet.site(fleet.zoneOf(c)).equals("s0"));
        String id = "cut" + asked++;
        RouterProcess near = fleet.routers.values().stream()
                .filter(c -> fleet.site(fleet.zoneOf(c)).equals("s0"))
                .findFirst()
                .orElseThrow();
        ask(near, id, List.of("n2-1"), 60_000); // Three of five voters are here: it may be granted.
        is(near, id, "n2-1", "draining", "waiting");
        Thread.sleep(1000);
        assertNotEquals("out", Fleet.state(near, id, "n2-1"), "the other site may send there yet");
        fleet.healAll();
        is(far, id, "n2-1", "out");
        done(id);
        is(far, id, "n2-1", "back");
    }

    @Test
    void aRouterThatHearsButIsNotHeardHoldsUpWhatItMaySendTo() throws Exception {
        RouterProcess leader = fleet.leader();
        RouterProcess mute = router(5);
        for (RouterProcess c : fleet.routers.values()) {
            if (c != mute) {
                fleet.cut(mute.name, c.name);
            }
        }
        String id = "mute" + asked++;
        ask(leader, id, List.of("n1-2"), 60_000);
        whySays(leader, id, "r5");
        fleet.healAll();
        is(leader, id, "n1-2", "out");
        done(id);
        is(leader, id, "n1-2", "back");
    }

    @Test
    void aRouterPausedPastTheEndOfItsGrantDoesNothingByItAsItWakes() throws Exception {
        RouterProcess c = router(5);
        c.pause();
        String id = ask("r5");
        // A grant of it ends a second after it was made, and the next one has another number.
        long first = fence(id);
        Fleet.await(PATIENCE_MS, "another grant", () -> fence(id) > Math.max(1, first));
        say(router(0), Map.of("do", "call-off", "id", id));
        is(router(0), id, "r5", "called off");
        c.resume();
        fleet.awaitAgreed(PATIENCE_MS);
        Thread.sleep(500);
        assertTrue(ready(c), "it lets its clients go by a grant that is over");
    }

    /** What clients that look are told. */
    private static boolean ready(RouterProcess c) throws IOException {
        var h = (java.net.HttpURLConnection)
                new java.net.URL("http://127.0.0.1:" + c.clientAddress().getPort() + "/-/ready")
                        .openConnection();
        h.setConnectTimeout(1000);
        return h.getResponseCode() == 200;
    }

    @Test
    void calledOffInTheInstantOfItsGrantARouterServesOn() throws Exception {
        String id = ask("r4");
        say(router(0), Map.of("do", "call-off", "id", id));
        is(router(0), id, "r4", "called off", "out");
        if (Fleet.state(router(0), id, "r4").equals("out")) {
            done(id); // It was faster: out is out, and it has to be given back.
            is(router(0), id, "r4", "back");
        }
        Fleet.await(PATIENCE_MS, "its door is open", () -> {
            try {
                return ready(router(4));
            } catch (IOException e) {
                return false;
            }
        });
    }

    @Test
    void allRoutersAreKilledInTheMiddleAndWhatWasAgreedStands() throws Exception {
        String out = ask("n2-2");
        is(router(0), out, "n2-2", "out");
        for (RouterProcess c : fleet.routers.values()) {
            c.kill();
        }
        fleet.startAll();
        fleet.awaitAgreed(PATIENCE_MS);
        is(router(5), out, "n2-2", "out");
        String other = ask("n2-0");
        whySays(router(1), other, "block 2");
        done(out);
        is(router(1), out, "n2-2", "back");
        is(router(1), other, "n2-0", "out");
        done(other);
        is(router(1), other, "n2-0", "back");
    }

    @Test
    void withTheMajorityLostNothingIsGrantedAndServingGoesOn() throws Exception {
        String out = ask("n0-0");
        is(router(0), out, "n0-0", "out");
        List<RouterProcess> lost = List.of(router(0), router(1), router(2));
        for (RouterProcess c : lost) {
            fleet.clientGroups.get(c.name).routerLost();
            c.kill();
        }
        RouterProcess left = router(4);
        Fleet.await(
                PATIENCE_MS,
                "it says that nobody leads",
                () -> Fleet.send(left, Map.of("do", "list")).body().has("note"));
        Fleet.ControlResponse t = Fleet.send(
                left,
                Map.of("do", "ask", "id", "none", "machines", List.of("n1-0"), "for_ms", 1000));
        assertEquals(503, t.status());
        assertTrue(t.message().contains("not known to be agreed"), t.message());
        LoadGenerator load = new LoadGenerator(
                fleet.emulatorLoop,
                List.of(fleet.clientGroups.get("r4"), fleet.clientGroups.get("r5")));
        load.run(
                new SplittableRandom(3),
                "alone",
                1,
                30,
                List.of(new LoadGenerator.LookupKind("find", false, false, 0, 0.3)),
                0,
                ClientGroup.BUDGET_MS);
        load.await(PATIENCE_MS);
        List<LoadGenerator.LookupRecord> all = load.records(a -> true);
        assertTrue(
                all.stream().allMatch(LoadGenerator.LookupRecord::isSatisfied),
                "served while nobody agrees");
        fleet.emulatorLoop.run(() -> all.forEach(a -> a.ask.shards()
                .forEach(s -> fleet.runLog
                        .runsOf(a.ask.id() + "." + s)
                        .forEach(r -> assertNotEquals("n0-0", r.node(), "it is out")))));
        fleet.startAll();
        fleet.awaitAgreed(PATIENCE_MS);
        done(out);
        is(left, out, "n0-0", "back");
    }

    @Test
    void listsThatDifferTakeNoMachineOutOfCount() throws Exception {
        EmulatedFleet around = fleet.emulated;
        List<EmulatedFleet.RouterView> some = around.views().subList(0, 2);
        some.forEach(v -> v.publish("n3-2", "terminated"));
        Thread.sleep(1500);
        String id = ask("n3-2");
        is(router(4), id, "n3-2", "out");
        some.forEach(v -> v.publish("n3-2", "in_service"));
        done(id);
        is(router(4), id, "n3-2", "back");
    }

    @Test
    void aMachineThatNeverComesBackIsGivenUpByItsOperatorAlone() throws Exception {
        String id = "lost" + asked++;
        ask(router(0), id, List.of("n1-0"), 300);
        is(router(0), id, "n1-0", "overdue");
        assertTrue(why(router(0), id).contains("longer than was asked"), why(router(0), id));
        EmulatedNode n = fleet.emulated.nodes.get("n1-0");
        n.kill();
        fleet.emulated.publish("n1-0", "terminated");
        Thread.sleep(2000); // Lists that still have it are old by then, and count for nothing.
        say(router(0), Map.of("do", "done", "id", id, "lost", true));
        whySays(router(3), id, "does not come back");
        Fleet.await(PATIENCE_MS, "it is gone", () -> {
            for (var m : Fleet.send(router(0), Map.of("do", "machines")).body().path("machines")) {
                if (m.path("id").asText().equals("n1-0")) {
                    return false;
                }
            }
            return true;
        });
        // Its block has two holders now, and both are needed: work on one is refused at once.
        String next = ask("n1-1");
        is(router(0), next, "n1-1", "refused", "waiting");
        say(router(0), Map.of("do", "call-off", "id", next));
        n.restart();
        fleet.emulated.publish("n1-0", "in_service");
    }

    @SuppressWarnings("FutureReturnValueIgnored") // What the routers hold is asserted below.
    @Test
    void aThousandRequestsAtOnceAreAllKnownAndOneOfABlockGoes() throws Exception {
        ExecutorService many = Executors.newFixedThreadPool(16);
        List<String> nodes = List.copyOf(fleet.emulated.nodes.keySet());
        for (int i = 0; i < 1000; i++) {
            int n = i;
            many.submit(() ->
                    ask(router(n % 6), "many" + n, List.of(nodes.get(n % nodes.size())), 60_000));
        }
        many.shutdown();
        assertTrue(many.awaitTermination(60, TimeUnit.SECONDS));
        Fleet.await(
                PATIENCE_MS,
                "all are known",
                () -> Fleet.send(router(3), Map.of("do", "list"))
                                .body()
                                .path("requests")
                                .size()
                        >= 1000);
        int away = 0;
        for (var m : Fleet.send(router(3), Map.of("do", "machines")).body().path("machines")) {
            away += m.path("away").asText().isEmpty() ? 0 : 1;
        }
        assertTrue(
                away >= 2 && away <= 4,
                "away " + away); // One a block, and half of each zone stays.
        ExecutorService off = Executors.newFixedThreadPool(16);
        for (int i = 0; i < 1000; i++) {
            int n = i;
            off.submit(() -> {
                say(router(n % 6), Map.of("do", "call-off", "id", "many" + n));
                Fleet.send(router(n % 6), Map.of("do", "done", "id", "many" + n));
                return null;
            });
        }
        off.shutdown();
        assertTrue(off.awaitTermination(60, TimeUnit.SECONDS));
        Fleet.await(PATIENCE_MS, "all are over", () -> {
            List<String> open = new ArrayList<>();
            for (var r : Fleet.send(router(3), Map.of("do", "list")).body().path("requests")) {
                if (!r.path("over").asBoolean()) {
                    open.add(r.path("id").asText());
                }
            }
            for (String id : open) {
                Fleet.send(router(3), Map.of("do", "done", "id", id));
                Fleet.send(router(3), Map.of("do", "call-off", "id", id));
            }
            return open.isEmpty();
        });
    }

    @Test
    void aRouterWithAnotherKeyIsKnownToNobodyAndServesAllTheSame() throws Exception {
        RouterProcess c = router(5);
        c.stop(10_000);
        Path file = c.folder.resolve("peers.json5");
        String before = Files.readString(file);
        Files.writeString(file, before.replace("00112233", "99112233"));
        try {
            fleet.start(c);
            Fleet.ControlResponse t = Fleet.send(c, Map.of("do", "router"));
            assertFalse(t.body().path("known").asBoolean(), t.body().toString());
            assertEquals(
                    503,
                    Fleet.send(
                                    c,
                                    Map.of(
                                            "do",
                                            "ask",
                                            "id",
                                            "x",
                                            "machines",
                                            List.of("n0-0"),
                                            "for_ms",
                                            1000))
                            .status());
            assertTrue(ready(c));
        } finally {
            c.stop(10_000);
            Files.writeString(file, before);
        }
    }

    /** What an operator's shell is told by exit statuses. */
    private static int command(String... words) throws IOException {
        Path token = Files.writeString(fleet.folder.resolve("token"), Fleet.TOKEN + "\n");
        List<String> all = new ArrayList<>(List.of(
                "work",
                "--token-file",
                token.toString(),
                "--at",
                fleet.running().stream()
                        .map(c -> "127.0.0.1:" + c.controlAddress().getPort())
                        .reduce((a, b) -> a + "," + b)
                        .orElseThrow()));
        all.addAll(List.of(words));
        return Commands.run(env -> 1, all.toArray(String[]::new));
    }

    @Test
    void theCommandLineAsksWatchesAndGivesBack() throws Exception {
        assertEquals(
                0,
                command(
                        "ask",
                        "--id",
                        "cli",
                        "--for",
                        "10m",
                        "--why",
                        "by hand",
                        "cell=2,zone=z2"));
        assertEquals(0, command("watch", "cli", "--until", "out", "--most", "30s"));
        assertEquals(0, command("explain", "cli"));
        assertEquals(1, command("call-off", "cli"), "it is out");
        assertEquals(0, command("done", "cli"));
        assertEquals(0, command("watch", "cli", "--most", "30s"));
        assertEquals(1, command("done", "nothing-of-that-id"));
        assertEquals(2, command("ask", "--id", "x", "--for", "10m", "zone=nowhere"));
        assertEquals(0, command("list"));
        assertEquals(3, Commands.run(env -> 1, "work", "--at", "127.0.0.1:1", "list"));
    }

    @Test
    void theBoundsOfAChildAreThoseOfTheDeployFile() throws IOException {
        String run = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(l -> l.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        RouterProcess.BOUNDS.forEach(b -> assertTrue(run.contains(" " + b + " "), b));
    }
}

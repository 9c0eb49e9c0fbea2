package tinlink.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import tinlink.Scenarios;
import tinlink.emulator.EmulatedClient;
import tinlink.emulator.EmulatedLink;
import tinlink.emulator.EmulatedNode;

import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Plays a scenario of two whole sites with real routers; docs/scenarios.md has the notation. After
 * each one the rules are checked from what the data nodes ran and the clients were told.
 */
final class TwoSitesPlayer implements AutoCloseable {
    private static final int PATIENCE_MS = 10_000;
    private static final Map<String, LoadGenerator.LookupKind> KINDS = Map.of(
            "find",
            new LoadGenerator.LookupKind("find", false, false, 0, 0.3),
            "sum",
            new LoadGenerator.LookupKind("sum", false, false, 0, 1),
            "pay",
            new LoadGenerator.LookupKind("pay", true, false, 400_000, 1),
            "once",
            new LoadGenerator.LookupKind("once", false, true, 0, 1));
    private final Map<String, String> figures = new HashMap<>(Map.of(
            "delay",
            "10",
            "jitter",
            "0",
            "lines",
            "1",
            "routers",
            "2",
            "gateway",
            "heartbeat_ms: 40, recover_ms: 1500",
            "queue",
            "64",
            "cores",
            "4"));
    private final Map<String, LoadGenerator.LookupRecord> asked = new LinkedHashMap<>();
    private final Map<String, EmulatedClient.PendingLookup> clients = new HashMap<>();
    private TwoSites world;
    private Thread stopping;

    void play(List<String> script) throws InterruptedException {
        Scenarios.play(script, ";;", this::line);
        rules();
    }

    void rules() throws InterruptedException {
        Thread.sleep(100); // What breaks a rule after a final answer comes now.
        LookupRules rules = new LookupRules();
        world.emulatorLoop.run(() -> rules.check(List.copyOf(asked.values()), world.runLog));
        assertEquals(
                "[] [] [] []",
                rules.lost + " " + rules.late + " " + rules.repeated + " " + rules.dishonest,
                "lost, late, repeated, dishonest");
        for (TwoSites.RunningRouter r : world.routers.values()) {
            assertEquals(0, r.clients.unsolicited(), "said after the final answer");
        }
    }

    void line(String[] w) throws Exception {
        String rest = Arrays.stream(w).skip(2).collect(Collectors.joining(" "));
        switch (w[0]) {
            case "set" -> figures.put(w[1], rest);
            case "start" -> {
                if (w.length > 1) {
                    world.routers.get(w[1]).start();
                } else {
                    start();
                }
            }
            case "joined" ->
                assertTrue(world.joined(PATIENCE_MS), "the sites don't see each other");
            case "apart" ->
                until(
                        () -> w.length > 1
                                ? !world.routers.get(w[1]).joined()
                                : world.routers.values().stream()
                                        .noneMatch(TwoSites.RunningRouter::joined),
                        "still joined");
            case "pause" -> Thread.sleep(Long.parseLong(w[1]));
            case "kill" -> {
                asked.values().stream()
                        .filter(a -> a.at.name().equals(w[1]) && a.answer == null)
                        .forEach(a -> a.excused = true);
                world.routers.get(w[1]).kill();
            }
            case "stop" -> {
                TwoSites.RunningRouter r = world.routers.get(w[1]);
                stopping = new Thread(() -> {
                    try {
                        r.stop();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
                stopping.start();
            }
            case "stopped" -> {
                stopping.join(PATIENCE_MS);
                assertEquals(false, stopping.isAlive(), "still stopping");
            }
            case "drain" -> world.routers.get(w[1]).drain(true);
            case "resume" -> world.routers.get(w[1]).drain(false);
            case "busy" -> assertEquals(false, world.routers.get(w[1]).drained(), "drained");
            case "drained" -> until(() -> world.routers.get(w[1]).drained(), "not drained");
            case "keys" -> {
                TwoSites.RunningRouter r = world.routers.get(w[1]);
                String now = Files.readString(r.gatewayFile()).replaceAll("keys: .*", rest + ",");
                Files.writeString(r.gatewayFile(), now);
                r.reload();
            }
            case "ask" -> ask(w);
            case "leaves" -> {
                asked.get(w[1]).excused = true;
                clients.get(w[1]).abandon();
            }
            case "line" ->
                world.lines.entrySet().stream()
                        .filter(e -> e.getKey().matches(w[1].replace("*", ".*")))
                        .forEach(e -> say(e.getValue(), w));
            case "node" ->
                world.sites.values().stream()
                        .flatMap(s -> s.nodes.stream())
                        .filter(n -> n.uid.matches(w[1].replace("*", ".*")))
                        .forEach(n -> say(n, w));
            case "list" ->
                world.sites
                        .values()
                        .forEach(s -> s.nodes.stream()
                                .filter(n -> n.uid.matches(w[1].replace("*", ".*")))
                                .forEach(n -> s.discovery.publish(n, s.name, w[2])));
            case "links" ->
                until(
                        () -> world.sites.values().stream()
                                        .flatMap(s -> s.nodes.stream())
                                        .filter(n -> n.uid.matches(w[1].replace("*", ".*")))
                                        .mapToInt(EmulatedNode::connectionCount)
                                        .sum()
                                == Integer.parseInt(w[2]),
                        "other connections");
            case "ran" ->
                until(
                        () -> world.emulatorLoop.call(
                                        () -> world.runLog.runsOf(w[1]).size())
                                == Integer.parseInt(w[2]),
                        "ran "
                                + world.emulatorLoop.call(
                                        () -> world.runLog.runsOf(w[1]).size()) + " times");
            case "count" ->
                until(
                        () -> world.routers.get(w[1]).count(w[2]) >= Long.parseLong(w[3]),
                        w[2] + " of " + world.routers.get(w[1]).count(w[2]));
            case "no" -> assertEquals(0, world.routers.get(w[1]).count(w[2]), w[2]);
            default -> hears(asked.get(w[0]), w);
        }
    }

    private interface Check {
        boolean holds() throws Exception;
    }

    private static void until(Check check, String otherwise) throws Exception {
        for (int i = 0; i < PATIENCE_MS / 5; i++) {
            if (check.holds()) {
                return;
            }
            Thread.sleep(5);
        }
        throw new AssertionError(otherwise);
    }

    private void start() throws Exception {
        long delay = 1000 * Long.parseLong(figures.get("delay"));
        EmulatedLink.LinkConditions way = new EmulatedLink.LinkConditions(
                delay, 1000 * Long.parseLong(figures.get("jitter")), 0);
        Map<String, List<Integer>> cells = new LinkedHashMap<>();
        cells.put("east", List.of(0, 1, 2));
        cells.put("west", List.of(2, 3, 4, 4));
        world = new TwoSites(new TwoSites.Plan(
                cells,
                6,
                Integer.parseInt(figures.get("routers")),
                Integer.parseInt(figures.get("lines")),
                way,
                way,
                new EmulatedNode.ServiceModel(
                        Integer.parseInt(figures.get("cores")),
                        Integer.parseInt(figures.get("queue")),
                        3000,
                        0.1),
                TwoSites.LIMITS,
                profile("find", "pure") + "," + profile("sum", "pure") + ","
                        + profile("pay", "token") + "," + profile("once", "side_effect"),
                "\"completeFrom\":[1,1,1,1],\"minShare\":[0.3,1,1,1],\"incompleteWorth\":[0.5,0,0,0]",
                figures.get("gateway"),
                figures.getOrDefault("http2", ""),
                0,
                7));
    }

    private static String profile(String name, String effect) {
        return "{\"name\":\"" + name + "\",\"effect\":\"" + effect
                + "\",\"onTimeMs\":1500,\"deadlineMs\":3000,\"windowMs\":400,\"worth\":1,\"lateWorth\":0.3}";
    }

    /** ask ID KIND BUDGET SHARDS ROUTER */
    private void ask(String[] w) {
        LoadGenerator.LookupKind kind = KINDS.get(w[2]);
        TwoSites.RunningRouter at = world.routers.get(w[5]);
        List<Integer> shards = new ArrayList<>(
                Arrays.stream(w[4].split(",")).map(Integer::parseInt).toList());
        LoadGenerator.LookupRecord a = new LoadGenerator.LookupRecord(
                new EmulatedClient.LookupRequest(
                        w[1],
                        w[2],
                        Long.parseLong(w[3]),
                        shards,
                        "t" + w[1],
                        kind.keyed() ? "k" + w[1] : null),
                kind,
                at,
                false);
        asked.put(w[1], a);
        clients.put(w[1], world.emulatorLoop.call(() -> {
            a.dueUs = world.emulatorLoop.now();
            return at.clients.send(a.ask, answer -> a.answer = answer);
        }));
    }

    /** ID &lt; whole|partial|nacked|aborted|any [within MS] [again] */
    private void hears(LoadGenerator.LookupRecord a, String[] w) throws Exception {
        until(() -> world.emulatorLoop.call(() -> a.answer != null), "no answer");
        EmulatedClient.LookupResponse got = a.answer;
        String ending = got.isComplete()
                ? "whole"
                : got.status() == 200
                        ? "partial"
                        : a.isRejected()
                                ? "nacked"
                                : got.status() == 504 ? "aborted" : String.valueOf(got.status());
        assertTrue(
                Arrays.asList(w[2].split("\\|")).contains(ending) || w[2].equals("any"),
                ending + " after " + a.latencyUs() / 1000 + " ms");
        for (int i = 3; i < w.length; i++) {
            if (w[i].equals("within")) {
                assertTrue(
                        a.latencyUs() <= 1000 * Long.parseLong(w[++i]),
                        "after " + a.latencyUs() / 1000 + " ms");
            } else {
                assertTrue(got.retryAfterUs() > 0, "no time to come back");
            }
        }
    }

    private static void say(EmulatedLink line, String[] w) {
        switch (w[2]) {
            case "cut" -> line.cut();
            case "snap" -> line.resetConnections();
            case "mend" -> line.heal();
            case "silent" -> line.blackhole(!w[3].equals("back"), !w[3].equals("there"));
            case "noise" -> line.corruptionRate(Double.parseDouble(w[3]));
            case "after" ->
                line.cutAfter(
                        w[3].equals("there") ? Long.parseLong(w[4]) : -1,
                        w[3].equals("back") ? Long.parseLong(w[4]) : -1);
            default -> throw new IllegalArgumentException(w[2]);
        }
    }

    private static void say(EmulatedNode node, String[] w) {
        switch (w[2]) {
            case "goodbye" -> node.goAway(Integer.parseInt(w[3]), w.length > 4);
            case "streams" -> node.http2(h -> h.streams = Integer.parseInt(w[3]));
            case "refuses" -> node.http2(h -> h.refuseNext = Integer.parseInt(w[3]));
            case "resets" -> node.http2(h -> h.resetNext = Integer.parseInt(w[3]));
            case "frames" -> node.http2(h -> h.supported = false);
            case "window" -> node.http2(h -> h.initialWindow = Integer.parseInt(w[3]));
            case "dies" -> node.kill();
            case "lives" -> node.restart();
            default -> node.behavior(EmulatedNode.Behavior.valueOf(w[2].toUpperCase(Locale.ROOT)));
        }
    }

    @Override
    public void close() {
        if (world != null) {
            world.close();
        }
    }
}

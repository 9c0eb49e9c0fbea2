package tinlink.maintenance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import tinlink.GoldenFile;
import tinlink.maintenance.scheduling.DisruptionLimits;
import tinlink.maintenance.scheduling.Machine;
import tinlink.maintenance.scheduling.MachineReport;
import tinlink.maintenance.scheduling.MachineReportCodec;
import tinlink.maintenance.scheduling.MaintenanceCommand;
import tinlink.maintenance.scheduling.MaintenanceCommandCodec;
import tinlink.maintenance.scheduling.MaintenanceCoordinator;
import tinlink.maintenance.scheduling.MaintenanceRequest;
import tinlink.maintenance.scheduling.MaintenanceState;
import tinlink.maintenance.scheduling.NodeListDifference;
import tinlink.net.EventLoop;
import tinlink.net.EventLoopParticipant;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Checks the encodings of maintenance commands, answers, reports and snapshots and of the cordon file, byte
 * for byte, against golden files that earlier builds wrote.
 */
@Timeout(60)
class MaintenanceGoldenFilesTest {
    private static final String LOG = "maintenance-log.txt";
    private static final String ANSWERS = "maintenance-answers.txt";
    private static final String SNAPSHOTS = "maintenance-snapshots.txt";
    private static final String REPORTS = "maintenance-reports.txt";
    private static final String CORDONED = "excluded-nodes.txt";
    /** The number of commands between two snapshots; a further snapshot follows the last command. */
    private static final int SNAPSHOT_EVERY = 8;
    /** The number of commands that are applied before the reports are made. */
    private static final int REPORTS_AFTER = 24;

    /** The number of lines in the log that no build knows as a command. */
    private static final int UNKNOWN_LINES = 3;

    private static final long SECOND = 1_000_000;
    private static final String ODD = "a disk,\tswapped\nby \\ them é";

    @TempDir
    Path folder;

    // ---- Encoded commands, one method per kind. ----

    private static DisruptionLimits limits() {
        return new DisruptionLimits(2, 0.25, 0.5, 3 * SECOND, 4 * SECOND, 20 * SECOND, 6, 100);
    }

    private static String limitsCommand(DisruptionLimits limits) {
        return MaintenanceCommandCodec.encode(new MaintenanceCommand.SetLimits(limits));
    }

    private static String tickCommand(long passedUs) {
        return MaintenanceCommandCodec.encode(new MaintenanceCommand.AdvanceTime(passedUs));
    }

    private static String machineCommand(Machine machine) {
        return MaintenanceCommandCodec.encode(new MaintenanceCommand.RegisterMachine(machine));
    }

    private static String removeMachineCommand(String machine) {
        return MaintenanceCommandCodec.encode(new MaintenanceCommand.RemoveMachine(machine));
    }

    private static String healthCommand(String machine, boolean healthy) {
        return MaintenanceCommandCodec.encode(new MaintenanceCommand.SetHealth(machine, healthy));
    }

    private static String lifeCommand(String router, String life) {
        return MaintenanceCommandCodec.encode(new MaintenanceCommand.RegisterRouter(router, life));
    }

    private static String endedCommand(String router, String life) {
        return MaintenanceCommandCodec.encode(new MaintenanceCommand.RemoveRouter(router, life));
    }

    private static String requestCommand(
            String id, List<String> machines, long forUs, long withinUs, int urgency, String why) {
        return MaintenanceCommandCodec.encode(new MaintenanceCommand.SubmitRequest(
                new MaintenanceRequest(id, machines, forUs, withinUs, urgency, "op é", why)));
    }

    private static String cancelCommand(String request, String why) {
        return MaintenanceCommandCodec.encode(new MaintenanceCommand.CancelRequest(request, why));
    }

    private static String beginCommand(String router, long fencingToken, String life) {
        return MaintenanceCommandCodec.encode(
                new MaintenanceCommand.StartDrain(router, fencingToken, life));
    }

    private static String drainedCommand(
            String machine, long fencingToken, String router, String life) {
        return MaintenanceCommandCodec.encode(
                new MaintenanceCommand.ConfirmDrained(machine, fencingToken, router, life));
    }

    private static String servesCommand(String router, String life) {
        return MaintenanceCommandCodec.encode(new MaintenanceCommand.ConfirmServing(router, life));
    }

    private static String doneCommand(String request, String machine, boolean lost) {
        return MaintenanceCommandCodec.encode(
                new MaintenanceCommand.CompleteWork(request, machine, lost));
    }

    private static Machine node(int number, int cell, String zone) {
        return new Machine("n" + number, Machine.Kind.NODE, cell, zone, "east", "m é", false);
    }

    private static Machine router(int number, String zone) {
        return new Machine(
                "r" + number, Machine.Kind.ROUTER, -1, zone, "east", "router", number < 4);
    }

    private static String life(int router) {
        return "r" + router + "#1." + Integer.toHexString(router + 9);
    }

    /** One replica of the maintenance state. */
    private static final class Replica {
        private final ReplicatedMaintenance maintenance = new ReplicatedMaintenance();

        String apply(String command) {
            return maintenance.apply(command);
        }

        long fencingToken(String machine) {
            return maintenance.state().activeTask(machine).fencingToken();
        }

        List<String> snapshot() {
            return maintenance.snapshot();
        }

        void restore(List<String> lines) {
            maintenance.restore(lines);
        }

        MaintenanceState state() {
            return maintenance.state();
        }
    }

    // ---- The log. ----

    /** A log under construction: the commands by name, the answer to each, and snapshots in between. */
    private static final class Log {
        final Replica replica = new Replica();
        final Map<String, String> commands = new LinkedHashMap<>();
        final Map<String, String> answers = new LinkedHashMap<>();
        final Map<String, String> snapshots = new LinkedHashMap<>();

        Log() {
            snapshot("after-00");
        }

        private void put(String kind, String command) {
            String name = String.format("%02d-%s", commands.size() + 1, kind);
            commands.put(name, command);
            answers.put(name, replica.apply(command));
            if (commands.size() % SNAPSHOT_EVERY == 0) {
                snapshot(String.format("after-%02d", commands.size()));
            }
        }

        private void snapshot(String name) {
            snapshots.putAll(numbered(name, replica.snapshot()));
        }

        private void clears(String machine, int... routers) {
            for (int r : routers) {
                put(
                        "clear",
                        drainedCommand(machine, replica.fencingToken(machine), "r" + r, life(r)));
            }
        }
    }

    private static Map<String, String> numbered(String name, List<String> lines) {
        Map<String, String> all = new LinkedHashMap<>();
        lines.forEach(line -> all.put(String.format("%s-line-%02d", name, all.size() + 1), line));
        return all;
    }

    private static Log log() {
        Log log = new Log();
        log.put("tick-before-bounds", tickCommand(5));
        log.put("bounds", limitsCommand(limits()));
        log.put("other-bounds", limitsCommand(new DisruptionLimits(1, 0, 1, 1, 1, 1, 1, 1)));
        for (int i = 1; i <= 8; i++) {
            log.put("machine", machineCommand(node(i, i % 2, i < 5 ? "a" : "b")));
        }
        for (int i = 1; i <= 5; i++) {
            log.put("machine", machineCommand(router(i, i < 3 ? "a" : "b")));
        }
        for (int i = 1; i <= 3; i++) {
            log.put("life", lifeCommand("r" + i, life(i)));
        }
        log.put("sound", healthCommand("n8", false));
        log.put("request", requestCommand("w1", List.of("n1"), 60 * SECOND, 90 * SECOND, 5, ODD));
        log.put(
                "request-of-several",
                requestCommand("w2", List.of("n2", "n3", "n8"), 9 * SECOND, Long.MAX_VALUE, 9, ""));
        log.put("request-of-none", requestCommand("w3", List.of(), SECOND, SECOND, 0, "none"));
        log.put("request-of-unknown", requestCommand("w4", List.of("nx"), SECOND, SECOND, 0, ""));
        log.clears("n1", 1, 2, 3);
        log.put(
                "request-of-router",
                requestCommand("w5", List.of("r5"), SECOND, 99 * SECOND, 1, ""));
        log.put("life", lifeCommand("r5", life(5)));
        log.put("begin", beginCommand("r5", log.replica.fencingToken("r5"), life(5)));
        log.clears("r5", 5);
        log.put("done", doneCommand("w1", "n1", false));
        log.put("done-early", doneCommand("w2", "", false));
        log.put("call-off", cancelCommand("w2", ODD));
        log.put("tick", tickCommand(SECOND));
        log.put("gone", removeMachineCommand("n7"));
        log.put("ended", endedCommand("r3", life(3)));
        log.put("tick-too-long", tickCommand(7 * SECOND));
        log.put("done", doneCommand("w5", "", false));
        log.put("serves", servesCommand("r5", life(5)));
        log.put("sound", healthCommand("n8", true));
        for (int i = 0; i < 4; i++) {
            log.put("tick", tickCommand(SECOND));
        }
        log.put("request-again", requestCommand("w6", List.of("n5"), 2 * SECOND, SECOND, 3, "x"));
        log.put("request-with-its-id", requestCommand("w6", List.of("n6"), SECOND, SECOND, 3, "x"));
        log.clears("n5", 1, 2, 5);
        for (int i = 0; i < 3; i++) {
            log.put("tick", tickCommand(SECOND));
        }
        log.put(
                "request-of-router",
                requestCommand("w7", List.of("r1"), SECOND, 9 * SECOND, 4, ""));
        log.put("done-lost", doneCommand("w6", "n5", true));
        log.put("request", requestCommand("w8", List.of("n6"), SECOND, 9 * SECOND, 4, "y"));
        log.put(
                "request-that-waits",
                requestCommand("w10", List.of("n2", "n4"), SECOND, 9 * SECOND, 4, "z"));
        log.put("call-off-unknown", cancelCommand("w9", ""));
        log.put("not-understood", "what\tis\tthis");
        log.put("cut-short", "machine\tn1");
        log.put("no-number", "tick\tx");
        log.snapshot("at-the-end");
        return log;
    }

    @Test
    void commandsAreEncodedAndAnsweredAsBefore() throws IOException {
        Log log = log();
        GoldenFile.holds(LOG, "Commands of maintenance, in agreed order.", log.commands);
        GoldenFile.holds(ANSWERS, "What was answered to each command.", log.answers);
        GoldenFile.holds(
                SNAPSHOTS, "All that stands, after so many commands of the log.", log.snapshots);
    }

    @Test
    void decodedCommandsAreEncodedIdentically() throws IOException {
        int encoded = 0;
        for (String line : GoldenFile.read(LOG).values()) {
            MaintenanceCommand command = MaintenanceCommandCodec.decode(line);
            if (!(command instanceof MaintenanceCommand.Unknown)) {
                assertEquals(line, MaintenanceCommandCodec.encode(command));
                encoded++;
            }
        }
        assertEquals(GoldenFile.read(LOG).size() - UNKNOWN_LINES, encoded);
    }

    @Test
    void theLogIsDecodedAndAppliedAsBefore() throws IOException {
        Replica replica = new Replica();
        Map<String, String> answers = GoldenFile.read(ANSWERS);
        Map<String, String> snapshots = new LinkedHashMap<>();
        snapshots.putAll(numbered("after-00", replica.snapshot()));
        int played = 0;
        for (Map.Entry<String, String> command : GoldenFile.read(LOG).entrySet()) {
            assertEquals(
                    answers.get(command.getKey()),
                    replica.apply(command.getValue()),
                    command.getKey());
            if (++played % SNAPSHOT_EVERY == 0) {
                String name = String.format("after-%02d", played);
                snapshots.putAll(numbered(name, replica.snapshot()));
            }
        }
        snapshots.putAll(numbered("at-the-end", replica.snapshot()));
        assertEquals(GoldenFile.read(SNAPSHOTS), snapshots);
    }

    private static List<String> snapshot(String name) throws IOException {
        List<String> lines = new ArrayList<>();
        GoldenFile.read(SNAPSHOTS).forEach((line, text) -> {
            if (line.startsWith(name + "-line-")) {
                lines.add(text);
            }
        });
        assertFalse(lines.isEmpty(), name);
        return lines;
    }

    @Test
    void snapshotsAreRestoredAndTheRestOfTheLogIsApplied() throws IOException {
        List<String> commands = List.copyOf(GoldenFile.read(LOG).values());
        List<String> answers = List.copyOf(GoldenFile.read(ANSWERS).values());
        for (int after = 0; after < commands.size(); after += SNAPSHOT_EVERY) {
            Replica replica = new Replica();
            List<String> lines = snapshot(String.format("after-%02d", after));
            replica.restore(lines);
            assertEquals(lines, replica.snapshot());
            for (int i = after; i < commands.size(); i++) {
                assertEquals(answers.get(i), replica.apply(commands.get(i)), commands.get(i));
            }
            assertEquals(snapshot("at-the-end"), replica.snapshot());
        }
    }

    /** Checks that the golden files cover each kind of state and line, so that all are read. */
    @Test
    void goldenFilesCoverAllStatesAndLines() throws IOException {
        String all = String.join("\n", GoldenFile.read(SNAPSHOTS).values());
        for (String state : List.of(
                "WAITING",
                "DRAINING",
                "OUT",
                "RETURNING",
                "BACK",
                "REFUSED",
                "CALLED_OFF",
                "OVERDUE")) {
            assertTrue(all.contains("\t" + state + "\t"), state);
        }
        for (String kind : List.of(
                "order", "bounds", "machine", "unsound", "since", "life", "request", "piece")) {
            assertTrue(all.contains("\n" + kind + "\t"), kind);
        }
    }

    // ---- Reports of routers to the leader. ----

    private static List<Machine> listed() {
        return List.of(node(1, 1, "a"), node(2, 5, "a"), node(9, 0, "b"));
    }

    private static Map<String, String> reports(MaintenanceState state) {
        Map<String, Boolean> saw = new TreeMap<>();
        saw.put("n1", false);
        saw.put("n2", true);
        saw.put("n\t3", true);
        Map<String, String> all = new LinkedHashMap<>();
        all.put("self", MachineReportCodec.encode(new MachineReport.Self(router(6, "b"))));
        all.put("saw", MachineReportCodec.encode(new MachineReport.Health(saw)));
        all.put(
                "list",
                MachineReportCodec.encode(new MachineReport.FullNodeList("east", listed())));
        all.put("left", MachineReportCodec.encode(new MachineReport.Departure(life(2))));
        all.put(
                "list-difference",
                MachineReportCodec.encode(
                        NodeListDifference.between("east", listed(), state.agreedNodes())));
        all.put(
                "list-difference-of-nothing",
                MachineReportCodec.encode(NodeListDifference.between(
                        "east", state.agreedNodes().all(), state.agreedNodes())));
        return all;
    }

    /** The commands that a leader proposes after the reports, which are given by sender. */
    private static List<String> proposed(
            MaintenanceState state, Map<String, String> reportsBySender) {
        MaintenanceCoordinator coordinator =
                new MaintenanceCoordinator(limits(), 1, 1000 * SECOND, 100);
        coordinator.setTime(10);
        coordinator.setLeader(true);
        coordinator.decide(state, command -> {});
        coordinator.setTime(20);
        reportsBySender.forEach((from, line) ->
                coordinator.onReport(from, MachineReportCodec.decode(line).orElseThrow()));
        for (int i = 0; i < 100; i++) {
            coordinator.onProposalCompleted();
        }
        List<String> all = new ArrayList<>();
        coordinator.decide(state, command -> all.add(MaintenanceCommandCodec.encode(command)));
        return all;
    }

    @Test
    void reportsAreEncodedAndDecodedAsBefore() throws IOException {
        Replica replica = new Replica();
        GoldenFile.read(LOG).values().stream().limit(REPORTS_AFTER).forEach(replica::apply);
        MaintenanceState state = replica.state();
        Map<String, String> all = new LinkedHashMap<>(reports(state));
        Map<String, String> senders = new LinkedHashMap<>();
        senders.put("self", "r6");
        senders.put("saw", "r1");
        senders.put("list", "r1");
        senders.put("left", "r2");
        senders.put("list-difference", "r1");
        senders.put("list-difference-of-nothing", "r1");
        Map<String, String> golden = GoldenFile.writes() ? all : GoldenFile.read(REPORTS);
        senders.forEach((name, from) -> {
            int line = 0;
            for (String proposal : proposed(state, Map.of(from, golden.get(name)))) {
                all.put(String.format("%s-proposes-%02d", name, ++line), proposal);
            }
        });
        GoldenFile.holds(
                REPORTS, "What routers tell the leader, and what it proposes by each.", all);
    }

    // ---- Cordoned nodes. ----

    private static Set<String> cordoned() {
        return Set.of("n1", "n 2", "n\t3\\", "né");
    }

    private static String text(Path file) throws IOException {
        return Files.exists(file) ? Files.readString(file, StandardCharsets.UTF_8) : "";
    }

    private String written(Set<String> nodes) throws Exception {
        EventLoop loop = new EventLoop();
        Thread thread = new Thread(
                () -> loop.run(new EventLoopParticipant() {
                    @Override
                    public void turnStarted(long nowUs) {}

                    @Override
                    public void turnEnding() {}
                }),
                "cordon-test");
        thread.setDaemon(true);
        thread.start();
        CordonStore store = new CordonStore(loop, folder);
        nodes.forEach(node -> loop.execute(() -> store.setCordoned(node, true)));
        for (int i = 0; i < 2000; i++) {
            if (Boolean.TRUE.equals(
                    loop.submitAndWait(() -> nodes.stream().allMatch(store::isPersisted)))) {
                break;
            }
            Thread.sleep(5);
        }
        loop.execute(loop::stop);
        store.close();
        return text(folder.resolve("left-out"));
    }

    private static Set<String> read(Path folder) throws IOException {
        CordonStore store = new CordonStore(new EventLoop(), folder);
        Set<String> before = store.restored();
        store.close();
        return before;
    }

    @Test
    void cordonedNodesAreWrittenAndReadAsBefore() throws Exception {
        String text = written(cordoned());
        assertEquals(cordoned(), read(folder));
        GoldenFile.holds(
                CORDONED,
                "The file of excluded nodes, in hex.",
                Map.of("some", GoldenFile.hex(text.getBytes(StandardCharsets.UTF_8))));
        byte[] golden = GoldenFile.bytes(GoldenFile.read(CORDONED).get("some"));
        Files.write(folder.resolve("left-out"), golden);
        assertEquals(cordoned(), read(folder));
        Path router = folder.resolve("router");
        GoldenFile.copy(GoldenFile.folder("router"), router);
        assertEquals(cordoned(), read(router));
    }
}

package tinlink.experiment.processes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import tinlink.emulator.EmulatedClient;
import tinlink.emulator.EmulatedNode;
import tinlink.emulator.EmulatedSite;
import tinlink.emulator.EmulatorLoop;
import tinlink.emulator.RunLog;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** A router process with the heap of the deploy file, its data nodes, and a usual client of it. */
final class RouterUnderTest implements AutoCloseable {
    private static final long START_MS = 20_000;
    private static final int SIGTERM_STATUS = 128 + 15;
    private static final String SETTINGS = """
            {"family": "fanout", "discovery": "pushed", "groupSize": 1, "zone": 0, "stepMs": 5.0,
             "localities": ["a"], "models": ["m"],
             "familyInfo": {"sets": 2, "reach": 1, "slabs": 2, "bundleMax": 4, "callMs": 1.0,
              "completeFrom": [1.0], "minShare": [1.0], "incompleteWorth": [0], "followUp": [0]},
             "profiles": [{"name": "find", "effect": "pure", "onTimeMs": 3000.0,
              "deadlineMs": 3000.0, "worth": 1.0}],
             "limits": {"tryLimit": 3, "secondCopies": true, "cancel": true, "retryAfter": true,
              "maxRetryAfterMs": 2000.0, "openCap": 200, "connectTimeoutMs": 250.0,
              "connIdleMs": 30000.0, "streamsPerConn": 100},
             "rules": {"startCapacity": 0.2, "coldMs": 10000.0, "fallMultiple": 4.0,
              "fallMs": 3000.0},
             "charges": {"crossZone": 0.02}}
            """;

    private final EmulatorLoop loop = new EmulatorLoop();
    private final RunLog runs = new RunLog(1 << 18);
    private final RouterProcess process;
    private final EmulatedClient usualClient;

    RouterUnderTest(Path folder, long seed) throws IOException, InterruptedException {
        EmulatedSite site = new EmulatedSite(
                loop,
                runs,
                new EmulatedSite.Plan(
                        "a",
                        List.of(0, 0, 1, 1),
                        new EmulatedNode.ServiceModel(4, 64, 1000, 0.2),
                        SETTINGS,
                        seed));
        Map<String, String> environment = new HashMap<>(
                site.router(folder, "r1", "127.0.0.1:0", "", 1, "", "", "", List.of(), List.of()));
        environment.remove("NODE_GATEWAY");
        environment.put("NODE_LOG", "INFO");
        process = new RouterProcess("r1", folder, environment);
        process.start();
        process.awaitServing(START_MS);
        usualClient = new EmulatedClient(loop, process.clientAddress());
    }

    /** The executions of parts at the data nodes. */
    RunLog runs() {
        return runs;
    }

    boolean isUp() {
        return process.isUp();
    }

    String output() throws IOException {
        return process.output();
    }

    /** The number of live objects of that class in the router's heap, after a collection. */
    long liveInstances(String className) throws IOException {
        Process histogram = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "jcmd").toString(),
                        Long.toString(process.pid()),
                        "GC.class_histogram")
                .start();
        String output =
                new String(histogram.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(output.contains("java.lang.String"), output);
        // Each line has a rank, the number of instances, their bytes and the class.
        return output.lines()
                .map(line -> line.trim().split("\\s+"))
                .filter(fields -> fields.length > 3 && fields[3].equals(className))
                .mapToLong(fields -> Long.parseLong(fields[1]))
                .sum();
    }

    /** Sends a lookup of the usual client. */
    CompletableFuture<EmulatedClient.LookupResponse> lookup(String callId, long budgetMs) {
        CompletableFuture<EmulatedClient.LookupResponse> response = new CompletableFuture<>();
        usualClient.send(
                new EmulatedClient.LookupRequest(
                        callId, "find", budgetMs, List.of(0, 1), "card", null),
                response::complete);
        return response;
    }

    /** Connects and sends the bytes. */
    Socket connect(byte[] request) throws IOException {
        Socket socket = new Socket();
        try {
            socket.connect(process.clientAddress());
            socket.getOutputStream().write(request);
        } catch (IOException e) {
            // The router has closed the connection, which it may do to a bad client.
        }
        return socket;
    }

    /** Stops the router, which has to end in order. */
    void stop() throws InterruptedException {
        assertEquals(SIGTERM_STATUS, process.stop(START_MS));
    }

    @Override
    public void close() {
        try {
            process.kill();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            loop.close();
        }
    }
}

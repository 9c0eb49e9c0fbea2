package tinlink.experiment.processes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import tinlink.emulator.EmulatedClient;
import tinlink.emulator.EmulatedNode;
import tinlink.emulator.EmulatedSite;
import tinlink.emulator.EmulatorLoop;
import tinlink.emulator.RunLog;
import tinlink.net.RequestShapes;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Hundreds of clients that stop in the middle of expensive requests, against a router process with
 * the heap of the deploy file. Usual clients get their answers all the time.
 */
class HostileClientsTest {
    private static final long SEED = Long.getLong("hostile.seed", 56);
    /** Waves of bad clients; a longer run is started by hand with -Dhostile.waves=N. */
    private static final int WAVES = Integer.getInteger("hostile.waves", 4);

    private static final int CLIENTS_PER_WAVE = 400;
    private static final int LOOKUPS_PER_WAVE = 20;
    private static final long START_MS = 20_000;
    private static final long BUDGET_MS = 3_000;
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

    /**
     * Guards against an exhausted heap: half-sent bodies of small objects and heads of many short
     * fields ended the router's event loop, and no lookup was answered any more.
     */
    @Test
    @Timeout(300)
    void halfSentRequestsOfAnyShapeLeaveTheRouterServing(@TempDir Path folder) throws Exception {
        try (EmulatorLoop loop = new EmulatorLoop()) {
            RouterProcess router = startRouter(loop, folder);
            try {
                EmulatedClient usualClient = new EmulatedClient(loop, router.clientAddress());
                RequestShapes shapes = new RequestShapes(SEED);
                for (int wave = 0; wave < WAVES; wave++) {
                    playWave(router, usualClient, shapes, wave);
                }
                assertEquals(SIGTERM_STATUS, router.stop(START_MS));
            } finally {
                router.kill();
            }
        }
    }

    private static RouterProcess startRouter(EmulatorLoop loop, Path folder)
            throws IOException, InterruptedException {
        EmulatedSite site = new EmulatedSite(
                loop,
                new RunLog(1 << 16),
                new EmulatedSite.Plan(
                        "a",
                        List.of(0, 0, 1, 1),
                        new EmulatedNode.ServiceModel(4, 64, 1000, 0.2),
                        SETTINGS,
                        SEED));
        Map<String, String> environment = new HashMap<>(
                site.router(folder, "r1", "127.0.0.1:0", "", 1, "", "", "", List.of(), List.of()));
        environment.remove("NODE_GATEWAY");
        environment.put("NODE_LOG", "INFO");
        RouterProcess router = new RouterProcess("r1", folder, environment);
        router.start();
        router.awaitServing(START_MS);
        return router;
    }

    /** Each wave has shapes of one kind or of all kinds, and stays connected until it has ended. */
    private static void playWave(
            RouterProcess router, EmulatedClient usualClient, RequestShapes shapes, int wave)
            throws Exception {
        String name = "seed " + SEED + ", wave " + wave;
        RequestShapes.Shape only = wave % 2 == 0 ? shapes.anyShape() : null;
        List<Socket> badClients = new ArrayList<>();
        List<CompletableFuture<EmulatedClient.LookupResponse>> responses = new ArrayList<>();
        try {
            for (int i = 0; i < CLIENTS_PER_WAVE; i++) {
                RequestShapes.Shape shape = only == null ? shapes.anyShape() : only;
                badClients.add(connect(router, shapes.incompleteRequest(shape)));
                if (i % (CLIENTS_PER_WAVE / LOOKUPS_PER_WAVE) == 0) {
                    responses.add(send(usualClient, "w" + wave + "-" + i));
                }
            }
            for (CompletableFuture<EmulatedClient.LookupResponse> response : responses) {
                assertServed(response.get(2 * BUDGET_MS, TimeUnit.MILLISECONDS), name);
            }
        } finally {
            for (Socket badClient : badClients) {
                badClient.close();
            }
        }
        assertTrue(router.isUp(), name + ": the process has ended: " + router.output());
    }

    private static Socket connect(RouterProcess router, byte[] request) throws IOException {
        Socket socket = new Socket();
        try {
            socket.connect(router.clientAddress());
            socket.getOutputStream().write(request);
        } catch (IOException e) {
            // The router has closed the connection, which it may do to such a client.
        }
        return socket;
    }

    private static CompletableFuture<EmulatedClient.LookupResponse> send(
            EmulatedClient client, String callId) {
        CompletableFuture<EmulatedClient.LookupResponse> response = new CompletableFuture<>();
        client.send(
                new EmulatedClient.LookupRequest(
                        callId, "find", BUDGET_MS, List.of(0, 1), "card", null),
                response::complete);
        return response;
    }

    /** A usual request is never rejected for the memory that the bad ones hold. */
    private static void assertServed(EmulatedClient.LookupResponse response, String wave) {
        assertTrue(response.status() > 0, wave + ": no response: " + response);
        assertTrue(!response.body().contains("too much is being read"), wave + ": " + response);
    }
}

package tinlink.experiment.processes;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import tinlink.emulator.EmulatedClient;
import tinlink.net.RequestShapes;

import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
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
    private static final long BUDGET_MS = 3_000;

    /**
     * Guards against an exhausted heap: half-sent bodies of small objects and heads of many short
     * fields ended the router's event loop, and no lookup was answered any more.
     */
    @Test
    @Timeout(300)
    void halfSentRequestsOfAnyShapeLeaveTheRouterServing(@TempDir Path folder) throws Exception {
        try (RouterUnderTest router = new RouterUnderTest(folder, SEED)) {
            RequestShapes shapes = new RequestShapes(SEED);
            for (int wave = 0; wave < WAVES; wave++) {
                playWave(router, shapes, wave);
            }
            router.stop();
        }
    }

    /** Each wave has shapes of one kind or of all kinds, and stays connected until it has ended. */
    private static void playWave(RouterUnderTest router, RequestShapes shapes, int wave)
            throws Exception {
        String name = "seed " + SEED + ", wave " + wave;
        RequestShapes.Shape only = wave % 2 == 0 ? shapes.anyShape() : null;
        List<Socket> badClients = new ArrayList<>();
        List<CompletableFuture<EmulatedClient.LookupResponse>> responses = new ArrayList<>();
        try {
            for (int i = 0; i < CLIENTS_PER_WAVE; i++) {
                RequestShapes.Shape shape = only == null ? shapes.anyShape() : only;
                badClients.add(router.connect(shapes.incompleteRequest(shape)));
                if (i % (CLIENTS_PER_WAVE / LOOKUPS_PER_WAVE) == 0) {
                    responses.add(router.lookup("w" + wave + "-" + i, BUDGET_MS));
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

    /** A usual request is never rejected for the memory that the bad ones hold. */
    private static void assertServed(EmulatedClient.LookupResponse response, String wave) {
        assertTrue(response.status() > 0, wave + ": no response: " + response);
        assertTrue(!response.body().contains("too much is being read"), wave + ": " + response);
    }
}

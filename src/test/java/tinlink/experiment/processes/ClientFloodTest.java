package tinlink.experiment.processes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import tinlink.emulator.EmulatedClient;
import tinlink.net.RequestShapes;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Stream;

/** Clients that keep a router process busy, beside usual clients that get their answers in time. */
class ClientFloodTest {
    private static final long SEED = Long.getLong("hostile.seed", 63);
    private static final List<RequestShapes.Shape> WHOLE_BODIES = List.of(
            RequestShapes.Shape.EMPTY_OBJECTS,
            RequestShapes.Shape.NUMBERS,
            RequestShapes.Shape.COLLIDING_NAMES,
            RequestShapes.Shape.WIDE_CHARACTERS);
    private static final int HOSTILE_CLIENTS = 300;
    private static final int USUAL_LOOKUPS = 50;
    private static final long USUAL_INTERVAL_MS = 20;
    private static final long BUDGET_MS = 1_000;

    private final RequestShapes shapes = new RequestShapes(SEED);
    private int played;

    /**
     * Guards against an event loop that parses the requests of hundreds of clients while the lookups of usual
     * clients wait past their time.
     */
    @Test
    @Timeout(120)
    void usualLookupsAreAnsweredBesideIncompleteRequests(@TempDir Path folder) throws Exception {
        try (RouterUnderTest router = new RouterUnderTest(folder, SEED)) {
            for (RequestShapes.Shape shape : RequestShapes.Shape.values()) {
                playBeside(router, shape + ", incomplete", () -> shapes.incompleteRequest(shape));
            }
        }
    }

    /** Guards against an event loop that is kept busy by whole bodies, or by the lines between chunks. */
    @Test
    @Timeout(120)
    void usualLookupsAreAnsweredBesideWholeBodies(@TempDir Path folder) throws Exception {
        try (RouterUnderTest router = new RouterUnderTest(folder, SEED)) {
            for (RequestShapes.Shape shape : WHOLE_BODIES) {
                playBeside(router, shape + ", whole", () -> shapes.requestOfWholeBody(shape));
            }
            playBeside(router, "tiny chunks", shapes::requestInTinyChunks);
        }
    }

    private void playBeside(RouterUnderTest router, String name, Supplier<byte[]> hostileRequests)
            throws Exception {
        List<byte[]> requests =
                Stream.generate(hostileRequests).limit(HOSTILE_CLIENTS).toList();
        List<Socket> clients = new ArrayList<>();
        Thread hostile = new Thread(() -> connectAll(router, requests, clients));
        hostile.start();
        List<CompletableFuture<EmulatedClient.LookupResponse>> responses = new ArrayList<>();
        played++;
        for (int i = 0; i < USUAL_LOOKUPS; i++) {
            responses.add(router.lookup("usual-" + played + "-" + i, BUDGET_MS));
            Thread.sleep(USUAL_INTERVAL_MS);
        }
        assertAnswered(name, responses);
        hostile.join();
        for (Socket client : clients) {
            client.close();
        }
        assertTrue(router.isUp(), router.output());
    }

    private static void connectAll(
            RouterUnderTest router, List<byte[]> requests, List<Socket> clients) {
        try {
            for (byte[] request : requests) {
                clients.add(router.connect(request));
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void assertAnswered(
            String name, List<CompletableFuture<EmulatedClient.LookupResponse>> responses)
            throws Exception {
        Map<Integer, Integer> countByStatus = new TreeMap<>();
        for (CompletableFuture<EmulatedClient.LookupResponse> response : responses) {
            int status = response.get(5 * BUDGET_MS, TimeUnit.MILLISECONDS).status();
            countByStatus.merge(status, 1, Integer::sum);
        }
        assertEquals(Map.of(200, responses.size()), countByStatus, "seed " + SEED + ", " + name);
    }
}

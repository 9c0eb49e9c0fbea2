package tinlink.experiment.processes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import tinlink.emulator.EmulatedClient;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.IntFunction;

/** One client that sends small requests at full speed, beside usual clients that are answered in time. */
class OneClientFloodTest {
    private static final long SEED = 63;
    /** Requests that the client sends before it reads the responses to them. */
    private static final int PIPELINED = 100;

    /** Longer floods are started by hand with -Dflood.lookups=N. */
    private static final int USUAL_LOOKUPS = Integer.getInteger("flood.lookups", 100);

    private static final long USUAL_INTERVAL_MS = 20;
    private static final long BUDGET_MS = 1_000;
    /** The flood and the usual client have two open, and a few have just been closed. */
    private static final int MAX_RETAINED_CONNECTIONS = 50;

    private static final int READ_BYTES = 1 << 16;

    private int played;

    /** Guards against a client that keeps the event loop busy, or fills the heap, by small requests. */
    @Test
    @Timeout(120)
    void usualLookupsAreAnsweredBesideOneClientAtFullSpeed(@TempDir Path folder) throws Exception {
        try (RouterUnderTest router = new RouterUnderTest(folder, SEED)) {
            playBeside(router, "readiness", number -> "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
            playBeside(router, "no time left", number -> lookup("late-" + number, "find", 0));
            playBeside(router, "no such class", number -> lookup("c", "class-" + number, 1000));
            playBeside(router, "no lookup", number -> "GET /path-" + number + " HTTP/1.1\r\n\r\n");
            playBeside(router, "not HTTP", number -> "request " + number + "\r\n\r\n");
        }
    }

    private static String lookup(String callId, String lookupClass, long budgetMs) {
        String body = "{\"segments\":[{\"segment\":0,\"boost\":1.0}],\"text\":\"t\"}";
        return "POST /api HTTP/1.1\r\nHost: a\r\nX-Call-Id: " + callId + "\r\nX-Call-Class: "
                + lookupClass + "\r\nX-Budget-Ms: " + budgetMs + "\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body;
    }

    private void playBeside(RouterUnderTest router, String name, IntFunction<String> requests)
            throws Exception {
        AtomicBoolean ended = new AtomicBoolean();
        CompletableFuture<Integer> flood =
                CompletableFuture.supplyAsync(() -> flood(router, requests, ended));
        List<CompletableFuture<EmulatedClient.LookupResponse>> responses = new ArrayList<>();
        played++;
        for (int i = 0; i < USUAL_LOOKUPS; i++) {
            responses.add(router.lookup("usual-" + played + "-" + i, BUDGET_MS));
            Thread.sleep(USUAL_INTERVAL_MS);
        }
        Map<Integer, Integer> countByStatus = new TreeMap<>();
        for (CompletableFuture<EmulatedClient.LookupResponse> response : responses) {
            int status = response.get(5 * BUDGET_MS, TimeUnit.MILLISECONDS).status();
            countByStatus.merge(status, 1, Integer::sum);
        }
        long retained = router.liveInstances("tinlink.router.ClientConnection");
        ended.set(true);
        int sent = flood.get(5 * BUDGET_MS, TimeUnit.MILLISECONDS);
        assertEquals(Map.of(200, USUAL_LOOKUPS), countByStatus, name + ", " + sent + " sent");
        assertTrue(
                retained <= MAX_RETAINED_CONNECTIONS,
                name + ", " + sent + " sent: " + retained + " connections in the heap");
        assertTrue(router.isUp(), router.output());
    }

    /** Sends requests until told to end, on a new connection after each close. @return their number */
    private static int flood(
            RouterUnderTest router, IntFunction<String> requests, AtomicBoolean ended) {
        int sent = 0;
        while (!ended.get()) {
            try (Socket client = router.connect(new byte[0])) {
                while (!ended.get() && sendBatch(client, requests, sent)) {
                    sent += PIPELINED;
                }
                sent += PIPELINED;
            } catch (IOException e) {
                sent += PIPELINED; // The router has closed the connection, and another is opened.
            }
        }
        return sent;
    }

    /** Sends some requests and reads as many responses. @return false if the connection has ended */
    private static boolean sendBatch(Socket client, IntFunction<String> requests, int first)
            throws IOException {
        StringBuilder batch = new StringBuilder();
        for (int i = 0; i < PIPELINED; i++) {
            batch.append(requests.apply(first + i));
        }
        client.getOutputStream().write(batch.toString().getBytes(StandardCharsets.US_ASCII));
        InputStream responses = client.getInputStream();
        byte[] buffer = new byte[READ_BYTES];
        StringBuilder received = new StringBuilder();
        while (received.toString().split("HTTP/1.1 ", -1).length <= PIPELINED) {
            int count = responses.read(buffer);
            if (count < 0) {
                return false;
            }
            received.append(new String(buffer, 0, count, StandardCharsets.US_ASCII));
        }
        return true;
    }
}

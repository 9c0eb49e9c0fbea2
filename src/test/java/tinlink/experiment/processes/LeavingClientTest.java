package tinlink.experiment.processes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** Clients that close their connection with many requests unread, and send the same ids again. */
class LeavingClientTest {
    private static final long SEED = 63;
    private static final int CLIENTS = 100;
    private static final int LOOKUPS_PER_CLIENT = 200;
    /** The first lookup, and another where the first is answered before the close is read. */
    private static final int MAX_BEGUN_PER_CLIENT = 2;

    private static final int SHARDS = 2;
    /** Time for whatever is in flight to end. */
    private static final long SETTLE_MS = 500;

    /** Guards against requests that are sent on after their client has left, and ids that run twice. */
    @Test
    @Timeout(60)
    void requestsBehindTheFirstAreNotSentForAClientThatHasLeft(@TempDir Path folder)
            throws Exception {
        try (RouterUnderTest router = new RouterUnderTest(folder, SEED)) {
            for (int round = 0; round < 2; round++) {
                for (int client = 0; client < CLIENTS; client++) {
                    sendAndLeave(router, client);
                }
                Thread.sleep(SETTLE_MS);
            }
            int begun = 0;
            for (int client = 0; client < CLIENTS; client++) {
                for (int i = 0; i < LOOKUPS_PER_CLIENT; i++) {
                    int runs = mostRuns(router, callId(client, i));
                    assertTrue(runs <= 1, callId(client, i) + " ran " + runs + " times");
                    begun += runs;
                }
            }
            assertTrue(
                    begun <= CLIENTS * MAX_BEGUN_PER_CLIENT,
                    begun + " lookups were begun for clients that had left");
            assertEquals(200, router.lookup("usual", 1000).get().status());
        }
    }

    private static String callId(int client, int number) {
        return "left-" + client + "-" + number;
    }

    private static int mostRuns(RouterUnderTest router, String callId) {
        int most = 0;
        for (int shard = 0; shard < SHARDS; shard++) {
            most = Math.max(most, router.runs().runsOf(callId + "." + shard).size());
        }
        return most;
    }

    private static void sendAndLeave(RouterUnderTest router, int client) throws IOException {
        StringBuilder requests = new StringBuilder();
        String body = "{\"segments\":[{\"segment\":0,\"boost\":0.5},"
                + "{\"segment\":1,\"boost\":0.5}],\"text\":\"t\"}";
        for (int i = 0; i < LOOKUPS_PER_CLIENT; i++) {
            requests.append("POST /api HTTP/1.1\r\nHost: a\r\nX-Call-Id: " + callId(client, i)
                    + "\r\nX-Call-Class: find\r\nX-Budget-Ms: 2000\r\nContent-Length: "
                    + body.length() + "\r\n\r\n" + body);
        }
        try (Socket socket =
                router.connect(requests.toString().getBytes(StandardCharsets.US_ASCII))) {
            socket.setSoLinger(client % 2 == 0, 0);
        }
    }
}

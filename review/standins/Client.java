import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CopyOnWriteArrayList;

/** Clients of one router by the protocol page: a new id for every request, each waits for its budget. */
final class Client {
    static final int BUDGET_MS = 3000;

    /** A request and its answer; status 0 where the connection broke or was not made, -1 past the time. */
    record Answer(String id, String index, long sentMs, long tookMs, int status, String body) {}

    final List<Answer> answers = new CopyOnWriteArrayList<>();
    private final String address;
    private final Record record;

    Client(String address, Record record) {
        this.address = address;
        this.record = record;
    }

    /** Sends one lookup of one part and waits for its answer. */
    Answer ask(String index, int shard) {
        return ask(index, shard, "abc");
    }

    Answer ask(String index, int shard, String text) {
        byte[] body = body(shard, text);
        String id = UUID.randomUUID().toString().replace("-", "").substring(0, 16);
        long sentMs = System.currentTimeMillis();
        int status;
        String answered = "";
        record.line("sent id=" + id + " index=" + index + " shard=" + shard);
        try {
            HttpURLConnection http = (HttpURLConnection)
                    URI.create("http://" + address + "/api").toURL().openConnection();
            http.setConnectTimeout(1000);
            http.setReadTimeout(BUDGET_MS + 550);
            http.setRequestMethod("POST");
            http.setRequestProperty("X-Call-Id", id);
            http.setRequestProperty("X-Call-Class", index);
            http.setRequestProperty("X-Budget-Ms", Integer.toString(BUDGET_MS));
            http.setRequestProperty("Idempotency-Key", id + id);
            http.setDoOutput(true);
            http.setFixedLengthStreamingMode(body.length);
            http.getOutputStream().write(body);
            status = http.getResponseCode();
            try (var in = status < 400 ? http.getInputStream() : http.getErrorStream()) {
                answered = in == null
                        ? ""
                        : new String(in.readAllBytes(), StandardCharsets.UTF_8).strip();
            }
        } catch (java.net.SocketTimeoutException e) {
            status = -1;
        } catch (IOException e) {
            status = 0;
        }
        Answer answer = new Answer(
                id, index, sentMs, System.currentTimeMillis() - sentMs, status, answered);
        record.line("answer id=" + id + " status=" + status + " after_ms=" + answer.tookMs() + " "
                + answered);
        answers.add(answer);
        return answer;
    }

    private static byte[] body(int shard, String text) {
        return ("{\"segments\":[{\"segment\":" + shard + ",\"boost\":1.0}],\"text\":\"" + text
                        + "\"}")
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Sends lookups, so many ms apart, until the thread that is returned is interrupted. */
    Thread load(String index, int shard, long everyMs) {
        Thread thread = Threads.daemon(() -> {
            try {
                while (true) {
                    Threads.start(() -> ask(index, shard));
                    Thread.sleep(everyMs);
                }
            } catch (InterruptedException e) {
                // The load ends.
            }
        });
        thread.start();
        return thread;
    }
}

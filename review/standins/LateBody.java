import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/** A data node over HTTP/2 hangs for some seconds while requests with an idempotency key are on their way. */
final class LateBody {
    private static final long HANG_MS = 12_000;
    private static final long WINDOW_MS = 5000;
    /** Each time limit grows by 50 ms on sockets. */
    private static final long SLACK_MS = 50;

    private LateBody() {}

    public static void main(String[] args) {
        Case.main(args, LateBody::run);
    }

    private static int run(Deployment deployment, Record record, boolean trouble) throws Exception {
        RouterProcess r1 = deployment.router("r1");
        List<Http2Node.Run> runs = new CopyOnWriteArrayList<>();
        Map<String, Long> keys = Http2Node.keys();
        List<Http2Node> nodes = new ArrayList<>();
        for (int i = 1; i <= 8; i++) {
            Http2Node node = new Http2Node("n" + i, 1, 50, WINDOW_MS, record, keys, runs);
            r1.discovery.tell(node.uid, node.address(), "a", node.cell, "in_service");
            nodes.add(node);
        }
        Http2Node n1 = nodes.get(0); // One of eight hangs, an eighth of the nodes.
        deployment.config(r1, Deployment.settings(1, "pushed", false));
        r1.file(
                "NODE_HTTP2",
                "http2.json5",
                "{nodes: [{kind: 'm', zone: 'a'}], connections: 4, first_streams: 100, "
                        + "waiting: 256, wait_ms: 100, ping_ms: 500, remember_ms: 30000}\n");
        r1.start();
        if (!r1.awaitReady(20_000)) {
            record.say("not run: r1 is not ready\n" + r1.log());
            return Case.NOT_RUN;
        }
        Client client = new Client(r1.listen, record);
        String text = "x".repeat(3000);
        for (int i = 0; i < 80; i++) {
            client.ask("pay", 1, text);
        }
        long hangsMs = System.currentTimeMillis();
        if (trouble) {
            n1.hang(true);
        }
        for (int i = 0; i < 60; i++) {
            Threads.start(() -> client.ask("pay", 1, text));
            Thread.sleep(50);
        }
        Thread.sleep(Math.max(0, hangsMs + HANG_MS - System.currentTimeMillis()));
        if (trouble) {
            n1.hang(false);
        }
        Thread.sleep(4000);
        int twice = 0;
        for (List<Http2Node.Run> same : Http2Node.repeated(runs).values()) {
            long apartMs = same.get(1).atMs() - same.get(0).atMs();
            record.line("part " + same.get(0).id() + " ran at " + same.get(0).node() + " and "
                    + apartMs + " ms later at " + same.get(1).node());
            twice += apartMs > WINDOW_MS + SLACK_MS ? 1 : 0;
        }
        long failed =
                client.answers.stream().filter(answer -> answer.status() != 200).count();
        record.say("parts of the keyed index that ran twice, over " + (WINDOW_MS + SLACK_MS)
                + " ms apart: " + twice + "; lookups " + client.answers.size() + ", without a 200: "
                + failed);
        return twice > 0 ? Case.BROKEN : Case.HELD;
    }
}

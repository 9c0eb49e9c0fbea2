import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Many requests at once, HTTP/2 nodes that allow few streams, all descriptors in use: the router hangs.
 */
public final class NoDescriptorLeft {
    private static final int CELLS = 20;
    private static final int BURST = 130;
    private static final int PARTS = 9;

    public static void main(String[] args) throws Exception {
        Kit.run(Path.of(args[0]), NoDescriptorLeft::body);
    }

    private static String body() throws Exception {
        List<DataNode> nodes = new ArrayList<>();
        for (int cell = 0; cell < CELLS; cell++) {
            for (int copy = 0; copy < 2; copy++) {
                nodes.add(new Http2Node("n" + cell + "-" + copy, cell, "z1",
                        text -> text.equals("long") ? 800 : 20, 4));
            }
        }
        Kit.Router router = new Kit.Router("r1", new Discovery("r1", nodes),
                Kit.settings(1, CELLS, 2500, 3000, 0), 256);
        router.env.put("NODE_HTTP2", router.write("http2.json5", "{nodes: [{kind: 'm'}]}"));
        router.start();
        router.awaitReady();
        for (int i = 0; i < CELLS; i++) {
            router.lookup("warm" + i, "find", 3000, null, "x", i);
        }
        if (Kit.TROUBLE) {
            for (int burst = 0; burst < 3; burst++) {
                Kit.record(BURST + " requests come at once");
                ask(router, "burst" + burst + "-", BURST);
                Thread.sleep(1500);
            }
        }
        // The usual clients.
        List<Kit.Response> usual = ask(router, "usual", 10);
        Kit.await(30_000, "the usual clients' time is over", () -> usual.size() == 10);
        long unanswered = usual.stream().filter(r -> r.status == 0).count();
        Kit.record(unanswered + " of 10 lookups of the usual clients got no answer");
        Thread.sleep(3000);
        Kit.Response ready = Kit.send(router.port(), "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n", 5000);
        Kit.record("/-/ready "
                + (ready.status == 0 ? "is not answered within 5 s" : "gives " + ready.status));
        return unanswered > 0
                ? unanswered + " of 10 lookups never answered"
                        + (ready.status == 0 ? ", the router hangs" : "")
                : "";
    }

    /** Sends lookups, each on a connection of its own; their answers are added as they come. */
    private static List<Kit.Response> ask(Kit.Router router, String name, int count) {
        List<Kit.Response> responses = Collections.synchronizedList(new ArrayList<>());
        for (int i = 0; i < count; i++) {
            String id = name + i;
            int[] shards = new int[PARTS];
            for (int part = 0; part < PARTS; part++) {
                shards[part] = (i * PARTS + part) % CELLS;
            }
            Kit.thread(() -> responses.add(router.lookup(id, "find", 3000, null, "long", shards)));
        }
        return responses;
    }
}

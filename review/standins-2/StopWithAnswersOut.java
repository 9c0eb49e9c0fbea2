import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A router that is told to end ends before the answers that it has for another site have left. */
public final class StopWithAnswersOut {
    private static final int LOOKUPS = 80;

    public static void main(String[] args) throws Exception {
        Kit.run(Path.of(args[0]), StopWithAnswersOut::body);
    }

    private static String body() throws Exception {
        DataNode node = new DataNode("b1", 1, "z1", text -> text.equals("long") ? 2100 : 20);
        DataNode own = new DataNode("a1", 0, "z1", text -> 20);
        String settings = Kit.settings(1, 2, 2500, 3000, 0);
        int port = Kit.freePort();
        Link link = new Link(port);
        link.inFlightBytes = 1 << 17;
        Kit.Router e1 = new Kit.Router("e1", new Discovery("e1", List.of(own)), settings);
        Kit.Router w1 = new Kit.Router("w1", new Discovery("w1", List.of(node)), settings);
        e1.env.put("NODE_GATEWAY", e1.write("gateway.json5", "{site: 'east', sites: [{site: 'west', routers: "
                + "[{router: 'w1', lines: ['" + link.address() + "']}]}], " + Kit.Router.KEYS + "}"));
        w1.env.put("NODE_GATEWAY", w1.write("gateway.json5", "{site: 'west', listen: '127.0.0.1:" + port
                + "', accepts: ['east'], " + Kit.Router.KEYS + "}"));
        w1.start();
        w1.awaitReady();
        e1.start();
        e1.awaitReady();
        Kit.await(10_000, "a lookup crosses the link", () -> {
            Thread.sleep(200);
            return e1.lookup("warm" + Kit.nowMs(), "find", 3000, null, "x", 1).status == 200;
        });
        // deploy/emulate.json5: 10,000 kB/s
        link.bytesPerMs = 10_000;
        node.padding = 60_000;
        List<Kit.Response> responses = new ArrayList<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < LOOKUPS; i++) {
            String id = "q" + i;
            clients.add(Kit.thread(() -> {
                Kit.Response response = e1.lookup(id, "once", 3000, null, "long", 1);
                synchronized (responses) {
                    responses.add(response);
                }
            }));
        }
        Thread.sleep(200);
        if (Kit.TROUBLE) {
            w1.signal("TERM");
        }
        for (Thread client : clients) {
            client.join();
        }
        long answered = node.runs.stream()
                .filter(r -> r.id.startsWith("q") && r.end.equals("answered"))
                .count();
        long lost = responses.stream().filter(r -> r.status != 200 && r.status != 503).count();
        Kit.record(answered + " parts were answered by their node, " + lost + " of " + LOOKUPS
                + " lookups lost");
        for (String line : (w1.logText() + e1.logText()).split("\n")) {
            if (line.contains("channel_down") || line.contains("event=stop") || line.contains("draining")) {
                Kit.record("e1: " + line);
            }
        }
        return lost == 0 ? "" : lost + " lookups in flight were not answered though their parts were";
    }
}

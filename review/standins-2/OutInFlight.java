import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A data node is reported out while a router that no longer lists it has parts in flight there. */
public final class OutInFlight {
    public static void main(String[] args) throws Exception {
        Kit.run(Path.of(args[0]), OutInFlight::body);
    }

    private static String body() throws Exception {
        List<DataNode> nodes = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            nodes.add(new DataNode("n" + i, 0, "z1", text -> text.equals("long") ? 8000 : 20));
        }
        Fleet fleet = new Fleet(nodes, 3, Kit.settings(3, 1, 9000, 12000, 0), false);
        Kit.Router r1 = fleet.routers.get(0);
        Kit.Router r2 = fleet.routers.get(1);
        fleet.awaitMachines(r2, nodes);

        // Lookups whose parts take their node eight seconds, at each node at least one.
        DataNode n1 = nodes.get(0);
        List<Thread> clients = new ArrayList<>();
        List<Kit.Response> responses = new ArrayList<>();
        for (int i = 0; i < 12 && n1.open() == 0; i++) {
            String id = "q" + i;
            clients.add(Kit.thread(() -> {
                Kit.Response response = r1.lookup(id, "once", 12000, null, "long", 0);
                synchronized (responses) {
                    responses.add(response);
                }
            }));
            Thread.sleep(100);
        }
        if (n1.open() == 0) {
            throw new Kit.CannotRun("no part went to n1");
        }

        // n1 begins to drain, and is to be taken out. Every agent tells it.
        for (Discovery discovery : fleet.discoveries) {
            discovery.leavesOutDraining = true;
            discovery.change(n1, "terminating");
        }
        Thread.sleep(500);
        if (Kit.TROUBLE) {
            fleet.discoveries.get(0).resetWatches();
        }
        Thread.sleep(1000);
        Kit.record("operator: asks r2 for n1 -> "
                + r2.operator("{\"do\":\"ask\",\"id\":\"w1\",\"machines\":[\"n1\"],\"for_ms\":60000}"));
        String[] state = {""};
        Kit.await(25_000, "n1 is out", () -> {
            String now = r2.state("w1", "n1");
            if (!now.equals(state[0])) {
                Kit.record("operator: r2 says that n1 is " + now);
                state[0] = now;
            }
            return now.equals("out");
        });
        long open = n1.open();
        Kit.record("operator: takes n1, where " + open + " parts are in flight");
        n1.stop();
        for (Thread client : clients) {
            client.join(15_000);
        }
        long lost = responses.stream().filter(r -> r.status != 200).count();
        Kit.record(lost + " lookups of " + clients.size() + " were not served");
        return open == 0 ? "" : "n1 was reported out with " + open + " parts in flight; " + lost
                + " lookups lost by that";
    }
}

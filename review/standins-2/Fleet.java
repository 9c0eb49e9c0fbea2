import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Routers of one cluster with a discovery agent each; every one votes. A link each way between any two. */
final class Fleet {
    final List<Kit.Router> routers = new ArrayList<>();
    final List<Discovery> discoveries = new ArrayList<>();
    /** By "r1>r2", what r1 calls r2 by. */
    final Map<String, Link> links = new TreeMap<>();

    Fleet(List<DataNode> nodes, int count, String settings, boolean policy) throws Exception {
        this(nodes, count, settings, policy, true);
    }

    Fleet(List<DataNode> nodes, int count, String settings, boolean policy, boolean start) throws Exception {
        List<String> names = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            names.add("r" + i);
            ports.add(Kit.freePort());
        }
        for (int i = 0; i < count; i++) {
            Discovery discovery = new Discovery(names.get(i), nodes);
            discoveries.add(discovery);
            Kit.Router router = new Kit.Router(names.get(i), discovery, settings);
            Map<String, String> reached = new TreeMap<>();
            for (int j = 0; j < count; j++) {
                if (j != i) {
                    Link link = new Link(ports.get(j));
                    links.put(names.get(i) + ">" + names.get(j), link);
                    reached.put(names.get(j), link.address());
                }
            }
            routers.add(router);
            // A router never calls itself; its own entry is there because it votes.
            reached.put(names.get(i), "127.0.0.1:" + ports.get(i));
            router.cluster(
                    "z1", ports.get(i), "127.0.0.1:" + ports.get(i), reached, names, policy, Kit.freePort());
        }
        if (start) {
            startAll();
        }
    }

    void startAll() throws Exception {
        for (Kit.Router router : routers) {
            router.start();
        }
        for (Kit.Router router : routers) {
            router.awaitServing();
            router.awaitAgreed();
        }
        Kit.record("all routers are agreed on");
    }

    /** The router that leads, by the word of each. */
    Kit.Router leader() throws Exception {
        Kit.Router[] leader = new Kit.Router[1];
        Kit.await(20_000, "all name one leader", () -> {
            for (Kit.Router candidate : routers) {
                int votes = 0;
                for (Kit.Router router : routers) {
                    votes += router.operator("{\"do\":\"router\"}")
                                    .contains("\"leader\":\"" + candidate.name + "\"") ? 1 : 0;
                }
                leader[0] = votes == routers.size() ? candidate : leader[0];
            }
            return leader[0] != null;
        });
        Kit.record("the leader is " + leader[0].name);
        return leader[0];
    }

    /** Cuts all links of a router with the others, or mends them. */
    void setCut(String router, boolean cut) {
        Kit.record((cut ? "cut: " : "mended: ") + "all links between " + router + " and other routers");
        links.forEach((ends, link) -> {
            if (ends.startsWith(router + ">") || ends.endsWith(">" + router)) {
                link.setCut(cut);
            }
        });
    }

    /** Waits until a router knows these machines. */
    void awaitMachines(Kit.Router router, List<DataNode> nodes) throws Exception {
        Kit.await(20_000, "the machines are known", () -> {
            String text = router.operator("{\"do\":\"machines\"}");
            return nodes.stream().allMatch(node -> text.contains("\"" + node.uid + "\""));
        });
    }
}

import java.util.List;

/**
 * Two sites: a cluster of three routers that follow agreed policies, and one router alone. Shard 0 is held
 * at the cluster's site, shard 1 at the other one. One router of the cluster, "linked", and the lone one
 * exchange parts.
 */
final class TwoSites {
    static final long HARD_MS = 3000;
    final DataNode near = new DataNode("a1", 0, "z1", text -> 20);
    final DataNode far = new DataNode("b1", 1, "z1", text -> 20);
    final Fleet cluster;
    final Kit.Router linked;
    final Kit.Router lone;

    /** @param fromCluster whether the cluster's router forwards to the lone one, or the other way round */
    TwoSites(boolean fromCluster) throws Exception {
        String settings = Kit.settings(3, 2, 1000, HARD_MS, 0);
        cluster = new Fleet(List.of(near), 3, settings, true, false);
        linked = cluster.routers.get(0);
        lone = new Kit.Router("w1", new Discovery("w1", List.of(far)), settings);
        int port = Kit.freePort();
        Kit.Router from = fromCluster ? linked : lone;
        Kit.Router to = fromCluster ? lone : linked;
        String fromSite = fromCluster ? "east" : "west";
        String toSite = fromCluster ? "west" : "east";
        from.env.put("NODE_GATEWAY", from.write("gateway.json5", "{site: '" + fromSite + "', sites: [{site: '"
                + toSite + "', routers: [{router: '" + to.name + "', lines: ['127.0.0.1:" + port + "']}]}], "
                + Kit.Router.KEYS + "}"));
        to.env.put("NODE_GATEWAY", to.write("gateway.json5", "{site: '" + toSite
                + "', listen: '127.0.0.1:" + port
                + "', accepts: ['" + fromSite + "'], " + Kit.Router.KEYS + "}"));
        lone.start();
        cluster.startAll();
        lone.awaitReady();
        linked.awaitReady();
        Kit.await(10_000, "a lookup crosses the link", () -> {
            Thread.sleep(200);
            int shard = fromCluster ? 1 : 0;
            return from.lookup("warm" + Kit.nowMs(), "find", HARD_MS, null, "x", shard).status == 200;
        });
    }

    /**
     * Proposes a document at one of these routers and waits until all of them have it in force and take
     * lookups by it.
     */
    static void agree(String id, int against, String document, List<Kit.Router> routers) throws Exception {
        String text = document.replace("\"", "\\\"");
        Kit.await(25_000, "policy " + id + " is in force", () -> {
            routers.get(0).operator("{\"do\":\"policy-propose\",\"id\":\"" + id + "\",\"text\":\"" + text
                    + "\",\"against\":" + against + "}");
            boolean all = true;
            for (Kit.Router router : routers) {
                String show = router.operator("{\"do\":\"policy-show\"}");
                all &= show.contains("\"epoch\":" + (against + 1) + ",\"why\":\"\"");
            }
            return all;
        });
        for (Kit.Router router : routers) {
            Kit.record("operator: policy " + id + " is in force at " + router.name);
        }
    }
}

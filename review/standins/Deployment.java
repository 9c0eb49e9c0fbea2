import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** A small deployment: routers, each with its discovery, and the files that they are started with. */
final class Deployment {
    final Path temporary = Files.createTempDirectory("review");
    final Map<String, RouterProcess> routers = new LinkedHashMap<>();
    private final Path root;
    private final Record record;

    Deployment(Path root, Record record) throws IOException {
        this.root = root;
        this.record = record;
    }

    RouterProcess router(String name) throws IOException {
        RouterProcess router = new RouterProcess(name, temporary, root, record);
        routers.put(name, router);
        return router;
    }

    /** As in deploy/example.json, with a class of each effect; shard s is in cell s mod 2. */
    static String settings(int groupSize, String discovery, boolean cancel) {
        return """
                {"family":"fanout","discovery":"%s","groupSize":%d,"zone":0,"stepMs":5.0,
                "localities":["a"],"models":["m"],
                "familyInfo":{"sets":2,"reach":1,"slabs":2,"bundleMax":4,"callMs":1.0,
                "completeFrom":[1,1,1],"minShare":[1,1,1],"incompleteWorth":[0.9,0.9,0.9],"followUp":[0,0,0]},
                "profiles":[
                {"name":"find","effect":"pure","onTimeMs":1000,"deadlineMs":3000,"worth":1},
                {"name":"pay","effect":"token","onTimeMs":1000,"deadlineMs":3000,"windowMs":5000,"worth":2},
                {"name":"once","effect":"side_effect","onTimeMs":1000,"deadlineMs":3000,"worth":2}],
                "limits":{"tryLimit":3,"secondCopies":true,"cancel":%s,"retryAfter":true,
                "maxRetryAfterMs":2000,"openCap":200,"connectTimeoutMs":250,"connIdleMs":30000,
                "streamsPerConn":100},
                "rules":{"startCapacity":0.2,"coldMs":10000,"fallMultiple":4,"fallMs":3000,
                "stopSendingWithinMs":1000},"charges":{"crossZone":0.02}}
                """.formatted(discovery, groupSize, cancel);
    }

    /** Writes the configuration of a router whose discovery has the nodes that are given. */
    void config(RouterProcess router, List<DataNode> nodes, String discovery) throws IOException {
        for (DataNode node : nodes) {
            router.discovery.tell(
                    node.uid, node.addressFor(router.name), "a", node.cell, "in_service");
        }
        config(router, settings(routers.size(), discovery, true));
    }

    /** Writes the configuration of a router with those settings and the list of its discovery. */
    void config(RouterProcess router, String settings) throws IOException {
        router.file(
                "NODE_CONFIG",
                "config.json",
                "{\"name\":\"" + router.name + "\",\"listen\":\"" + router.listen
                        + "\",\"discovery\":\"" + router.discovery.address()
                        + "\",\"seed\":\"8c1f30d27a5be964\","
                        + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                        + "\"known\":" + router.discovery.list() + ",\"settings\":"
                        + settings + "}");
    }

    /** The cluster's files, with the figures of deploy/peers.json5 and deploy/work.json5. */
    void cluster(RouterProcess router, List<String> members, List<String> voters, String zone)
            throws IOException {
        String peers = members.stream()
                .map(name -> name + ": '" + routers.get(name).peers + "'")
                .collect(Collectors.joining(", "));
        router.file(
                "NODE_PEERS",
                "peers.json5",
                "{cluster: 'main', router: '" + router.name + "', zone: '" + zone
                        + "', listen: '" + router.peers + "', at: '" + router.peers + "', folder: '"
                        + router.folder.resolve("disk") + "', peers: {" + peers + "}, voters: ['"
                        + String.join("', '", voters) + "'], " + RouterProcess.KEYS + "}\n");
        router.file(
                "NODE_WORK",
                "work.json5",
                "{sites: {main: ['" + zone + "']}, "
                        + "bounds: {holders: 1, zone_share: 0.5, site_share: 0.5, "
                        + "warm_ms: 10000, begin_ms: 30000}, "
                        + "watch: {routers: 3, probe_ms: 1000, misses: 3, old_ms: 5000, report_ms: 500}, "
                        + "policy: false, await_ms: 3000, "
                        + "control: {listen: '" + router.control + "', token: '"
                        + RouterProcess.TOKEN
                        + "', answer_ms: 5000}}\n");
    }

    /** Waits until routers know a leader and all machines. */
    static boolean awaitCluster(RouterProcess router, int machines, long mostMs)
            throws InterruptedException {
        long end = System.currentTimeMillis() + mostMs;
        while (System.currentTimeMillis() < end) {
            String told = router.control("{\"do\":\"machines\"}");
            if (told.split("\"id\":", -1).length - 1 >= machines
                    && !told.contains("\"sound\":false")) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    /** Ends the routers, and removes the temporary folder unless KEEP=1. */
    void end() throws IOException, InterruptedException {
        for (RouterProcess router : routers.values()) {
            router.end();
        }
        if (!"1".equals(System.getenv("KEEP"))) {
            try (var all = Files.walk(temporary)) {
                for (Path path : all.sorted(java.util.Comparator.reverseOrder()).toList()) {
                    Files.deleteIfExists(path);
                }
            }
        }
    }
}

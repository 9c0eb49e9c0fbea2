import java.util.List;

/** A data node leaves discovery's list and is asked for at once, while a part is in hand there. */
final class GoneInFlight {
    private GoneInFlight() {}

    public static void main(String[] args) {
        Case.main(args, GoneInFlight::run);
    }

    private static int run(Deployment deployment, Record record, boolean trouble) throws Exception {
        List<String> names = List.of("r1", "r2", "r3");
        for (String name : names) {
            deployment.router(name);
        }
        RouterProcess r1 = deployment.routers.get("r1");
        RouterProcess r2 = deployment.routers.get("r2");
        DataNode n1 = new DataNode("n1", 1, 900, record, names);
        DataNode n2 = new DataNode("n2", 1, 900, record, names);
        List<DataNode> nodes = List.of(new DataNode("n0", 0, 150, record, names), n1, n2);
        for (String name : names) {
            RouterProcess router = deployment.routers.get(name);
            deployment.config(router, nodes, "pushed");
            deployment.cluster(router, names, names, "a");
            router.start();
        }
        for (RouterProcess router : deployment.routers.values()) {
            if (!router.awaitReady(20_000)) {
                return Case.NOT_RUN;
            }
        }
        if (!Deployment.awaitCluster(r2, 6, 20_000)) {
            return Case.NOT_RUN;
        }
        Client client = new Client(r1.listen, record);
        for (int i = 0; i < 6; i++) {
            Threads.start(() -> client.ask("once", 1));
        }
        Thread.sleep(300);
        long last = n1.runs.stream().mapToLong(DataNode.Run::atMs).max().orElse(0);
        if (trouble) {
            for (String name : names) {
                deployment
                        .routers
                        .get(name)
                        .discovery
                        .tell("n1", n1.addressFor(name), "a", 1, "terminated");
            }
            Thread.sleep(20);
        }
        r2.askFor("disk-3", "n1");
        boolean out = r2.awaitState("disk-3", "n1", "out", 10_000);
        long afterMs = System.currentTimeMillis() - last;
        Thread.sleep(2000);
        record.say("out " + out + " " + afterMs + " ms after the last part began, of 900 ms; runs "
                + n1.runs.size());
        return out && afterMs < 900 ? Case.BROKEN : Case.HELD;
    }
}

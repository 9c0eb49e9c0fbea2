import java.util.List;

/** A router is started again while it is out, as discovery is down. */
final class RestartWhileOut {
    private RestartWhileOut() {}

    public static void main(String[] args) {
        Case.main(args, RestartWhileOut::run);
    }

    private static int run(Deployment deployment, Record record, boolean trouble) throws Exception {
        String kind = System.getenv().getOrDefault("DISCOVERY", "on_request");
        List<String> names = List.of("r1", "r2", "r3", "r4");
        for (String name : names) {
            deployment.router(name);
        }
        RouterProcess r1 = deployment.routers.get("r1");
        RouterProcess r2 = deployment.routers.get("r2");
        List<DataNode> nodes = List.of(
                new DataNode("n0", 0, 150, record, names),
                new DataNode("n1", 1, 150, record, names));
        for (String name : names) {
            RouterProcess router = deployment.routers.get(name);
            deployment.config(router, nodes, kind);
            deployment.cluster(router, names, List.of("r2", "r3", "r4"), "a");
            router.start();
        }
        for (RouterProcess router : deployment.routers.values()) {
            if (!router.awaitReady(20_000)) {
                record.say("not run: " + router.name + " is not ready\n" + router.log());
                return Case.NOT_RUN;
            }
        }
        if (!Deployment.awaitCluster(r2, 6, 20_000)) {
            record.say("not run: the cluster does not know all machines");
            return Case.NOT_RUN;
        }
        r2.askFor("kernel-7", "r1");
        if (!r2.awaitState("kernel-7", "r1", "out", 40_000)) {
            record.say("not run: r1 is not out within 40 s");
            return Case.NOT_RUN;
        }
        r1.kill(); // The operator restarts the machine, which is theirs at "out".
        Thread.sleep(2000);
        if (trouble) {
            r1.discovery.down(true);
            record.line("discovery is down, as r1 sees it");
        }
        r1.start();
        long startedMs = System.currentTimeMillis();
        int ready = 0;
        while (r1.isAlive() && System.currentTimeMillis() < startedMs + 15_000) {
            if (r1.ready() == 200) {
                ready++;
            }
            Thread.sleep(100);
        }
        boolean crashed = !r1.isAlive();
        record.line("log of r1:\n" + r1.log());
        record.say("r1, started again while it is out: "
                + (crashed
                        ? "has ended by itself with " + r1.exitStatus() + " after "
                                + (System.currentTimeMillis() - startedMs) + " ms"
                        : "runs")
                + "; said ready " + ready + " times; its state is now "
                + r2.stateOf("kernel-7", "r1"));
        return crashed ? Case.BROKEN : Case.HELD;
    }
}

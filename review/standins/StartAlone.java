import java.util.List;

/** A data node is taken out while a router is down; that router starts while nobody can be asked. */
final class StartAlone {
    private StartAlone() {}

    public static void main(String[] args) {
        Case.main(args, StartAlone::run);
    }

    private static int run(Deployment deployment, Record record, boolean trouble) throws Exception {
        List<String> names = List.of("r1", "r2", "r3");
        for (String name : names) {
            deployment.router(name);
        }
        RouterProcess r1 = deployment.routers.get("r1");
        RouterProcess r2 = deployment.routers.get("r2");
        RouterProcess r3 = deployment.routers.get("r3");
        DataNode n1 = new DataNode("n1", 1, 150, record, names);
        List<DataNode> nodes = List.of(
                new DataNode("n0", 0, 150, record, names),
                n1,
                new DataNode("n2", 1, 150, record, names));
        for (String name : names) {
            RouterProcess router = deployment.routers.get(name);
            deployment.config(router, nodes, "pushed");
            deployment.cluster(router, names, names, "a");
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
        Client client = new Client(r1.listen, record);
        for (int i = 0; i < 10; i++) {
            client.ask("once", 1);
        }
        if (n1.runs.isEmpty()) {
            record.say("not run: n1 got no part before");
            return Case.NOT_RUN;
        }
        if (!r1.stop(15_000)) {
            record.say("not run: r1 does not end");
            return Case.NOT_RUN;
        }
        r2.askFor("disk-3", "n1");
        if (!r2.awaitState("disk-3", "n1", "out", 40_000)) {
            record.say("not run: n1 is not out within 40 s");
            return Case.NOT_RUN;
        }
        int before = n1.runs.size();
        if (trouble) {
            r2.kill();
            r3.kill();
        }
        r1.start();
        if (!r1.awaitReady(20_000)) {
            record.say("not run: r1 is not ready again\n" + r1.log());
            return Case.NOT_RUN;
        }
        for (int i = 0; i < 30; i++) {
            client.ask("once", 1);
        }
        record.line("log of r1:\n" + r1.log());
        int after = n1.runs.size() - before;
        record.say("part calls that n1 got while it is out: " + after + "; lookups without a 200: "
                + client.answers.stream()
                        .filter(answer -> answer.status() != 200)
                        .count() + " of "
                + client.answers.size());
        return after > 0 ? Case.BROKEN : Case.HELD;
    }
}

import java.util.List;

/** One holder of a block is dead and given up by its operator, while discovery still lists it. */
final class UnknownSound {
    private UnknownSound() {}

    public static void main(String[] args) {
        Case.main(args, UnknownSound::run);
    }

    private static int run(Deployment deployment, Record record, boolean trouble) throws Exception {
        List<String> names = List.of("r1", "r2", "r3");
        for (String name : names) {
            deployment.router(name);
        }
        RouterProcess r1 = deployment.routers.get("r1");
        RouterProcess r2 = deployment.routers.get("r2");
        DataNode n1 = new DataNode("n1", 1, 50, record, names);
        DataNode n2 = new DataNode("n2", 1, 50, record, names);
        List<DataNode> nodes = List.of(
                new DataNode("n0", 0, 50, record, names),
                new DataNode("n3", 0, 50, record, names),
                n1,
                n2);
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
        if (!Deployment.awaitCluster(r2, 7, 20_000)) {
            record.say("not run: the cluster does not know all machines");
            return Case.NOT_RUN;
        }
        Client client = new Client(r1.listen, record);
        client.ask("once", 1);
        n1.die();
        long diedMs = System.currentTimeMillis();
        record.line("n1 is dead; discovery still lists it");
        while (!r2.control("{\"do\":\"machines\"}").contains("\"sound\":false")) {
            Thread.sleep(50);
        }
        record.line("n1 is known not to be sound");
        r2.askFor("disk-3", "n2");
        Thread.sleep(500);
        record.line("n2: " + r2.stateOf("disk-3", "n2"));
        if (trouble) {
            r2.askFor("gone-1", "n1");
            if (!r2.awaitState("gone-1", "n1", "out", 5000)) {
                return Case.NOT_RUN;
            }
            record.line("operator gives n1 up: "
                    + r2.control("{\"do\":\"done\",\"id\":\"gone-1\","
                            + "\"machine\":\"n1\",\"lost\":true}"));
        }
        boolean out = r2.awaitState("disk-3", "n2", "out", 6000);
        record.line("machines: " + r2.control("{\"do\":\"machines\"}"));
        long afterMs = System.currentTimeMillis() - diedMs;
        if (out) {
            n2.die(); // The operator takes it.
        }
        for (int i = 0; i < 10; i++) {
            client.ask("once", 1);
        }
        record.say("n2 is " + (out ? "out" : "not out") + " " + afterMs
                + " ms after n1 died; lookups of their block " + "without a 200: "
                + client.answers.stream()
                        .filter(answer -> answer.status() != 200)
                        .count());
        return out ? Case.BROKEN : Case.HELD;
    }
}

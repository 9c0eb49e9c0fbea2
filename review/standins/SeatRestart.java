import java.util.List;

/** A router has given its voter slot to another one and is restarted. */
final class SeatRestart {
    private SeatRestart() {}

    public static void main(String[] args) {
        Case.main(args, SeatRestart::run);
    }

    private static int run(Deployment deployment, Record record, boolean trouble) throws Exception {
        List<String> names = List.of("r1", "r2", "r3", "r4");
        for (String name : names) {
            deployment.router(name);
        }
        RouterProcess first = deployment.routers.get("r1");
        DataNode n1 = new DataNode("n1", 1, 150, record, names);
        List<DataNode> nodes = List.of(
                new DataNode("n0", 0, 150, record, names),
                n1,
                new DataNode("n2", 1, 150, record, names));
        for (String name : names) {
            RouterProcess router = deployment.routers.get(name);
            deployment.config(router, nodes, "pushed");
            deployment.cluster(router, names, List.of("r1", "r2", "r3"), "a");
            router.start();
        }
        for (RouterProcess router : deployment.routers.values()) {
            if (!router.awaitReady(20_000)) {
                record.say("not run: " + router.name + " is not ready\n" + router.log());
                return Case.NOT_RUN;
            }
        }
        if (!Deployment.awaitCluster(first, 7, 20_000)) {
            record.say("not run: the cluster does not know all machines");
            return Case.NOT_RUN;
        }
        // The voter that gives its slot away does not lead; the operator asks the one that leads.
        RouterProcess r2 = deployment.routers.get(first.leader());
        RouterProcess r1 = deployment.routers.get(r2.name.equals("r1") ? "r2" : "r1");
        record.line(r2.name + " leads; " + r1.name + " gives its slot to r4");
        if (trouble) {
            for (int i = 0;
                    i < 40 && !r2.control("{\"do\":\"router\"}").matches(".*voters[^]]*r4.*");
                    i++) {
                if (i % 10 == 0) {
                    record.line(r2.control(
                            "{\"do\":\"seat\",\"from\":\"" + r1.name + "\",\"to\":\"r4\"}"));
                }
                Thread.sleep(500);
                record.line(r2.control("{\"do\":\"router\"}"));
            }
        }
        Thread.sleep(2000);
        record.line("r1: " + r1.control("{\"do\":\"router\"}"));
        r1.stop(15_000);
        Thread.sleep(1000);
        r1.start();
        r1.awaitReady(20_000);
        for (int i = 0; i < 8; i++) {
            Thread.sleep(1000);
            record.line("r1: " + r1.control("{\"do\":\"router\"}"));
        }
        r2.askFor("disk-3", "n1");
        boolean out = r2.awaitState("disk-3", "n1", "out", 10_000);
        Client client = new Client(r1.listen, record);
        int before = n1.runs.size();
        for (int i = 0; i < 20; i++) {
            client.ask("once", 1);
        }
        record.line("r1: " + r1.log());
        record.say("out " + out + " runs at n1 " + (n1.runs.size() - before));
        return out ? Case.HELD : Case.BROKEN;
    }
}

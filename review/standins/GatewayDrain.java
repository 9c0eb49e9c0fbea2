import java.util.List;

/** A router is taken out of service while a router of another site forwards parts to it. */
final class GatewayDrain {
    /** For what the operator was told and what is on its way to cross. */
    private static final long SLACK_MS = 1000;

    private GatewayDrain() {}

    public static void main(String[] args) {
        Case.main(args, GatewayDrain::run);
    }

    private static int run(Deployment deployment, Record record, boolean trouble) throws Exception {
        List<String> east = List.of("e1", "e2", "e3", "e4");
        for (String name : east) {
            deployment.router(name);
        }
        RouterProcess w1 = deployment.router("w1");
        RouterProcess e1 = deployment.routers.get("e1");
        RouterProcess e2 = deployment.routers.get("e2");
        List<DataNode> nodes = List.of(
                new DataNode("n1", 1, 150, record, east), new DataNode("n2", 1, 150, record, east));
        DataNode westNode = new DataNode("n0", 0, 150, record, List.of("w1"));
        for (String name : east) {
            RouterProcess router = deployment.routers.get(name);
            deployment.config(router, nodes, "pushed");
            deployment.cluster(router, east, List.of("e2", "e3", "e4"), "a");
        }
        for (RouterProcess router : List.of(e1, e2)) {
            router.file(
                    "NODE_GATEWAY",
                    "gateway.json5",
                    "{site: 'east', router: '" + router.name + "', listen: '" + router.gateway
                            + "', accepts: ['west'], " + RouterProcess.KEYS + "}\n");
        }
        deployment.config(w1, List.of(westNode), "pushed");
        w1.file(
                "NODE_GATEWAY",
                "gateway.json5",
                "{site: 'west', router: 'w1', sites: [{site: 'east', routers: ["
                        + "{router: 'e1', lines: ['" + e1.gateway + "']}, {router: 'e2', lines: ['"
                        + e2.gateway
                        + "']}]}], " + RouterProcess.KEYS + "}\n");
        for (RouterProcess router : deployment.routers.values()) {
            router.start();
        }
        for (RouterProcess router : deployment.routers.values()) {
            if (!router.awaitReady(20_000)) {
                record.say("not run: " + router.name + " is not ready\n" + router.log());
                return Case.NOT_RUN;
            }
        }
        if (!Deployment.awaitCluster(e2, 6, 20_000)) {
            record.say("not run: the cluster does not know all machines");
            return Case.NOT_RUN;
        }
        Client west = new Client(w1.listen, record);
        for (int i = 0; i < 100 && west.ask("find", 1).status() != 200; i++) {
            Thread.sleep(100); // The channels between the sites come up.
        }
        west.answers.clear();
        Thread load = west.load("once", 1, 60);
        Thread.sleep(6000);
        long before = runsBy("e1", nodes, 0, Long.MAX_VALUE);
        if (before == 0 || runsBy("e2", nodes, 0, Long.MAX_VALUE) == 0) {
            record.say("not run: parts are not forwarded to both routers");
            return Case.NOT_RUN;
        }
        long outMs = Long.MAX_VALUE;
        if (trouble) {
            e2.askFor("kernel-7", "e1");
            if (!e2.awaitState("kernel-7", "e1", "out", 40_000)) {
                record.say("not run: e1 is not out within 40 s");
                return Case.NOT_RUN;
            }
            outMs = System.currentTimeMillis();
            record.line("operator has been told that e1 is out");
        }
        Thread.sleep(5000);
        if (trouble) {
            e1.kill(); // The operator takes the machine, which is theirs at "out".
        }
        Thread.sleep(3000);
        load.interrupt();
        Thread.sleep(Client.BUDGET_MS + 1000);
        long later = trouble ? runsBy("e1", nodes, outMs + SLACK_MS, Long.MAX_VALUE) : 0;
        long cutOff = outMs + SLACK_MS;
        long failed = west.answers.stream() // A 503 is a refusal, which harms nobody.
                .filter(answer -> answer.status() != 200 && answer.status() != 503)
                .filter(answer -> !trouble || answer.sentMs() > cutOff)
                .peek(answer -> record.line("failed id=" + answer.id() + " status="
                        + answer.status() + " " + answer.body()))
                .count();
        record.say("parts run by e1 before: " + before + ", begun over " + SLACK_MS
                + " ms after it was reported out: " + later + "; lookups of the other site"
                + (trouble ? " sent after that" : "") + " that failed: " + failed
                + " of " + west.answers.size() + " in all");
        return later > 0 || (!trouble && failed > 0) ? Case.BROKEN : Case.HELD;
    }

    private static long runsBy(String router, List<DataNode> nodes, long fromMs, long toMs) {
        return nodes.stream()
                .flatMap(node -> node.runs.stream())
                .filter(run ->
                        run.router().equals(router) && run.atMs() > fromMs && run.atMs() < toMs)
                .count();
    }
}

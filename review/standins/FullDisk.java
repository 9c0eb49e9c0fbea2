import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** The disk of one voter is full; a data node is asked for after that. */
final class FullDisk {
    private FullDisk() {}

    public static void main(String[] args) {
        Case.main(args, FullDisk::run);
    }

    private static int run(Deployment deployment, Record record, boolean trouble) throws Exception {
        List<String> names = List.of("r1", "r2", "r3");
        for (String name : names) {
            deployment.router(name);
        }
        RouterProcess r1 = deployment.routers.get("r1");
        RouterProcess r2 = deployment.routers.get("r2");
        DataNode n1 = new DataNode("n1", 1, 50, record, names);
        List<DataNode> nodes = List.of(
                new DataNode("n0", 0, 50, record, names),
                n1,
                new DataNode("n2", 1, 50, record, names));
        for (String name : names) {
            RouterProcess router = deployment.routers.get(name);
            deployment.config(router, nodes, "pushed");
            deployment.cluster(router, names, names, "a");
        }
        if (trouble) {
            Path file = Path.of(r1.env.get("NODE_PEERS"));
            Files.writeString(
                    file, Files.readString(file).replace("{cluster:", "{disk_mb: 1, cluster:"));
        }
        for (RouterProcess router : deployment.routers.values()) {
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
        for (int i = 0; i < 40; i++) {
            String answer = r2.control(
                    "{\"do\":\"ask\",\"id\":\"long-" + i + "\",\"machines\":[\"nobody\"],"
                            + "\"for_ms\":1000,\"why\":\"" + "x".repeat(50_000) + "\"}");
            record.line("long request " + i + ": "
                    + answer.substring(0, Math.min(100, answer.length())));
        }
        Client client = new Client(r1.listen, record);
        r2.askFor("disk-3", "n1");
        boolean out = r2.awaitState("disk-3", "n1", "out", 30_000);
        int before = n1.runs.size();
        for (int i = 0; i < 20; i++) {
            client.ask("once", 1);
        }
        record.line("r1: " + r1.control("{\"do\":\"router\"}"));
        record.line("r2: " + r2.control("{\"do\":\"router\"}"));
        record.line("log of r1:\n" + r1.log());
        record.say("n1 is " + (out ? "out" : "not out after 30 s")
                + "; part calls that r1 sent there after that: " + (n1.runs.size() - before));
        return out && n1.runs.size() == before ? Case.HELD : Case.BROKEN;
    }
}

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A router that is started again while it is cut off from the others sends to a machine that is out. */
public final class StartWhileCutOff {
    public static void main(String[] args) throws Exception {
        Kit.run(Path.of(args[0]), StartWhileCutOff::body);
    }

    private static String body() throws Exception {
        List<DataNode> nodes = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            nodes.add(new DataNode("n" + i, 0, "z1", text -> 20));
        }
        DataNode n1 = nodes.get(0);
        Fleet fleet = new Fleet(nodes, 3, Kit.settings(3, 1, 1000, 3000, 0), false);
        // A router that does not lead is restarted, the operator asks another one.
        Kit.Router r1 = fleet.leader();
        Kit.Router r3 = fleet.routers.stream().filter(r -> r != r1).findFirst().orElseThrow();
        fleet.awaitMachines(r1, nodes);
        r3.lookup("a0", "find", 3000, null, "x", 0);

        // A planned restart; its disk stays.
        r3.signal("TERM");
        Kit.await(20_000, r3.name + " ends", () -> !r3.process.isAlive());
        Kit.record(r3.name + " has ended");
        Thread.sleep(1500);
        if (Kit.TROUBLE) {
            fleet.setCut(r3.name, true);
        }
        long cutMs = Kit.nowMs();
        r3.start();
        Kit.record("operator: asks " + r1.name + " for n1 -> "
                + r1.operator("{\"do\":\"ask\",\"id\":\"w1\",\"machines\":[\"n1\"],\"for_ms\":60000}"));
        String[] state = {""};
        Kit.await(20_000, "n1 is out", () -> {
            String now = r1.state("w1", "n1");
            if (!now.equals(state[0])) {
                Kit.record("operator: " + r1.name + " says that n1 is " + now);
                state[0] = now;
            }
            return now.equals("out");
        });
        long outMs = Kit.nowMs();
        r3.awaitReady();
        for (int i = 0; i < 20; i++) {
            r3.lookup("b" + i, "find", 3000, null, "x", 0);
        }
        Kit.record("the cut has lasted " + (Kit.nowMs() - cutMs) + " ms");
        fleet.setCut(r3.name, false);
        Kit.record("operator: " + r1.name + " says that n1 is " + r1.state("w1", "n1"));
        long sent = n1.runs.stream().filter(run -> run.arrivedMs > outMs).count();
        return sent == 0 ? "" : sent + " parts were sent to n1 while it was out";
    }
}

import java.nio.file.Path;
import java.util.List;

/** A router whose lease has expired takes lookups that another site forwards. */
public final class FencedRouter {
    public static void main(String[] args) throws Exception {
        Kit.run(Path.of(args[0]), FencedRouter::body);
    }

    private static String body() throws Exception {
        TwoSites sites = new TwoSites(false);
        Kit.Router linked = sites.linked;
        List<Kit.Router> others = sites.cluster.routers.subList(1, 3);
        String fence = "\"absent\":{\"rule\":\"fence\",\"lease_ms\":2000}";
        TwoSites.agree("fence-1", 0, "{" + fence + "}", sites.cluster.routers);
        Thread.sleep(1000);
        if (Kit.TROUBLE) {
            sites.cluster.setCut(linked.name, true);
            Kit.await(10_000, "the lease of " + linked.name + " has expired", () -> !linked.isReady());
        }
        // The others go on: from here on lookups are to be taken by the second policy.
        TwoSites.agree("more-time-2", 1, "{\"indexes\":{\"once\":{\"soft_ms\":1500}}," + fence + "}", others);
        Thread.sleep(500);
        int before = sites.near.runs.size();
        int taken = 0;
        int fenced = 0;
        for (int i = 0; i < 5; i++) {
            fenced += linked.lookup("own" + i, "find", TwoSites.HARD_MS, null, "x", 0).status == 503 ? 1 : 0;
            int ran = sites.near.runs.size();
            sites.lone.lookup("f" + i, "once", TwoSites.HARD_MS, null, "x", 0);
            taken += sites.near.runs.size() - ran;
        }
        Kit.record(linked.name + " ran " + taken + " parts of the other site, and answered " + fenced
                + " of 5 of its own clients with 503; " + linked.operator("{\"do\":\"policy-show\"}"));
        return taken > 0 && fenced == 5
                ? linked.name + " has no lease and knows nothing of the policy in force, and took " + taken
                        + " lookups of another site"
                : "";
    }
}

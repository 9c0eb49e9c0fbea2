import java.nio.file.Path;

/** After an agreed change of policy no part of a class that it names crosses to the other site any more. */
public final class PolicyAcrossSites {
    public static void main(String[] args) throws Exception {
        Kit.run(Path.of(args[0]), PolicyAcrossSites::body);
    }

    private static String body() throws Exception {
        TwoSites sites = new TwoSites(true);
        if (Kit.TROUBLE) {
            TwoSites.agree(
                    "more-time-1",
                    0,
                    "{\"indexes\":{\"find\":{\"soft_ms\":1200},\"once\":{\"soft_ms\":1200}}}",
                    sites.cluster.routers);
        }
        int lost = 0;
        int asked = 0;
        int before = sites.far.runs.size();
        for (int i = 0; i < 4; i++) {
            lost += served(sites.linked.lookup("l" + i, "find", TwoSites.HARD_MS, null, "x", 0));
            lost += served(sites.linked.lookup("f" + i, "find", TwoSites.HARD_MS, null, "x", 1));
            lost += served(sites.linked.lookup("o" + i, "once", TwoSites.HARD_MS, null, "x", 1));
            asked += 3;
        }
        long arrived = sites.far.runs.size() - before;
        Kit.record(lost + " of " + asked + " lookups not served; " + arrived
                + " parts reached the other site");
        return lost == 0
                ? ""
                : lost + " of " + asked + " accepted lookups were not run, though both sites are whole";
    }

    private static int served(Kit.Response response) {
        return response.status == 200 ? 0 : 1;
    }
}

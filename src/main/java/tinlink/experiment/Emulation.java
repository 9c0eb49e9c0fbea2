package tinlink.experiment;

import tinlink.config.ConfigFile;
import tinlink.emulator.EmulatedLink;
import tinlink.emulator.EmulatedNode;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Two whole sites that stay up, to be tried by hand; told by a file like deploy/emulate.json5. */
public final class Emulation {
    private Emulation() {}

    /** Until interrupted. */
    public static int run(String file) throws IOException, InterruptedException {
        TwoSites.Plan plan = plan(ConfigFile.of(file));
        try (TwoSites world = new TwoSites(plan)) {
            System.out.println(
                    world.joined(10_000)
                            ? "Both sites are up and see each other."
                            : "Both sites are up; some line is not.");
            for (TwoSites.RunningRouter r : world.routers.values()) {
                System.out.println(
                        "  router " + r.name + " of site " + r.site.name + " at " + r.address());
            }
            world.sites
                    .values()
                    .forEach(s -> System.out.println("  site " + s.name + " holds shards "
                            + s.nodes.stream().map(n -> n.cell).distinct().toList()));
            TwoSites.RunningRouter first = world.routers.values().iterator().next();
            int last = plan.allCells() - 1;
            System.out.println("Shard " + last + " is asked of " + first.name
                    + " by\n  curl -i http://127.0.0.1:"
                    + first.address().getPort()
                    + "/api -H 'X-Call-Id: q1' -H 'X-Call-Class: search' -H 'X-Budget-Ms: "
                    + "2000' \\\n    -d '{\"segments\":[{\"segment\":0,\"boost\":0.5},{\"segment\":"
                    + last
                    + ",\"boost\":0.5}],\"text\":\"abc\"}'\nInterrupt to end.");
            Thread.currentThread().join();
            return 0;
        }
    }

    private static TwoSites.Plan plan(ConfigFile f) {
        Map<String, List<Integer>> cells = new LinkedHashMap<>();
        int shards = f.integer("shards", 6, 1, 4096);
        int copies = f.integer("copies", 2, 1, 16);
        for (ConfigFile s : f.objects("sites")) {
            int from = s.integer("from", 0, 0, shards - 1);
            int to = s.integer("to", shards - 1, from, shards - 1);
            List<Integer> held = new ArrayList<>();
            for (int i = from; i <= to; i++) {
                for (int c = 0; c < copies; c++) {
                    held.add(i);
                }
            }
            cells.put(s.text("site"), held);
        }
        if (cells.size() != 2
                || cells.keySet().stream().map(n -> n.charAt(0)).distinct().count() != 2) {
            throw f.invalid("sites", "are not two whose names begin with letters of their own");
        }
        ConfigFile line = f.object("line");
        long delay = line.micros("delay_ms", 20, 0, 10_000);
        long jitter = line.micros("jitter_ms", 2, 0, 10_000);
        long kb = line.integer("kb_per_s", 10_000, 1, 1_000_000);
        EmulatedLink.LinkConditions way = new EmulatedLink.LinkConditions(delay, jitter, 1000 * kb);
        ConfigFile work = f.object("nodes");
        TwoSites.Plan plan = new TwoSites.Plan(
                cells,
                shards,
                f.integer("routers", 2, 1, 16),
                f.integer("lines", 1, 1, 16),
                way,
                way,
                new EmulatedNode.ServiceModel(
                        work.integer("cores", 4, 1, 1024),
                        work.integer("queue", 64, 1, 65_536),
                        work.micros("median_ms", 5, 0.01, 60_000),
                        work.number("sigma", 0.5, 0.01, 3)),
                TwoSites.LIMITS,
                profile("search", "pure") + "," + profile("book", "token") + ","
                        + profile("charge", "side_effect"),
                "\"completeFrom\":[0.67,1,1],\"minShare\":[0.3,1,1],\"incompleteWorth\":[0.5,0,0]",
                "",
                f.text("http2", ""),
                f.integer("port", 8080, 0, 65_000),
                f.integer("seed", 1, 0, Integer.MAX_VALUE));
        f.rejectUnknownKeys();
        return plan;
    }

    private static String profile(String name, String effect) {
        return "{\"name\":\"" + name + "\",\"effect\":\"" + effect
                + "\",\"onTimeMs\":2000,\"deadlineMs\":3000,\"windowMs\":1500,\"worth\":1,\"lateWorth\":0.3}";
    }
}

package tinlink.experiment.scale;

import java.util.List;
import java.util.stream.IntStream;

/**
 * How many routers there are and how they are spread.
 *
 * @param routers in all, real and hollow
 * @param voters of them, hollow, each in a process of its own
 * @param alone ordinary hollow routers, each in a process of its own, so that its heap can be told
 * @param real ordinary routers in processes of their own, started as an operator starts them
 * @param perProcess the other hollow routers in one process
 * @param nodes data nodes on each hollow router's list
 */
record ControlPlan(
        long seed, int routers, int voters, int alone, int real, int perProcess, int nodes) {
    private static final int ZONES = 7;
    private static final int SITES = 3;

    ControlPlan {
        if (routers < voters + alone + real) {
            throw new IllegalArgumentException(routers + " routers are fewer than " + voters
                    + " voters, " + alone + " alone and " + real + " real ones");
        }
    }

    List<String> voterNames() {
        return names(0, voters);
    }

    List<String> aloneNames() {
        return names(voters, voters + alone);
    }

    List<String> realNames() {
        return names(voters + alone, voters + alone + real);
    }

    /** Those that share processes. */
    List<String> sharedNames() {
        return names(voters + alone + real, routers);
    }

    private static List<String> names(int from, int to) {
        return IntStream.range(from, to).mapToObj(i -> "r" + i).toList();
    }

    static String zone(int number) {
        return "z" + number % ZONES;
    }

    /** The zones of each site, as {@code work.json5} has them. */
    static String sites() {
        StringBuilder all = new StringBuilder();
        for (int site = 0; site < SITES; site++) {
            int of = site;
            List<String> zones = IntStream.range(0, ZONES)
                    .filter(z -> z % SITES == of)
                    .mapToObj(z -> "'z" + z + "'")
                    .toList();
            all.append(site == 0 ? "" : ", ")
                    .append('s')
                    .append(site)
                    .append(": ")
                    .append(zones);
        }
        return "{" + all + "}";
    }
}

package tinlink.experiment.scale;

import org.apache.commons.math3.stat.descriptive.rank.Percentile;

import tinlink.experiment.simulation.ControlSimulation;
import tinlink.experiment.simulation.ControlSimulation.Changed;
import tinlink.experiment.simulation.ControlSimulation.Outcome;
import tinlink.experiment.simulation.ControlSimulation.Role;
import tinlink.experiment.simulation.ControlSimulation.Traffic;
import tinlink.experiment.simulation.MembershipSimulation;
import tinlink.experiment.simulation.MessageKind;

import java.io.IOException;
import java.nio.file.Path;
import java.time.LocalDate;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.IntStream;

/**
 * What control costs by number of routers, in simulated time: plays {@link ControlSimulation} and
 * {@link MembershipSimulation} at several sizes and seeds, prints how each cost grows, and saves the values.
 */
public final class SimulatedControlExperiment {
    private static final Logger LIBRARY = Logger.getLogger("io.microraft");
    /** Routers and data nodes of the deployment that is planned for. */
    private static final int PLANNED_ROUTERS = 560;

    private static final int PLANNED_NODES = 3100;
    private static final double DOWN_SHARE = 0.02;
    private static final int CHANGES = 2;
    private static final int FEW_ROUTERS = 20;
    private static final int FEW_VOTERS = 5;
    private static final int VOTERS = 7;
    private static final double US_A_MS = 1000;
    private static final Map<Role, String> ROLES =
            Map.of(Role.LEADER, "leader", Role.VOTER, "voter", Role.ROUTER, "query-router.control");

    private final long seed;
    private final int repeats;
    private final List<Integer> sizes;
    private final Path out;
    private final Map<String, Measurement> measurements = new LinkedHashMap<>();
    private final List<String> violations = new ArrayList<>();

    /**
     * @param repeats seeds from {@code seed} on that each size is played with
     * @param sizes numbers of routers
     * @param out the file of results
     */
    public SimulatedControlExperiment(long seed, int repeats, List<Integer> sizes, Path out) {
        this.seed = seed;
        this.repeats = repeats;
        this.sizes = List.copyOf(sizes);
        this.out = out;
    }

    /** Whether all changes took hold as they have to. */
    public boolean run() throws IOException {
        LIBRARY.setLevel(Level.OFF); // What it says of lost messages is the purpose here.
        for (int routers : sizes) {
            IntStream.range(0, repeats)
                    .parallel()
                    .mapToObj(i -> SimulatedRun.of(seed + i, routers))
                    .toList()
                    .forEach(this::add);
        }
        measurements.values().forEach(this::print);
        violations.forEach(v -> System.out.println("violation: " + v));
        new ResultFile(
                        LocalDate.now(ZoneOffset.UTC).toString(),
                        seed,
                        Runtime.getRuntime().availableProcessors(),
                        notes(),
                        List.copyOf(measurements.values()))
                .save(out);
        System.out.printf(
                Locale.ROOT,
                "scale-sim: sizes=%s repeats=%d violations=%d   %s%n",
                sizes,
                repeats,
                violations.size(),
                violations.isEmpty() ? "RULES KEPT" : "RULES BROKEN");
        return violations.isEmpty();
    }

    /** Both plays of one seed and size, and how long they took. */
    private record SimulatedRun(
            long seed,
            int routers,
            Outcome control,
            MembershipSimulation.Idle membership,
            double seconds) {
        static SimulatedRun of(long seed, int routers) {
            int nodes = Math.round((float) routers * PLANNED_NODES / PLANNED_ROUTERS);
            int voters = routers < FEW_ROUTERS ? FEW_VOTERS : VOTERS;
            long from = System.nanoTime();
            Outcome control = ControlSimulation.play(
                    seed, new ControlSimulation.Size(routers, voters, nodes, DOWN_SHARE, CHANGES));
            MembershipSimulation.Idle membership = MembershipSimulation.idle(seed, routers);
            return new SimulatedRun(
                    seed, routers, control, membership, (System.nanoTime() - from) / 1e9);
        }
    }

    private void add(SimulatedRun played) {
        int routers = played.routers();
        Outcome control = played.control();
        MembershipSimulation.Idle membership = played.membership();
        control.violations()
                .forEach(v ->
                        violations.add("routers=" + routers + " seed=" + played.seed() + ": " + v));
        for (Role role : control.idle().keySet()) {
            String name = ROLES.get(role);
            idle(name, routers, control.idle().get(role), membership);
            change(name, routers, control.change().get(role));
        }
        String router = ROLES.get(Role.ROUTER);
        add(router, "state entries", "1", routers, control.stateEntries());
        add(router, "state bytes", "B", routers, control.stateBytes());
        add(router, "lines agreed a change", "1", routers, (double) control.linesAChange());
        add(
                router,
                "membership time to join all at once",
                "ms",
                routers,
                membership.joinedUs() / US_A_MS);
        add(router, "membership bytes to join all at once", "B", routers, (double)
                membership.joining().bytes());
        times("", routers, control.allThere());
        times(", 2% down", routers, control.someDown());
        times(", region cut off", routers, control.regionCut());
        System.out.printf(
                Locale.ROOT,
                "routers=%d seed=%d steps=%d digest=%016x seconds=%.1f%n",
                routers,
                played.seed(),
                control.steps(),
                control.digest(),
                played.seconds());
    }

    private void idle(
            String role, int routers, Traffic idle, MembershipSimulation.Idle membership) {
        add(role, "messages a second", "1/s", routers, idle.messages() + membership.messages());
        add(role, "bytes a second", "B/s", routers, idle.bytes() + membership.bytes());
        add(
                role,
                "bytes a second, costliest",
                "B/s",
                routers,
                idle.mostBytes() + membership.bytes());
        add(
                role,
                kind("bytes a second", MessageKind.MEMBERSHIP),
                "B/s",
                routers,
                membership.bytes());
        idle.byKind()
                .forEach((kind, load) ->
                        add(role, kind("bytes a second", kind), "B/s", routers, load.bytes()));
    }

    private void change(String role, int routers, Traffic change) {
        add(role, "messages a change", "1", routers, change.messages());
        add(role, "bytes a change", "B", routers, change.bytes());
    }

    private static String kind(String cost, MessageKind kind) {
        return cost + ", " + kind.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    private void times(String trouble, int routers, Changed changed) {
        if (changed.timesUs().isEmpty()) {
            return; // With so few routers the cut would leave no majority.
        }
        Percentile times = new Percentile();
        times.setData(changed.timesUs().stream().mapToDouble(us -> us / US_A_MS).toArray());
        String router = ROLES.get(Role.ROUTER);
        add(router, "time to in force p50" + trouble, "ms", routers, times.evaluate(50));
        add(router, "time to in force p99" + trouble, "ms", routers, times.evaluate(99));
    }

    private void add(String role, String cost, String unit, int routers, double value) {
        String command = "lab scale-sim --seed " + seed + " --repeats " + repeats;
        Measurement none = new Measurement(
                role, cost, unit, "routers", Measurement.Source.SIMULATED, command, List.of());
        measurements.merge(
                none.key(),
                none.with(routers, value),
                (known, added) -> known.with(routers, value));
    }

    private void print(Measurement measurement) {
        StringBuilder line = new StringBuilder(String.format(
                Locale.ROOT,
                "%-21s %-38s %-4s",
                measurement.role(),
                measurement.cost(),
                measurement.unit()));
        for (int routers : sizes) {
            double mean = measurement.points().stream()
                    .filter(p -> p.size() == routers)
                    .mapToDouble(Measurement.Point::value)
                    .average()
                    .orElse(Double.NaN);
            line.append(String.format(Locale.ROOT, " %d: %.0f", routers, mean));
        }
        if (measurement.sizes() >= GrowthFit.LEAST_SIZES) {
            line.append("  grows as ").append(GrowthFit.of(measurement).law().title());
        }
        System.out.println(line);
    }

    private static List<String> notes() {
        return List.of(
                "Simulated time: the real choices and the real agreement (MicroRaft) over a "
                        + "simulated network of 3 regions and 7 zones; 15 to 40 ms and 0.5% loss "
                        + "between regions, 0.3 to 1.5 ms within one, 0.1 to 0.4 ms within a zone. No "
                        + "processor time, no sockets.",
                "Messages and bytes are those sent and received together, with frames and "
                        + "seals, without the headers of TCP and IP. Messages of the agreement are "
                        + "made and read by RaftCodec, lines by Words, reports by Lead; the frames "
                        + "around them, and the membership's messages, are counted by the format of "
                        + "docs/protocol-peers.md. Handshakes and connects to probe machines are not "
                        + "counted.",
                "Pacing as by default in service: beat 250 ms, reports 500 ms, membership "
                        + "rounds 500 ms; leases 3 s (rule fence) with a confirmation each 250 ms. "
                        + "Data nodes in proportion: 3,100 at 560 routers. Each router reports its "
                        + "whole list of data nodes each 2 s, as in service.",
                "A change is one document of 1,000 characters under the rule fence, with "
                        + "hold 1 s and clock error 50 ms; its cost is what goes beyond the idle "
                        + "traffic in 10 s from the proposal, of the kinds agreement, learned, "
                        + "propose, proposed. Its agreement and its delivery to routers that do not "
                        + "vote are played, not estimated.",
                "Times are by router that is up and reachable, from the proposal to its "
                        + "taking lookups by the new policy. All do so at one agreed instant, so p50 "
                        + "and p99 differ between changes alone.",
                "Membership is a play of its own on lossless paths, each router knowing "
                        + "three others at the start; its idle traffic is added to messages and bytes "
                        + "a second of each role.");
    }
}

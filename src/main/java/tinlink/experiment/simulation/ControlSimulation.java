package tinlink.experiment.simulation;

import static tinlink.experiment.simulation.Simulation.MS;
import static tinlink.experiment.simulation.Simulation.SEC;

import tinlink.cluster.consensus.LineCodec;
import tinlink.policy.rollout.AbsencePolicy;
import tinlink.policy.rollout.PolicyChange;
import tinlink.policy.rollout.PolicyCommand;
import tinlink.policy.rollout.PolicyCommandCodec;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * What control costs by number of routers, in simulated time: messages and bytes by role when nothing
 * changes, and for a change of policy, and how long a change takes until it is in force, with all
 * routers there, some down, and a region cut off. Agreement, learning and changes are the real code's,
 * and so are their messages; reports are made by the real code and counted.
 */
public final class ControlSimulation {
    /**
     * The size of a simulated fleet and what happens to it.
     *
     * @param routers of them {@code voters} vote
     * @param nodes data nodes that are listed and watched
     * @param downShare of the ordinary routers that are down in the second part
     * @param changes in each part
     */
    public record Size(int routers, int voters, int nodes, double downShare, int changes) {}

    /** Who a router is in control. */
    public enum Role {
        /** The voter that leads. */
        LEADER,
        /** Another one that votes. */
        VOTER,
        /** One that does not. */
        ROUTER
    }

    /** What one router sends and receives of one kind, the mean over its role. */
    public record Load(double messages, double bytes) {}

    /**
     * What one role's router sends and receives: the mean over all of the role, and the costliest.
     *
     * @param routers in that role
     */
    public record Traffic(
            int routers,
            double messages,
            double bytes,
            double mostBytes,
            Map<MessageKind, Load> byKind) {}

    /**
     * Changes under one kind of trouble.
     *
     * @param timesUs by router that was there and by change, from the proposal to its being in force there
     * @param missing by router and change, those where it was not in force in time
     */
    public record Changed(List<Long> timesUs, int missing) {}

    /**
     * What came of a play.
     *
     * @param idle by role, a second
     * @param change by role, one change of policy beyond what is idle
     * @param stateEntries lines of the agreed state that each router holds
     * @param stateBytes what a router that starts anew fetches
     * @param linesAChange lines that are agreed on for one change
     */
    public record Outcome(
            long steps,
            long digest,
            Map<Role, Traffic> idle,
            Map<Role, Traffic> change,
            Changed allThere,
            Changed someDown,
            Changed regionCut,
            int stateEntries,
            int stateBytes,
            long linesAChange,
            List<String> violations) {}

    private static final long START_US = 20 * SEC;
    private static final long IDLE_US = 10 * SEC;
    /** A change and what it leaves behind is over by then. */
    private static final long CHANGE_US = 10 * SEC;

    private static final long MOST_CHANGE_US = 60 * SEC;
    private static final long STEP_US = 100 * MS;
    private static final long ASK_AGAIN_US = 500 * MS;
    /** Absent routers are left behind once their leases have run out. */
    private static final AbsencePolicy FENCE =
            new AbsencePolicy(AbsencePolicy.Rule.FENCE, 30 * SEC, SEC, 3 * SEC, 50 * MS);
    /** As long as a document with figures for four indexes. */
    private static final String DOCUMENT = "x".repeat(1000);

    /** What there is more of for a change; all else is sent as often as without one. */
    private static final Set<MessageKind> OF_A_CHANGE = EnumSet.of(
            MessageKind.AGREEMENT, MessageKind.LEARNED, MessageKind.PROPOSE, MessageKind.PROPOSED);

    private final Size size;
    private final ControlFleet fleet;
    private final Simulation simulation;
    private final List<String> violations;
    private int proposals;

    private ControlSimulation(long seed, Size size) {
        this.size = size;
        fleet = new ControlFleet(seed, size.routers(), size.voters(), size.nodes());
        simulation = fleet.simulation;
        violations = fleet.group.violations;
    }

    /** Plays it; what is random comes from the seed. */
    public static Outcome play(long seed, Size size) {
        return new ControlSimulation(seed, size).run();
    }

    private Outcome run() {
        for (ControlRouter router : fleet.routers.values()) {
            router.disk.id = 1;
            simulation.scheduleIn(simulation.random.nextLong(SEC), router::start);
        }
        simulation.run(START_US);
        change(r -> true);
        simulation.run(simulation.now() + IDLE_US);

        Map<String, Map<MessageKind, TrafficMeter.Count>> before = counts();
        simulation.run(simulation.now() + IDLE_US);
        Map<String, Map<MessageKind, TrafficMeter.Count>> idle = difference(before, counts());

        before = counts();
        long from = simulation.now();
        long lines = linesAgreed();
        Changed allThere = changes(r -> true);
        Map<String, Map<MessageKind, TrafficMeter.Count>> changed = difference(before, counts());
        double windows = (simulation.now() - from) / (double) IDLE_US;
        lines = linesAgreed() - lines;

        List<String> state = fleet.stateLines();
        Changed someDown = someDown();
        Changed regionCut = regionCut();
        return new Outcome(
                simulation.steps(),
                simulation.digest(),
                traffic(idle, Map.of(), 0, IDLE_US / (double) SEC),
                traffic(only(OF_A_CHANGE, changed), idle, windows, size.changes()),
                allThere,
                someDown,
                regionCut,
                state.size(),
                WireSize.lines(state),
                lines / size.changes(),
                List.copyOf(violations));
    }

    private long linesAgreed() {
        long[] count = {0};
        fleet.group.log.forEach((index, line) -> count[0]++);
        return count[0];
    }

    // ---- Changes. ----

    private Changed changes(Predicate<ControlRouter> there) {
        List<Long> times = new ArrayList<>();
        int missing = 0;
        for (int i = 0; i < size.changes(); i++) {
            Changed one = change(there);
            times.addAll(one.timesUs());
            missing += one.missing();
        }
        return new Changed(times, missing);
    }

    /** One change, until it is in force at all that are there; then until it has left nothing behind. */
    private Changed change(Predicate<ControlRouter> there) {
        long proposedAt = simulation.now();
        String id = "change-" + ++proposals;
        long epoch = askUntilKnown(id, there);
        while (simulation.now() - proposedAt < MOST_CHANGE_US && !isInForce(epoch, there)) {
            simulation.run(simulation.now() + STEP_US);
        }
        List<Long> times = new ArrayList<>();
        int missing = 0;
        for (ControlRouter router : fleet.those(there)) {
            Long at = router.inForceAt.get(epoch);
            if (at == null) {
                missing++;
            } else {
                times.add(at - proposedAt);
                simulation.addToDigest(router.name + " " + epoch + " " + at);
            }
        }
        if (missing > 0) {
            violations.add(id + " is not in force at " + missing + " routers that are there");
        }
        simulation.run(Math.max(simulation.now(), proposedAt + CHANGE_US));
        return new Changed(times, missing);
    }

    private boolean isInForce(long epoch, Predicate<ControlRouter> there) {
        return fleet.those(there).stream().allMatch(r -> r.inForceAt.containsKey(epoch));
    }

    /** An operator asks at one router, under the same id until that has heard of it. */
    private long askUntilKnown(String id, Predicate<ControlRouter> there) {
        List<ControlRouter> all = fleet.those(there);
        ControlRouter asked = all.get(simulation.random.nextInt(all.size()));
        long epoch = asked.changes().inForce().epoch();
        String line = LineCodec.encode(PolicyCommandCodec.encode(new PolicyCommand.Propose(
                        id, epoch, "0".repeat(64), DOCUMENT, "operator", "a reason", FENCE))
                .toArray());
        long nextAsk = simulation.now();
        long until = simulation.now() + MOST_CHANGE_US;
        while (asked.changes().change(id) == null && simulation.now() < until) {
            if (simulation.now() >= nextAsk) {
                asked.propose(line);
                nextAsk = simulation.now() + ASK_AGAIN_US;
            }
            simulation.run(simulation.now() + 10 * MS);
        }
        PolicyChange known = asked.changes().change(id);
        if (known == null) {
            violations.add(id + " was not heard of");
        }
        return epoch + 1;
    }

    private Changed someDown() {
        int count = (int) Math.max(1, Math.round(size.downShare() * size.routers()));
        List<ControlRouter> ordinary = fleet.those(r -> !r.voter);
        List<ControlRouter> down = new ArrayList<>();
        while (down.size() < Math.min(count, ordinary.size())) {
            ControlRouter one = ordinary.get(simulation.random.nextInt(ordinary.size()));
            if (!down.contains(one)) {
                one.kill();
                down.add(one);
            }
        }
        Changed changed = changes(r -> r.up);
        down.forEach(ControlRouter::start);
        simulation.run(simulation.now() + START_US);
        return changed;
    }

    /** A region that does not lead is cut off. */
    private Changed regionCut() {
        ControlRouter leader = fleet.leader();
        int region = leader == null
                ? ControlFleet.REGIONS - 1
                : (leader.region + ControlFleet.REGIONS - 1) % ControlFleet.REGIONS;
        long votersLeft = fleet.those(r -> r.voter && r.region != region).size();
        if (votersLeft < size.voters() / 2 + 1) {
            return new Changed(List.of(), 0); // A majority is needed on one side of the cut.
        }
        fleet.cutRegion(region);
        Changed changed = changes(r -> r.region != region);
        long newest = anyoneOutside(region).changes().inForce().epoch();
        for (ControlRouter router : fleet.those(r -> r.region == region)) {
            long by = router.takesBy();
            if (by >= 0 && by != newest) {
                violations.add(router.name + " is cut off and takes lookups by epoch " + by
                        + ", not " + newest);
            }
        }
        fleet.network.healAll();
        simulation.run(simulation.now() + CHANGE_US);
        return changed;
    }

    private ControlRouter anyoneOutside(int region) {
        return fleet.those(r -> r.region != region).get(0);
    }

    // ---- Traffic. ----

    private Map<String, Map<MessageKind, TrafficMeter.Count>> counts() {
        Map<String, Map<MessageKind, TrafficMeter.Count>> all = new HashMap<>();
        fleet.routers.keySet().forEach(name -> all.put(name, fleet.meter.of(name)));
        return all;
    }

    private static Map<String, Map<MessageKind, TrafficMeter.Count>> difference(
            Map<String, Map<MessageKind, TrafficMeter.Count>> before,
            Map<String, Map<MessageKind, TrafficMeter.Count>> after) {
        Map<String, Map<MessageKind, TrafficMeter.Count>> all = new HashMap<>();
        after.forEach((name, byKind) -> {
            Map<MessageKind, TrafficMeter.Count> own = new EnumMap<>(MessageKind.class);
            byKind.forEach((kind, count) -> own.put(
                    kind,
                    count.minus(before.get(name).getOrDefault(kind, TrafficMeter.Count.NONE))));
            all.put(name, own);
        });
        return all;
    }

    private static Map<String, Map<MessageKind, TrafficMeter.Count>> only(
            Set<MessageKind> kinds, Map<String, Map<MessageKind, TrafficMeter.Count>> counts) {
        counts.values().forEach(byKind -> byKind.keySet().retainAll(kinds));
        return counts;
    }

    /**
     * By role, in one of so many units.
     *
     * @param idle what is there without a change, {@code windows} times
     */
    private Map<Role, Traffic> traffic(
            Map<String, Map<MessageKind, TrafficMeter.Count>> counts,
            Map<String, Map<MessageKind, TrafficMeter.Count>> idle,
            double windows,
            double units) {
        Map<Role, Traffic> all = new EnumMap<>(Role.class);
        ControlRouter leader = fleet.leader();
        for (Role role : Role.values()) {
            List<ControlRouter> some = fleet.those(r -> role(r, leader) == role);
            if (!some.isEmpty()) {
                all.put(role, traffic(some, counts, idle, windows, units));
            }
        }
        return all;
    }

    private static Role role(ControlRouter router, ControlRouter leader) {
        return router == leader ? Role.LEADER : router.voter ? Role.VOTER : Role.ROUTER;
    }

    private static Traffic traffic(
            List<ControlRouter> routers,
            Map<String, Map<MessageKind, TrafficMeter.Count>> counts,
            Map<String, Map<MessageKind, TrafficMeter.Count>> idle,
            double windows,
            double units) {
        Map<MessageKind, TrafficMeter.Count> byKind = new EnumMap<>(MessageKind.class);
        double most = 0;
        for (ControlRouter router : routers) {
            double own = 0;
            Map<MessageKind, TrafficMeter.Count> rest = idle.getOrDefault(router.name, Map.of());
            for (Map.Entry<MessageKind, TrafficMeter.Count> e :
                    counts.get(router.name).entrySet()) {
                TrafficMeter.Count less = rest.getOrDefault(e.getKey(), TrafficMeter.Count.NONE);
                TrafficMeter.Count more = e.getValue()
                        .minus(new TrafficMeter.Count(
                                Math.round(less.messages() * windows),
                                Math.round(less.bytes() * windows)));
                byKind.merge(e.getKey(), more, TrafficMeter.Count::plus);
                own += more.bytes();
            }
            most = Math.max(most, own);
        }
        TrafficMeter.Count total = TrafficMeter.total(byKind);
        int count = routers.size();
        return new Traffic(
                count,
                total.messages() / units / count,
                total.bytes() / units / count,
                most / units,
                mean(byKind, units * count));
    }

    private static Map<MessageKind, Load> mean(
            Map<MessageKind, TrafficMeter.Count> byKind, double of) {
        Map<MessageKind, Load> all = new EnumMap<>(MessageKind.class);
        byKind.forEach((kind, count) ->
                all.put(kind, new Load(count.messages() / of, count.bytes() / of)));
        return all;
    }
}

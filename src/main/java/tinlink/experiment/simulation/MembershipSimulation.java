package tinlink.experiment.simulation;

import tinlink.cluster.membership.Incarnation;
import tinlink.cluster.membership.Member;
import tinlink.cluster.membership.MemberState;
import tinlink.cluster.membership.Membership;
import tinlink.cluster.membership.Rumor;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Routers that find each other over a lossy network, some killed, paused, cut off, started again, started
 * twice. What is checked is what they hold of each other against what they are.
 */
public final class MembershipSimulation {
    private static final long ROUND = 200_000;
    /** A whole fleet has to agree so many rounds after the last fault has healed. */
    private static final int REST_ROUNDS = 400;
    /** Between two probes in service. */
    private static final long SERVICE_ROUND_US = 500_000;

    private static final long MOST_JOIN_US = 900_000_000;
    /** Rumours of the start have been told often enough by then. */
    private static final long SETTLE_US = 60_000_000;

    private static final int SETTLE_JOINS = 3;

    private static final long IDLE_US = 20_000_000;

    /** What came of a play. */
    public record Outcome(long steps, long digest, int falseDeaths, List<String> violations) {}

    private final class Router extends SimulatedProcess implements Membership.Handler {
        Incarnation incarnation;
        Membership membership;
        /** Starts with its folder; an old copy has fewer. */
        long starts;
        /** The newest life that it has held of each. */
        final Map<String, Long> newest = new TreeMap<>();

        final List<String> toldOfSelf = new ArrayList<>();

        Router(String name) {
            super(MembershipSimulation.this.simulation, name, Integer.MAX_VALUE);
        }

        void start(long starts) {
            this.starts = starts;
            incarnation =
                    new Incarnation(name, starts, simulation.random.nextLong(1, Long.MAX_VALUE));
            List<String> seeds =
                    new ArrayList<>(routers.keySet()).subList(0, Math.min(3, routers.size()));
            membership = new Membership(
                    incarnation,
                    name,
                    seeds,
                    new Membership.Settings(roundUs, 3, 4 * routers.size() + 8),
                    simulation.random.split());
            newest.clear();
            beginRun();
            turn();
        }

        @Override
        void perform(Runnable action) {
            membership.advanceClock(simulation.now());
            action.run();
            turn();
        }

        private void turn() {
            membership.advanceClock(simulation.now());
            while (membership.decide(this)) {
                // Each has been carried out.
            }
        }

        private void send(String at, String target, List<Rumor> rumors, Consumer<Membership> what) {
            Router to = routers.get(at);
            if (to != null) {
                Runnable arrives = () -> {
                    Membership its = to.membership;
                    its.onRumors(rumors);
                    what.accept(its);
                };
                net.send(
                        name,
                        at,
                        MessageKind.MEMBERSHIP,
                        () -> WireSize.membership(target, rumors),
                        () -> to.deliver(arrives));
            }
        }

        @Override
        public void sendProbe(String at, long number, List<Rumor> rumors) {
            send(at, "", rumors, t -> t.onProbe(name, number));
        }

        @SuppressWarnings("ReferenceEquality") // The same start of a process, not an equal one.
        @Override
        public void sendAck(String at, long number, List<Rumor> rumors) {
            Incarnation to = routers.get(at) == null ? null : routers.get(at).incarnation;
            send(at, "", rumors, t -> {
                if (routers.get(at).incarnation == to) {
                    t.onAck(number); // A link ends with its process; so do the numbers said on it.
                }
            });
        }

        @Override
        public void sendProbeRequest(String at, long number, String target, List<Rumor> rumors) {
            send(at, target, rumors, t -> t.onProbeRequest(name, number, target));
        }

        @Override
        public void sendNack(String at, long number, List<Rumor> rumors) {
            send(at, "", rumors, t -> t.onNack(number));
        }

        @Override
        public void onMemberChanged(Member member) {
            simulation.addToDigest(name + " holds " + member.incarnation() + " " + member.state());
            Long before = newest.put(member.router(), member.incarnation().startCount());
            if (before != null && before > member.incarnation().startCount()) {
                violations.add(name + " went back to an earlier life of " + member.router());
            }
            Router r = routers.get(member.router());
            boolean well = r != null
                    && r.up
                    && !r.paused
                    && r.incarnation.equals(member.incarnation())
                    && !troubled;
            if (member.state() == MemberState.DEAD && well) {
                falseDeaths++;
            }
        }

        @Override
        public void onSelfConflict(Incarnation.Relation relation, Incarnation other) {
            toldOfSelf.add(relation + " " + other);
        }

        @SuppressWarnings("ReferenceEquality") // As above.
        @Override
        public void scheduleWakeUp(long atUs) {
            Incarnation mine = incarnation;
            simulation.scheduleAt(atUs, () -> {
                if (incarnation == mine) {
                    deliver(() -> {});
                }
            });
        }
    }

    private final long roundUs;
    private final Simulation simulation;
    private final SimulatedNetwork net;
    private final Map<String, Router> routers = new LinkedHashMap<>();
    private final List<String> violations = new ArrayList<>();
    private boolean troubled = true;
    private int falseDeaths;

    private MembershipSimulation(long seed, int count, SimulatedNetwork.LinkConditions path) {
        this(seed, count, path, ROUND, "r");
    }

    private MembershipSimulation(
            long seed,
            int count,
            SimulatedNetwork.LinkConditions path,
            long roundUs,
            String prefix) {
        this.roundUs = roundUs;
        simulation = new Simulation(seed);
        net = new SimulatedNetwork(simulation, path);
        for (int i = 0; i < count; i++) {
            routers.put(prefix + i, new Router(prefix + i));
        }
    }

    /**
     * Plays one schedule of faults.
     *
     * @param faults how many befall the fleet, one after the other; then all is healed
     * @param twin a router is also started a second time from a copy of its folder, and ended again
     */
    public static Outcome play(long seed, int count, int faults, boolean twin) {
        return new MembershipSimulation(
                        seed, count, new SimulatedNetwork.LinkConditions(500, 20_000, 0.02, 0.02))
                .go(faults, twin);
    }

    /**
     * What membership costs where nothing happens.
     *
     * @param joinedUs until all of a fleet that was started at once knew each other
     * @param joining messages and bytes of one router until then, the mean
     * @param messages of one router a second afterwards
     * @param bytes of one router a second afterwards
     */
    public record Idle(long joinedUs, TrafficMeter.Count joining, double messages, double bytes) {}

    /** A fleet with the rounds of service, started at once; each router knows three to begin with. */
    public static Idle idle(long seed, int count) {
        SimulatedNetwork.LinkConditions path =
                new SimulatedNetwork.LinkConditions(500, 20_000, 0, 0);
        return new MembershipSimulation(seed, count, path, SERVICE_ROUND_US, "router-").idle();
    }

    private Idle idle() {
        TrafficMeter meter = new TrafficMeter();
        net.meter(meter);
        routers.values()
                .forEach(r -> simulation.scheduleIn(
                        simulation.random.nextLong(roundUs), () -> r.start(1)));
        while (simulation.now() < MOST_JOIN_US
                && (simulation.now() == 0 || disagreement() != null)) {
            simulation.run(simulation.now() + roundUs);
        }
        long joinedUs = simulation.now();
        TrafficMeter.Count joining = total(meter);
        simulation.run(simulation.now() + SETTLE_US + SETTLE_JOINS * joinedUs);
        TrafficMeter.Count before = total(meter);
        simulation.run(simulation.now() + IDLE_US);
        TrafficMeter.Count idle = total(meter).minus(before);
        double units = routers.size() * (IDLE_US / 1e6);
        return new Idle(
                joinedUs,
                new TrafficMeter.Count(
                        joining.messages() / routers.size(), joining.bytes() / routers.size()),
                idle.messages() / units,
                idle.bytes() / units);
    }

    private TrafficMeter.Count total(TrafficMeter meter) {
        return routers.keySet().stream()
                .map(r -> TrafficMeter.total(meter.of(r)))
                .reduce(TrafficMeter.Count.NONE, TrafficMeter.Count::plus);
    }

    private Outcome go(int faults, boolean twin) {
        routers.values()
                .forEach(r ->
                        simulation.scheduleIn(simulation.random.nextLong(ROUND), () -> r.start(1)));
        simulation.run(60 * ROUND);
        troubled = false;
        simulation.run(simulation.now() + 60 * ROUND);
        troubled = faults > 0;
        for (int i = 0; i < faults; i++) {
            fault();
            simulation.run(simulation.now() + simulation.random.nextLong(60 * ROUND));
        }
        if (twin) {
            showsTwin();
        }
        net.healAll();
        for (Router r : routers.values()) {
            if (r.paused) {
                r.resume();
            }
            if (!r.up) {
                r.start(r.starts + 1);
            }
        }
        long until = simulation.now() + REST_ROUNDS * ROUND;
        while (simulation.now() < until && disagreement() != null) {
            simulation.run(simulation.now() + ROUND);
        }
        String not = disagreement();
        if (not != null) {
            violations.add("not at rest: " + not);
        }
        return new Outcome(
                simulation.steps(), simulation.digest(), falseDeaths, List.copyOf(violations));
    }

    private String disagreement() {
        for (Router r : routers.values()) {
            for (Router o : routers.values()) {
                if (o == r) {
                    continue;
                }
                Member m = r.membership.member(o.name);
                if (m == null
                        || m.state() != MemberState.ALIVE
                        || !m.incarnation().equals(o.incarnation)) {
                    return r.name + " holds " + o.name + " for "
                            + (m == null ? "unknown" : m.state() + " " + m.incarnation())
                            + ", it is "
                            + o.incarnation;
                }
            }
        }
        return null;
    }

    private Router some() {
        List<Router> all = new ArrayList<>(routers.values());
        return all.get(simulation.random.nextInt(all.size()));
    }

    private void fault() {
        Router r = some();
        Router o = some();
        switch (simulation.random.nextInt(7)) {
            case 0 -> r.kill();
            case 1 -> {
                r.kill();
                simulation.scheduleIn(simulation.random.nextLong(20 * ROUND), () -> {
                    if (!r.up) {
                        r.start(r.starts + 1);
                    }
                });
            }
            case 2 -> {
                r.paused = true;
                simulation.scheduleIn(simulation.random.nextLong(80 * ROUND), () -> {
                    if (r.paused) {
                        r.resume();
                    }
                });
            }
            case 3 -> net.cut(r.name, o.name);
            case 4 -> {
                for (Router x : routers.values()) {
                    net.cut(r.name, x.name); // It hears, and is not heard.
                }
            }
            case 5 -> {
                for (Router x : routers.values()) {
                    if ((x.name.hashCode() & 1) != (r.name.hashCode() & 1)) {
                        net.cut(r.name, x.name);
                        net.cut(x.name, r.name);
                    }
                }
            }
            default -> net.healAll();
        }
        simulation.addToDigest("fault at " + r.name + " " + o.name);
    }

    /** A second process with the same folder's starts: some router has to see both, and so has it itself. */
    private void showsTwin() {
        net.healAll();
        routers.values().stream().filter(r -> r.paused).forEach(Router::resume);
        simulation.run(simulation.now() + 60 * ROUND);
        Router r = routers.get("r0");
        if (!r.up) {
            r.start(r.starts + 1);
            simulation.run(simulation.now() + 60 * ROUND);
        }
        Router twin = new Router("r0");
        // It is reached at the same name here, so that what others answer goes to the first of the
        // two.
        twin.incarnation = new Incarnation("r0", r.starts, r.incarnation.nonce() + 1);
        Router seen = routers.get("r1");
        if (!seen.up) {
            seen.start(seen.starts + 1);
            simulation.run(simulation.now() + 60 * ROUND);
        }
        seen.deliver(() -> seen.membership.onRumor(
                new Rumor(twin.incarnation, 1, MemberState.ALIVE, "r0", "")));
        simulation.run(simulation.now() + 60 * ROUND);
        if (r.toldOfSelf.stream().noneMatch(s -> s.startsWith("DUPLICATE"))) {
            violations.add("r0 was not told of its twin");
        }
        if (seen.membership.member("r0").duplicate() == null) {
            violations.add("r1 has not kept the twin of r0");
        }
    }
}

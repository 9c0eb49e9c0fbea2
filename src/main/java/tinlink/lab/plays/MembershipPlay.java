package tinlink.lab.plays;

import tinlink.peers.choice.Life;
import tinlink.peers.choice.Member;
import tinlink.peers.choice.Membership;
import tinlink.peers.choice.Rumor;
import tinlink.peers.choice.Standing;

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
public final class MembershipPlay {
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

    private final class Router extends SimulatedProcess implements Membership.Hands {
        Life life;
        Membership m;
        /** Starts with its folder; an old copy has fewer. */
        long starts;
        /** The newest life that it has held of each. */
        final Map<String, Long> newest = new TreeMap<>();

        final List<String> toldOfSelf = new ArrayList<>();

        Router(String name) {
            super(MembershipPlay.this.play, name, Integer.MAX_VALUE);
        }

        void start(long starts) {
            this.starts = starts;
            life = new Life(name, starts, play.random.nextLong(1, Long.MAX_VALUE));
            List<String> seeds =
                    new ArrayList<>(routers.keySet()).subList(0, Math.min(3, routers.size()));
            m = new Membership(
                    life,
                    name,
                    seeds,
                    new Membership.Pace(roundUs, 3, 4 * routers.size() + 8),
                    play.random.split());
            newest.clear();
            begin();
            turn();
        }

        @Override
        void perform(Runnable action) {
            m.clock(play.now());
            action.run();
            turn();
        }

        private void turn() {
            m.clock(play.now());
            while (m.decide(this)) {
                // Each has been carried out.
            }
        }

        private void send(String at, String target, List<Rumor> rumors, Consumer<Membership> what) {
            Router to = routers.get(at);
            if (to != null) {
                Runnable arrives = () -> {
                    Membership its = to.m;
                    its.heard(rumors);
                    what.accept(its);
                };
                net.send(
                        name,
                        at,
                        MessageKind.MEMBERSHIP,
                        () -> WireSize.membership(target, rumors),
                        () -> to.takes(arrives));
            }
        }

        @Override
        public void probe(String at, long number, List<Rumor> rumors) {
            send(at, "", rumors, t -> t.probed(name, number));
        }

        @SuppressWarnings("ReferenceEquality") // The same start of a process, not an equal one.
        @Override
        public void answer(String at, long number, List<Rumor> rumors) {
            Life to = routers.get(at) == null ? null : routers.get(at).life;
            send(at, "", rumors, t -> {
                if (routers.get(at).life == to) {
                    t.answered(
                            number); // A link ends with its process; so do the numbers said on it.
                }
            });
        }

        @Override
        public void probeFor(String at, long number, String target, List<Rumor> rumors) {
            send(at, target, rumors, t -> t.probeAsked(name, number, target));
        }

        @Override
        public void noAnswer(String at, long number, List<Rumor> rumors) {
            send(at, "", rumors, t -> t.helperAnswered(number));
        }

        @Override
        public void changed(Member member) {
            play.note(name + " holds " + member.life() + " " + member.standing());
            Long before = newest.put(member.name(), member.life().starts());
            if (before != null && before > member.life().starts()) {
                violations.add(name + " went back to an earlier life of " + member.name());
            }
            Router r = routers.get(member.name());
            boolean well =
                    r != null && r.up && !r.paused && r.life.equals(member.life()) && !troubled;
            if (member.standing() == Standing.DEAD && well) {
                falseDeaths++;
            }
        }

        @Override
        public void self(Life.Other how, Life other) {
            toldOfSelf.add(how + " " + other);
        }

        @SuppressWarnings("ReferenceEquality") // As above.
        @Override
        public void wake(long atUs) {
            Life mine = life;
            play.at(atUs, () -> {
                if (life == mine) {
                    takes(() -> {});
                }
            });
        }
    }

    private final long roundUs;
    private final Play play;
    private final SimulatedNetwork net;
    private final Map<String, Router> routers = new LinkedHashMap<>();
    private final List<String> violations = new ArrayList<>();
    private boolean troubled = true;
    private int falseDeaths;

    private MembershipPlay(long seed, int count, SimulatedNetwork.Path path) {
        this(seed, count, path, ROUND, "r");
    }

    private MembershipPlay(
            long seed, int count, SimulatedNetwork.Path path, long roundUs, String prefix) {
        this.roundUs = roundUs;
        play = new Play(seed);
        net = new SimulatedNetwork(play, path);
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
        return new MembershipPlay(seed, count, new SimulatedNetwork.Path(500, 20_000, 0.02, 0.02))
                .go(faults, twin);
    }

    /**
     * What membership costs where nothing happens.
     *
     * @param joinedUs until all of a fleet that was started at once knew each other
     * @param joining messages and bytes of one router until then, the mean
     * @param idle a second afterwards
     */
    public record Idle(long joinedUs, TrafficMeter.Count joining, double messages, double bytes) {}

    /** A fleet with the rounds of service, started at once; each router knows three to begin with. */
    public static Idle idle(long seed, int count) {
        SimulatedNetwork.Path path = new SimulatedNetwork.Path(500, 20_000, 0, 0);
        return new MembershipPlay(seed, count, path, SERVICE_ROUND_US, "router-").idle();
    }

    private Idle idle() {
        TrafficMeter meter = new TrafficMeter();
        net.meter(meter);
        routers.values().forEach(r -> play.in(play.random.nextLong(roundUs), () -> r.start(1)));
        while (play.now() < MOST_JOIN_US && (play.now() == 0 || disagreement() != null)) {
            play.run(play.now() + roundUs);
        }
        long joinedUs = play.now();
        TrafficMeter.Count joining = total(meter);
        play.run(play.now() + SETTLE_US + SETTLE_JOINS * joinedUs);
        TrafficMeter.Count before = total(meter);
        play.run(play.now() + IDLE_US);
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
        routers.values().forEach(r -> play.in(play.random.nextLong(ROUND), () -> r.start(1)));
        play.run(60 * ROUND);
        troubled = false;
        play.run(play.now() + 60 * ROUND);
        troubled = faults > 0;
        for (int i = 0; i < faults; i++) {
            fault();
            play.run(play.now() + play.random.nextLong(60 * ROUND));
        }
        if (twin) {
            showsTwin();
        }
        net.mendAll();
        for (Router r : routers.values()) {
            if (r.paused) {
                r.goOn();
            }
            if (!r.up) {
                r.start(r.starts + 1);
            }
        }
        long until = play.now() + REST_ROUNDS * ROUND;
        while (play.now() < until && disagreement() != null) {
            play.run(play.now() + ROUND);
        }
        String not = disagreement();
        if (not != null) {
            violations.add("not at rest: " + not);
        }
        return new Outcome(play.steps(), play.digest(), falseDeaths, List.copyOf(violations));
    }

    private String disagreement() {
        for (Router r : routers.values()) {
            for (Router o : routers.values()) {
                if (o == r) {
                    continue;
                }
                Member m = r.m.member(o.name);
                if (m == null || m.standing() != Standing.ALIVE || !m.life().equals(o.life)) {
                    return r.name + " holds " + o.name + " for "
                            + (m == null ? "unknown" : m.standing() + " " + m.life()) + ", it is "
                            + o.life;
                }
            }
        }
        return null;
    }

    private Router some() {
        List<Router> all = new ArrayList<>(routers.values());
        return all.get(play.random.nextInt(all.size()));
    }

    private void fault() {
        Router r = some();
        Router o = some();
        switch (play.random.nextInt(7)) {
            case 0 -> r.kill();
            case 1 -> {
                r.kill();
                play.in(play.random.nextLong(20 * ROUND), () -> {
                    if (!r.up) {
                        r.start(r.starts + 1);
                    }
                });
            }
            case 2 -> {
                r.paused = true;
                play.in(play.random.nextLong(80 * ROUND), () -> {
                    if (r.paused) {
                        r.goOn();
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
            default -> net.mendAll();
        }
        play.note("fault at " + r.name + " " + o.name);
    }

    /** A second process with the same folder's starts: some router has to see both, and so has it itself. */
    private void showsTwin() {
        net.mendAll();
        routers.values().stream().filter(r -> r.paused).forEach(Router::goOn);
        play.run(play.now() + 60 * ROUND);
        Router r = routers.get("r0");
        if (!r.up) {
            r.start(r.starts + 1);
            play.run(play.now() + 60 * ROUND);
        }
        Router twin = new Router("r0");
        // It is reached at the same name here, so that what others answer goes to the first of the
        // two.
        twin.life = new Life("r0", r.starts, r.life.word() + 1);
        Router seen = routers.get("r1");
        if (!seen.up) {
            seen.start(seen.starts + 1);
            play.run(play.now() + 60 * ROUND);
        }
        seen.takes(() -> seen.m.heard(new Rumor(twin.life, 1, Standing.ALIVE, "r0", "")));
        play.run(play.now() + 60 * ROUND);
        if (r.toldOfSelf.stream().noneMatch(s -> s.startsWith("TWIN"))) {
            violations.add("r0 was not told of its twin");
        }
        if (seen.m.member("r0").twin() == null) {
            violations.add("r1 has not kept the twin of r0");
        }
    }
}

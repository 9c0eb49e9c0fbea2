package tinlink.experiment.simulation;

import static tinlink.experiment.simulation.Simulation.MS;
import static tinlink.experiment.simulation.Simulation.SEC;

import tinlink.policy.rollout.AbsencePolicy;
import tinlink.policy.rollout.ChangeCoordinator;
import tinlink.policy.rollout.ChangeParticipant;
import tinlink.policy.rollout.EffectivePolicy;
import tinlink.policy.rollout.PolicyChange;
import tinlink.policy.rollout.PolicyChanges;
import tinlink.policy.rollout.PolicyCommand;
import tinlink.policy.rollout.PolicyCommandCodec;

import java.util.ArrayList;
import java.util.List;

/**
 * Changes of policy in simulated time: the decision logic of all routers over an agreement that is taken as
 * given (one order of lines, which {@link MaintenanceSimulation} plays for itself), with words that get lost,
 * come late and twice, routers that are killed, paused and cut off, leaders that change, and clocks that
 * differ. What is checked is by which policy lookups were taken and when, by {@link PolicyChecks}.
 */
public final class PolicySimulation {
    /** By how much clocks may differ, as it is stated to the choices. */
    private static final long ERROR = 20 * MS;

    private static final long REST = 10 * SEC;
    private static final int MOST_WAITING = 2000;

    /**
     * The size of a play.
     *
     * @param planted routers go on by the old policy for as long as they know of no other
     */
    public record Size(int routers, AbsencePolicy.Rule rule, boolean planted) {}

    /**
     * What came of a simulation.
     *
     * @param fencedShare of the routers' time in which they ran and accepted no lookups
     */
    public record Outcome(
            long steps,
            long digest,
            int inForce,
            int withdrawn,
            double fencedShare,
            List<String> violations) {}

    private final class Router extends SimulatedProcess {
        final int number;
        boolean cutIn;
        boolean cutOut;
        boolean refuses;
        int life;
        long skew;
        int index;
        PolicyChanges view;
        ChangeParticipant participant;
        ChangeCoordinator coordinator;
        long askedAt = -1;
        int mustKnow = -1;

        Router(int number) {
            super(PolicySimulation.this.simulation, "r" + number, MOST_WAITING);
            this.number = number;
        }

        void start() {
            beginRun();
            life++;
            index = 0;
            askedAt = -1;
            mustKnow = -1;
            view = fresh();
            participant = new ChangeParticipant(
                    name, "l" + life, life, 150 * MS, change -> refuses ? "it is too small" : "");
            coordinator = new ChangeCoordinator(150 * MS);
            long run = generation;
            scheduleEvery(run, 50 * MS, this::beat);
            scheduleEvery(run, 10 * MS, this::take);
            scheduleEvery(run, 100 * MS, this::lease);
        }

        long shared() {
            return simulation.now() + skew;
        }

        void beat() {
            learn();
            participant.updateClocks(shared(), simulation.now());
            participant.decide(view, this::propose);
            coordinator.updateClocks(simulation.now(), shared());
            coordinator.setLeader(leader == this);
            coordinator.decide(view, this::propose);
            told();
        }

        void learn() {
            if (!cutIn) {
                long mine = generation;
                int from = index;
                // What there was when it was asked for, some way behind.
                List<PolicyCommand> some = List.copyOf(log.subList(from, log.size()));
                simulation.scheduleIn(delay(), () -> {
                    if (mine == generation) {
                        deliver(() -> {
                            if (index == from) {
                                some.forEach(view::apply);
                                index += some.size();
                                if (simulation.random.nextInt(20) == 0) {
                                    view = again(view);
                                }
                            }
                        });
                    }
                });
            }
        }

        void propose(PolicyCommand command) {
            int times = simulation.random.nextInt(20) == 0 ? 2 : 1;
            for (int i = 0; i < times; i++) {
                if (!cutOut && simulation.random.nextInt(10) > 0) {
                    simulation.scheduleIn(delay(), () -> agree(command));
                }
            }
        }

        /** A majority confirms how much there is; it counts once that has been heard of. */
        void lease() {
            if (!cutOut && !cutIn && !noMajority) {
                long asked = simulation.now();
                long mine = generation;
                simulation.scheduleIn(delay(), () -> {
                    int all = log.size();
                    simulation.scheduleIn(delay(), () -> {
                        if (mine == generation) {
                            deliver(() -> {
                                if (askedAt < 0) {
                                    askedAt = asked;
                                    mustKnow = all;
                                }
                            });
                        }
                    });
                });
            }
            if (askedAt >= 0 && index >= mustKnow) {
                participant.leaseGranted(askedAt, view.inForce().absencePolicy().leaseUs());
                askedAt = -1;
            }
        }

        void take() {
            participant.updateClocks(shared(), simulation.now());
            EffectivePolicy effectivePolicy = participant.effectivePolicy(view);
            long epoch = size.planted() ? view.inForce().epoch() : effectivePolicy.epoch();
            if (epoch >= 0) {
                checks.taken(simulation.now(), epoch, number);
            } else {
                fencedUs += 10 * MS;
            }
        }

        /** What an operator who asks it is told. */
        void told() {
            for (PolicyChange change : view.history()) {
                if (change.state() != PolicyChange.State.OPEN) {
                    checks.told(change);
                }
            }
        }
    }

    private final Size size;
    private final Simulation simulation;
    private final List<Router> routers = new ArrayList<>();
    private final List<PolicyCommand> log = new ArrayList<>();
    private final PolicyChecks checks = new PolicyChecks(ERROR);
    private Router leader;
    private boolean noMajority;
    private long fencedUs;

    private PolicySimulation(long seed, Size size) {
        this.size = size;
        simulation = new Simulation(seed);
        for (int i = 0; i < size.routers(); i++) {
            Router r = new Router(i);
            r.skew = simulation.random.nextLong(ERROR) - ERROR / 2;
            routers.add(r);
        }
        leader = routers.get(0);
    }

    private AbsencePolicy absent() {
        return new AbsencePolicy(
                size.rule(),
                3 * SEC,
                600 * MS,
                size.rule() == AbsencePolicy.Rule.FENCE ? 1500 * MS : 0,
                ERROR);
    }

    private PolicyChanges fresh() {
        return new PolicyChanges(50, 1000, absent());
    }

    private PolicyChanges again(PolicyChanges changes) {
        return PolicyChanges.fromSnapshot(50, 1000, absent(), changes.snapshot());
    }

    private long delay() {
        return 300
                + simulation.random.nextLong(
                        simulation.random.nextInt(10) == 0 ? 300 * MS : 8 * MS);
    }

    private void agree(PolicyCommand command) {
        if (!noMajority && leader.up && !leader.paused) {
            List<String> words = PolicyCommandCodec.encode(command);
            log.add(PolicyCommandCodec.decode(words));
            checks.agreed(simulation.now(), command);
            simulation.addToDigest(words);
        }
    }

    /** Plays the schedule; what is random besides comes from the seed. */
    public static Outcome play(long seed, Size size, List<PolicyEvent> schedule) {
        return new PolicySimulation(seed, size).go(schedule);
    }

    private Outcome go(List<PolicyEvent> schedule) {
        routers.forEach(r -> simulation.scheduleIn(simulation.random.nextLong(300 * MS), r::start));
        schedule.forEach(e -> simulation.scheduleAt(e.atUs(), () -> happens(e)));
        long last = schedule.stream().mapToLong(e -> e.atUs() + e.forUs()).max().orElse(0) + SEC;
        simulation.run(last);
        noMajority = false;
        for (Router r : routers) {
            r.cutIn = false;
            r.cutOut = false;
            r.refuses = false;
            goOn(r);
            if (!r.up) {
                r.start();
            }
        }
        simulation.run(last + REST);
        checks.check(last);
        checkSettled();
        return new Outcome(
                simulation.steps(),
                simulation.digest(),
                checks.inForce(),
                checks.settled() - checks.inForce(),
                (double) fencedUs / (fencedUs + 10 * MS * checks.takenCount()),
                List.copyOf(checks.violations()));
    }

    /** With all healed no change is open, and every router takes lookups. */
    private void checkSettled() {
        for (Router r : routers) {
            PolicyChange open = r.view.openChange();
            EffectivePolicy effectivePolicy = r.participant.effectivePolicy(r.view);
            if (open != null || !effectivePolicy.isPresent()) {
                checks.violated("unsettled: " + r.name + " " + effectivePolicy.unavailableReason()
                        + (open == null
                                ? ""
                                : ", " + open.changeId() + " is open, owing "
                                        + r.view.pendingRouters()));
            }
        }
    }

    private static void goOn(Router r) {
        if (r.paused) {
            r.resume();
        }
    }

    private void happens(PolicyEvent e) {
        simulation.addToDigest(e);
        Router r = routers.get(
                e.kind() == PolicyEvent.Kind.PROPOSE || e.kind() == PolicyEvent.Kind.WITHDRAW
                        ? simulation.random.nextInt(routers.size())
                        : e.who());
        switch (e.kind()) {
            case PROPOSE -> ask("c" + e.who(), 0);
            case WITHDRAW -> r.propose(new PolicyCommand.Abort("c" + e.who(), "called back"));
            case KILL -> {
                r.kill();
                simulation.scheduleIn(e.forUs(), () -> {
                    if (!r.up) {
                        r.start();
                    }
                });
            }
            case PAUSE -> {
                r.paused = r.up;
                simulation.scheduleIn(e.forUs(), () -> goOn(r));
            }
            case CUT -> {
                r.cutIn = true;
                r.cutOut = true;
                simulation.scheduleIn(e.forUs(), () -> {
                    r.cutIn = false;
                    r.cutOut = false;
                });
            }
            case CUT_OUT -> {
                r.cutOut = true;
                simulation.scheduleIn(e.forUs(), () -> r.cutOut = false);
            }
            case LEADER -> leader = r;
            case NO_MAJORITY -> {
                noMajority = true;
                simulation.scheduleIn(e.forUs(), () -> noMajority = false);
            }
            case REFUSES -> {
                r.refuses = true;
                simulation.scheduleIn(e.forUs(), () -> r.refuses = false);
            }
            default -> r.skew = simulation.random.nextLong(ERROR) - ERROR / 2;
        }
    }

    /** An operator asks at any router, again and again under the same id, until it is told how it stands. */
    private void ask(String id, int tries) {
        Router r = routers.get(simulation.random.nextInt(routers.size()));
        if (r.up && !r.paused && r.view.change(id) == null && tries < 200) {
            r.propose(new PolicyCommand.Propose(
                    id, r.view.inForce().epoch(), "d" + id, "t" + id, "op", "why", absent()));
        }
        if (tries < 200 && (r.view == null || r.view.change(id) == null)) {
            simulation.scheduleIn(300 * MS, () -> ask(id, tries + 1));
        }
    }

    /** The smallest part of a schedule, found by leaving events out, that breaks the rules too. */
    public static List<PolicyEvent> shrink(long seed, Size size, List<PolicyEvent> schedule) {
        return ScheduleShrinker.shrink(
                schedule, s -> !play(seed, size, s).violations().isEmpty());
    }
}

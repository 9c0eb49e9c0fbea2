package tinlink.experiment.processes;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Faults between and to processes along a time line, from a seed or from a file that was printed
 * before. Each heals by itself, so that after the last one the fleet can come to rest.
 */
public final class FaultInjector {
    /** Each is named for what happens. */
    public enum Kind {
        KILL,
        KILL_LEADER,
        PAUSE,
        CUT,
        CUT_ONE_WAY,
        SPLIT,
        NODE_DIES,
        OLD_DISK,
        RESTART_ALL
    }

    /**
     * One fault, at its time.
     *
     * @param who a router or node
     * @param other the second router of a cut; empty where there is
     *     none
     */
    public record Fault(long atMs, Kind kind, String who, String other, long forMs) {
        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "%d %s %s %s %d",
                    atMs,
                    kind,
                    who.isEmpty() ? "-" : who,
                    other.isEmpty() ? "-" : other,
                    forMs);
        }

        public static Fault of(String line) {
            String[] w = line.strip().split("\\s+", 0);
            if (w.length != 5) {
                throw new IllegalArgumentException("no fault as 'ms KIND who other ms': " + line);
            }
            return new Fault(
                    Long.parseLong(w[0]),
                    Kind.valueOf(w[1]),
                    w[2].replace("-", ""),
                    w[3].replace("-", ""),
                    Long.parseLong(w[4]));
        }
    }

    /** A voter with an old disk is out of agreeing for good; that is a case of its own. */
    private static final List<Kind> SEEDED = List.of(
            Kind.KILL,
            Kind.KILL_LEADER,
            Kind.PAUSE,
            Kind.CUT,
            Kind.CUT_ONE_WAY,
            Kind.SPLIT,
            Kind.NODE_DIES,
            Kind.RESTART_ALL);

    private final Fleet fleet;
    private final MachineHistory history;
    public int kills;
    public int cuts;
    public int pauses;
    /** Disks as they were; one a router. */
    private final Map<String, Path> copies = new HashMap<>();

    private final List<String> nodesDead = new ArrayList<>();

    public FaultInjector(Fleet fleet) {
        this.fleet = fleet;
        history = fleet.history;
    }

    /** So many, spread over the time; routers and nodes by name. */
    public static List<Fault> schedule(
            long seed,
            List<String> routers,
            List<String> voters,
            List<String> nodes,
            int faults,
            long overMs) {
        SplittableRandom r = new SplittableRandom(seed);
        List<Fault> all = new ArrayList<>();
        for (int i = 0; i < faults; i++) {
            long at = (overMs * i + r.nextLong(Math.max(1, overMs))) / Math.max(1, faults);
            String who = routers.get(r.nextInt(routers.size()));
            String other = routers.get(r.nextInt(routers.size()));
            Kind k = SEEDED.get(r.nextInt(SEEDED.size()));
            long most = 500 + r.nextLong(2500);
            all.add(
                    switch (k) {
                        case CUT, CUT_ONE_WAY ->
                            new Fault(
                                    at,
                                    who.equals(other) ? Kind.KILL : k,
                                    who,
                                    who.equals(other) ? "" : other,
                                    most);
                        case NODE_DIES ->
                            new Fault(
                                    at,
                                    k,
                                    nodes.get(r.nextInt(nodes.size())).replace("-", "/"),
                                    "",
                                    most);
                        case OLD_DISK ->
                            new Fault(at, k, voters.get(r.nextInt(voters.size())), "", most);
                        case KILL_LEADER, SPLIT, RESTART_ALL -> new Fault(at, k, "", "", most);
                        default -> new Fault(at, k, who, "", most);
                    });
        }
        all.sort(Comparator.comparingLong(Fault::atMs));
        return all;
    }

    /**
     * Plays them from now on, one thread, each to its end or until the next is due; then heals all.
     */
    public void run(List<Fault> all) throws InterruptedException, IOException {
        long from = System.nanoTime();
        List<Heal> heals = new ArrayList<>();
        for (Fault f : all) {
            while (true) {
                heals.sort(Comparator.comparingLong(Heal::atMs));
                long due = heals.isEmpty()
                        ? f.atMs()
                        : Math.min(f.atMs(), heals.get(0).atMs());
                long wait = due - (System.nanoTime() - from) / 1_000_000;
                if (wait > 0) {
                    Thread.sleep(wait);
                }
                if (heals.isEmpty() || heals.get(0).atMs() > f.atMs()) {
                    break;
                }
                heals.remove(0).what().run();
            }
            inject(f, heals, (System.nanoTime() - from) / 1_000_000);
        }
        heals.sort(Comparator.comparingLong(Heal::atMs));
        for (Heal h : heals) {
            long wait = h.atMs() - (System.nanoTime() - from) / 1_000_000;
            if (wait > 0) {
                Thread.sleep(wait);
            }
            h.what().run();
        }
        fleet.healAll();
    }

    private record Heal(long atMs, Action what) {}

    private interface Action {
        void run() throws InterruptedException, IOException;
    }

    private boolean isTaken(String machine) {
        return history.takenAt(machine, null) >= 0;
    }

    private void inject(Fault f, List<Heal> heals, long nowMs)
            throws InterruptedException, IOException {
        RouterProcess c = fleet.routers.get(f.who());
        long heal = nowMs + f.forMs();
        switch (f.kind()) {
            case KILL -> kill(c, heals, heal, null);
            case KILL_LEADER -> {
                RouterProcess l = fleet.leader();
                if (l != null) {
                    kill(l, heals, heal, null);
                }
            }
            case OLD_DISK -> {
                Path before = copies.get(c.name);
                if (before == null && c.isUp()) {
                    copies.put(
                            c.name,
                            c.copyDisk()); // Taken now, and put back at the next such fault.
                    kill(c, heals, heal, null);
                } else {
                    // Danger: two old copies at a time may be a majority that has forgotten; one at
                    // a time is
                    // what is promised to be found out.
                    kill(c, heals, heal, copies.size() > 1 ? null : before);
                }
            }
            case PAUSE -> {
                synchronized (c) {
                    if (c.isUp() && !c.isPaused() && !isTaken(c.name)) {
                        fleet.clientGroups.get(c.name).routerLost();
                        c.pause();
                        pauses++;
                        heals.add(new Heal(heal + 2000, () -> {
                            synchronized (c) {
                                c.resume();
                                fleet.clientGroups.get(c.name).routerBack();
                            }
                        }));
                    }
                }
            }
            case CUT -> {
                fleet.cutBoth(f.who(), f.other());
                cuts++;
                heals.add(new Heal(heal, () -> {
                    fleet.heal(f.who(), f.other());
                    fleet.heal(f.other(), f.who());
                }));
            }
            case CUT_ONE_WAY -> {
                fleet.cut(f.who(), f.other());
                cuts++;
                heals.add(new Heal(heal, () -> fleet.heal(f.who(), f.other())));
            }
            case SPLIT -> {
                fleet.isolate(x -> fleet.site(fleet.zoneOf(x)).equals("s0"));
                cuts++;
                heals.add(new Heal(heal, fleet::healAll));
            }
            case NODE_DIES -> {
                String node = f.who().replace("/", "-");
                if (!isTaken(node) && !nodesDead.contains(node)) {
                    nodesDead.add(node);
                    history.add(now(), MachineHistory.EventKind.FAILED, node, "");
                    fleet.emulated
                            .nodes
                            .get(node)
                            .behavior(tinlink.emulator.EmulatedNode.Behavior.STALLED);
                    heals.add(new Heal(heal, () -> {
                        nodesDead.remove(node);
                        fleet.emulated
                                .nodes
                                .get(node)
                                .behavior(tinlink.emulator.EmulatedNode.Behavior.WELL);
                        history.add(now(), MachineHistory.EventKind.HEALED, node, "");
                    }));
                }
            }
            default -> {
                for (RouterProcess x : fleet.routers.values()) {
                    kill(x, heals, heal, null);
                }
            }
        }
    }

    private long now() {
        return fleet.emulatorLoop.call(fleet.emulatorLoop::now);
    }

    private void kill(RouterProcess c, List<Heal> heals, long heal, Path disk)
            throws InterruptedException {
        synchronized (c) {
            if (!c.isUp() || c.isPaused() || isTaken(c.name)) {
                return;
            }
            fleet.clientGroups.get(c.name).routerLost();
            c.kill();
            kills++;
            heals.add(new Heal(heal, () -> {
                synchronized (c) {
                    // An operator who has been told meanwhile that it is out has it now, and starts
                    // it.
                    if (!c.isUp() && !isTaken(c.name)) {
                        if (disk != null) {
                            c.disk(disk);
                        }
                        fleet.start(c);
                    }
                }
            }));
        }
    }
}

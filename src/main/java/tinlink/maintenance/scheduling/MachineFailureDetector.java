package tinlink.maintenance.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Which machines this router looks after, and what it finds of them. Each machine is looked after
 * by a few routers, settled alike by all from the names alone; where one of those fails, the next
 * stands in. Free of I/O: probes are pulled, and what came of them, and of the part calls that are
 * made anyway, is told.
 *
 * <p>Source: D. Thaler and C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates"
 * (1998), for rendezvous hashing: a router that comes or goes moves only what it looks after
 * itself.
 */
public final class MachineFailureDetector {
    /** Carries out a probe; its end is told by {@link #onProbeResult}. */
    public interface Prober {
        void probe(String machine);
    }

    /** What is known of one machine. */
    private static final class ProbeHistory {
        /** Probes that failed in a row; below 0 none has ended yet. */
        int failedProbes = -1;
        /**
         * Part calls that failed in a row, and since when; emptied by one that is answered, or by
         * time.
         */
        int failedCalls;

        long firstFailedCallUs;
        long lastFailedCallUs;
        long nextProbeUs;
        boolean healthy = true;
    }

    /** So many part calls have to fail in a row before they count. */
    private static final int CALL_FAILURE_THRESHOLD = 4;
    /**
     * Calls that failed say nothing after so many rounds with none made: nothing goes there any
     * more.
     */
    private static final int CALL_FAILURE_EXPIRY_ROUNDS = 8;

    private final String router;
    private final WatcherAssignment assignment;
    private final long probeIntervalUs;
    private final int probeFailureThreshold;
    /** Data nodes on this router's list, and the routers that it looks after. */
    private final Map<String, ProbeHistory> histories = new TreeMap<>();

    private final Set<String> nodes = new HashSet<>();
    /** Other routers, as far as they are known, whether they answer or not. */
    private final Set<String> otherRouters = new HashSet<>();

    private long nowUs;

    /**
     * @param watchers routers that look after one machine
     * @param probeIntervalUs between two probes of it
     * @param probeFailureThreshold failed probes in a row make it unsound; one good one, sound again
     */
    public MachineFailureDetector(
            String router, int watchers, long probeIntervalUs, int probeFailureThreshold) {
        this.router = router;
        assignment = new WatcherAssignment(router, watchers);
        this.probeIntervalUs = probeIntervalUs;
        this.probeFailureThreshold = probeFailureThreshold;
    }

    public void setTime(long timeUs) {
        nowUs = timeUs;
    }

    /**
     * Sets who shares the machines out, and what there is to share.
     *
     * @param alive routers that answer; this one counts whatever it hears
     * @param known all other routers that are known, whether they answer or not
     * @param listed data nodes on this router's list
     */
    public void assign(
            Collection<String> alive, Collection<String> known, Collection<String> listed) {
        assignment.setRouters(alive);
        boolean sameMachines = sameElements(nodes, listed) && sameElements(otherRouters, known);
        if (!sameMachines) {
            nodes.clear();
            nodes.addAll(listed);
            otherRouters.clear();
            otherRouters.addAll(known);
            Set<String> machines = new HashSet<>(nodes);
            machines.addAll(otherRouters);
            assignment.setMachines(machines);
        }
        histories.keySet().removeIf(machine -> !nodes.contains(machine) || !watches(machine));
        for (String machine : nodes) {
            if (watches(machine) && !histories.containsKey(machine)) {
                ProbeHistory history = new ProbeHistory();
                // Danger: routers that take over together would all probe in the same instant.
                long weight = WatcherAssignment.weight(router, machine);
                history.nextProbeUs = nowUs + Math.floorMod(weight, Math.max(1, probeIntervalUs));
                histories.put(machine, history);
            }
        }
    }

    private static boolean sameElements(Set<String> set, Collection<String> distinct) {
        return set.size() == distinct.size() && set.containsAll(distinct);
    }

    /**
     * Whether that is one of those that look after this machine; all that know the same routers
     * agree.
     */
    public static boolean watches(
            String router, Collection<String> routers, String machine, int watchers) {
        long ownWeight = WatcherAssignment.weight(router, machine);
        int ahead = 0;
        for (String other : routers) {
            if (!other.equals(machine)
                    && !other.equals(router)
                    && WatcherAssignment.weight(other, machine) < ownWeight) {
                ahead++;
            }
        }
        return !router.equals(machine) && ahead < watchers;
    }

    /** All that look after this machine: those of whom {@link #watches} says so, in one pass. */
    public static List<String> watchers(Collection<String> routers, String machine, int watchers) {
        List<String> others = new ArrayList<>();
        List<Long> weights = new ArrayList<>();
        for (String other : routers) {
            if (!other.equals(machine)) {
                others.add(other);
                weights.add(WatcherAssignment.weight(other, machine));
            }
        }
        if (others.size() <= watchers) {
            return others;
        }
        long highestWeight = weights.stream()
                .sorted()
                .skip(Math.max(0, watchers - 1))
                .findFirst()
                .orElseThrow();
        List<String> watching = new ArrayList<>();
        for (int i = 0; i < others.size(); i++) {
            if (watchers > 0 && weights.get(i) <= highestWeight) {
                watching.add(others.get(i));
            }
        }
        return watching;
    }

    /** Whether this router looks after it. */
    public boolean watches(String machine) {
        return assignment.watches(machine);
    }

    /** A probe has ended. */
    public void onProbeResult(String machine, boolean answered) {
        ProbeHistory history = histories.get(machine);
        if (history != null) {
            history.failedProbes = answered ? 0 : Math.max(0, history.failedProbes) + 1;
            updateHealth(history, answered);
        }
    }

    /** A part call has ended there; those that were never sent or were taken back say nothing. */
    public void onCallResult(String machine, boolean answered) {
        ProbeHistory history = histories.get(machine);
        if (history == null) {
            return;
        }
        if (answered) {
            history.failedCalls = 0;
        } else {
            history.firstFailedCallUs =
                    history.failedCalls++ == 0 ? nowUs : history.firstFailedCallUs;
            history.lastFailedCallUs = nowUs;
        }
        updateHealth(history, answered);
    }

    /**
     * Danger: a node whose process stands still goes on being connected to, by its machine's
     * kernel; only the calls tell. And one slow answer is no failure: calls count once several in a
     * row have failed for longer than a round.
     */
    private void updateHealth(ProbeHistory history, boolean answered) {
        boolean callsFail = history.failedCalls >= CALL_FAILURE_THRESHOLD
                && history.lastFailedCallUs - history.firstFailedCallUs > probeIntervalUs;
        if (history.failedProbes >= probeFailureThreshold || callsFail) {
            history.healthy = false;
        } else if (answered && history.failedProbes <= 0 && history.failedCalls == 0) {
            history.healthy = true;
        }
    }

    /** One probe that is due; false where none is. */
    public boolean decide(Prober prober) {
        for (Map.Entry<String, ProbeHistory> entry : histories.entrySet()) {
            ProbeHistory history = entry.getValue();
            if (history.failedCalls > 0
                    && nowUs - history.lastFailedCallUs
                            > CALL_FAILURE_EXPIRY_ROUNDS * probeIntervalUs) {
                history.failedCalls = 0;
            }
            if (nowUs >= history.nextProbeUs) {
                history.nextProbeUs = nowUs + probeIntervalUs;
                prober.probe(entry.getKey());
                return true;
            }
        }
        return false;
    }

    /** By data node, what is found; of those with no probe ended yet nothing is said. */
    public Map<String, Boolean> observations() {
        Map<String, Boolean> healthyByMachine = new TreeMap<>();
        histories.forEach((machine, history) -> {
            if (history.failedProbes >= 0) {
                healthyByMachine.put(machine, history.healthy);
            }
        });
        return healthyByMachine;
    }
}

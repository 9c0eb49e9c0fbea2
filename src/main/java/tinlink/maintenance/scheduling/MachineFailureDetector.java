package tinlink.maintenance.scheduling;

import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Which machines this router watches, and whether it finds them healthy. Each machine is watched by a few
 * routers, chosen alike by all from the names alone ({@link WatcherAssignment}); where one of those fails,
 * the next takes over. Free of I/O: probes are pulled, and their results, and those of the calls that are
 * made anyway, are passed in. Belongs to one thread.
 */
public final class MachineFailureDetector {
    /** Carries out a probe; its end is passed to {@link #onProbeResult}. */
    public interface Prober {
        /** Starts one probe of that machine. */
        void probe(String machine);
    }

    /** What is known of one machine. */
    private static final class ProbeHistory {
        /** Probes that failed in a row; below 0 none has ended yet. */
        int failedProbes = -1;
        /** Calls that failed in a row; emptied by one that is answered, or by time. */
        int failedCalls;

        long firstFailedCallUs;
        long lastFailedCallUs;
        long nextProbeUs;
        boolean healthy = true;
    }

    /** So many calls have to fail in a row before they count. */
    private static final int CALL_FAILURE_THRESHOLD = 4;
    /** Failed calls expire after so many rounds with none made: nothing goes there any more. */
    private static final int CALL_FAILURE_EXPIRY_ROUNDS = 8;

    private final String router;
    private final WatcherAssignment assignment;
    private final long probeIntervalUs;
    private final int probeFailureThreshold;
    /** By data node that this router watches. */
    private final Map<String, ProbeHistory> histories = new TreeMap<>();

    /** Data nodes on this router's list. */
    private final Set<String> nodes = new HashSet<>();
    /** Other routers, as far as they are known, whether they answer or not. */
    private final Set<String> otherRouters = new HashSet<>();

    private long nowUs;

    /**
     * @param watchers routers that watch one machine
     * @param probeIntervalUs between two probes of it, microseconds
     * @param probeFailureThreshold failed probes in a row make it unhealthy; one that succeeds, healthy again
     */
    public MachineFailureDetector(
            String router, int watchers, long probeIntervalUs, int probeFailureThreshold) {
        this.router = router;
        assignment = new WatcherAssignment(router, watchers);
        this.probeIntervalUs = probeIntervalUs;
        this.probeFailureThreshold = probeFailureThreshold;
    }

    /**
     * Sets the time of what is decided from here on, in microseconds.
     *
     * @param timeUs of a clock that only goes forward
     */
    public void setTime(long timeUs) {
        nowUs = timeUs;
    }

    /**
     * Sets who watches, and what there is to watch.
     *
     * @param alive routers that answer; this one counts in any case
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
        histories.keySet().removeIf(node -> !nodes.contains(node) || !watches(node));
        for (String node : nodes) {
            if (watches(node)) {
                histories.computeIfAbsent(node, this::newHistory);
            }
        }
    }

    private ProbeHistory newHistory(String node) {
        ProbeHistory history = new ProbeHistory();
        // Danger: routers that take over together would all probe in the same instant.
        long weight = WatcherAssignment.weight(router, node);
        history.nextProbeUs = nowUs + Math.floorMod(weight, Math.max(1, probeIntervalUs));
        return history;
    }

    private static boolean sameElements(Set<String> set, Collection<String> distinct) {
        return set.size() == distinct.size() && set.containsAll(distinct);
    }

    /** Whether this router watches the machine. */
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

    /** A call has ended there; those that were never sent or were cancelled are not passed in. */
    public void onCallResult(String machine, boolean answered) {
        ProbeHistory history = histories.get(machine);
        if (history == null) {
            return;
        }
        if (answered) {
            history.failedCalls = 0;
        } else {
            if (history.failedCalls++ == 0) {
                history.firstFailedCallUs = nowUs;
            }
            history.lastFailedCallUs = nowUs;
        }
        updateHealth(history, answered);
    }

    /**
     * Danger: a node whose process stands still goes on being connected to, by its machine's kernel; only the
     * calls show it. And one slow answer is no failure: calls count once several in a row have failed for
     * longer than a round.
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

    /** Starts one probe that is due; false where none is. */
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

    /** By data node, whether it is healthy; of those with no probe ended yet nothing is known. */
    public Map<String, Boolean> observations() {
        Map<String, Boolean> healthyByNode = new TreeMap<>();
        histories.forEach((node, history) -> {
            if (history.failedProbes >= 0) {
                healthyByNode.put(node, history.healthy);
            }
        });
        return healthyByNode;
    }
}

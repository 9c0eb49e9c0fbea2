package tinlink.maintenance.scheduling;

import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Determines which machines this router watches, and whether the data nodes among them are healthy. Each
 * machine is watched by a few routers, which all routers derive alike from the names alone ({@link
 * WatcherAssignment}); if one of them fails, the next one takes over. The class does no I/O: the caller runs
 * the probes that {@link #decide} starts, and passes in their results and those of the router's attempts. Not
 * thread-safe.
 */
public final class MachineFailureDetector {
    /** Runs a probe and passes its result to {@link #onProbeResult}. */
    public interface Prober {
        /** Starts one probe of the machine. */
        void probe(String machine);
    }

    /** The recent results of probes and attempts at one data node. Times are microseconds. */
    private static final class NodeHistory {
        /** Number of consecutive failed probes; -1 until the first probe has ended. */
        int failedProbes = -1;
        /** Number of consecutive failed attempts; reset by an answered attempt and by expiry. */
        int failedAttempts;

        long firstFailedAttemptUs;
        long lastFailedAttemptUs;
        long nextProbeUs;
        boolean healthy = true;
    }

    /** Number of consecutive failed attempts from which they count against a data node. */
    private static final int ATTEMPT_FAILURE_THRESHOLD = 4;
    /**
     * Number of probe intervals after which failed attempts expire if none follows: a data node that gets no
     * attempts any more cannot answer one.
     */
    private static final int ATTEMPT_FAILURE_EXPIRY_INTERVALS = 8;

    private final String router;
    private final WatcherAssignment assignment;
    private final long probeIntervalUs;
    private final int probeFailureThreshold;
    /** By id of a data node that this router watches. */
    private final Map<String, NodeHistory> histories = new TreeMap<>();

    /** Ids of the data nodes on this router's endpoint list. */
    private final Set<String> nodes = new HashSet<>();
    /** Names of the other known routers, whether they answer or not. */
    private final Set<String> otherRouters = new HashSet<>();

    private long nowUs;

    /**
     * @param watchers number of routers that watch one machine
     * @param probeIntervalUs time between two probes of a data node, microseconds
     * @param probeFailureThreshold number of consecutive failed probes that make a data node unhealthy; one
     *     successful probe makes it healthy again
     */
    public MachineFailureDetector(
            String router, int watchers, long probeIntervalUs, int probeFailureThreshold) {
        this.router = router;
        assignment = new WatcherAssignment(router, watchers);
        this.probeIntervalUs = probeIntervalUs;
        this.probeFailureThreshold = probeFailureThreshold;
    }

    /**
     * Sets the time that the next results and decisions have.
     *
     * @param timeUs microseconds of a monotonic clock
     */
    public void setTime(long timeUs) {
        nowUs = timeUs;
    }

    /**
     * Sets the routers that watch machines, and the machines that are watched.
     *
     * @param alive routers that answer; this router counts as one, whether it is contained or not
     * @param known all other known routers, whether they answer or not
     * @param listed ids of the data nodes on this router's endpoint list
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

    private NodeHistory newHistory(String node) {
        NodeHistory history = new NodeHistory();
        // The offset keeps routers that take over at the same time from probing in the same
        // instant.
        long weight = WatcherAssignment.weight(router, node);
        history.nextProbeUs = nowUs + Math.floorMod(weight, Math.max(1, probeIntervalUs));
        return history;
    }

    private static boolean sameElements(Set<String> set, Collection<String> distinct) {
        return set.size() == distinct.size() && set.containsAll(distinct);
    }

    /** Returns whether this router watches the machine. */
    public boolean watches(String machine) {
        return assignment.watches(machine);
    }

    /** Records the result of a probe. */
    public void onProbeResult(String machine, boolean answered) {
        NodeHistory history = histories.get(machine);
        if (history != null) {
            history.failedProbes = answered ? 0 : Math.max(0, history.failedProbes) + 1;
            updateHealth(history, answered);
        }
    }

    /**
     * Records the result of an attempt at a data node. Attempts that were not sent or were cancelled are not
     * passed in.
     */
    public void onAttemptResult(String machine, boolean answered) {
        NodeHistory history = histories.get(machine);
        if (history == null) {
            return;
        }
        if (answered) {
            history.failedAttempts = 0;
        } else {
            if (history.failedAttempts++ == 0) {
                history.firstFailedAttemptUs = nowUs;
            }
            history.lastFailedAttemptUs = nowUs;
        }
        updateHealth(history, answered);
    }

    /**
     * Updates the health after a result. Failed attempts count besides failed probes, because the kernel of a
     * machine whose data node process hangs still accepts connections, so that probes succeed. One slow
     * answer is no failure: attempts count only if several consecutive ones fail over more than one probe
     * interval.
     */
    private void updateHealth(NodeHistory history, boolean answered) {
        boolean attemptsFail = history.failedAttempts >= ATTEMPT_FAILURE_THRESHOLD
                && history.lastFailedAttemptUs - history.firstFailedAttemptUs > probeIntervalUs;
        if (history.failedProbes >= probeFailureThreshold || attemptsFail) {
            history.healthy = false;
        } else if (answered && history.failedProbes <= 0 && history.failedAttempts == 0) {
            history.healthy = true;
        }
    }

    /** Starts one probe that is due; returns false if none is. */
    public boolean decide(Prober prober) {
        for (Map.Entry<String, NodeHistory> entry : histories.entrySet()) {
            NodeHistory history = entry.getValue();
            if (history.failedAttempts > 0
                    && nowUs - history.lastFailedAttemptUs
                            > ATTEMPT_FAILURE_EXPIRY_INTERVALS * probeIntervalUs) {
                history.failedAttempts = 0;
            }
            if (nowUs >= history.nextProbeUs) {
                history.nextProbeUs = nowUs + probeIntervalUs;
                prober.probe(entry.getKey());
                return true;
            }
        }
        return false;
    }

    /** Returns by data node whether it is healthy; data nodes without a finished probe are left out. */
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

package tinlink.maintenance.scheduling;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The newest grant of a task, and the progress of the routers under it. When a grant ends, its fencing token
 * becomes 0; the other fields keep their values until the next grant.
 */
final class Grant {
    private long fencingToken;
    /**
     * The routers, each with its incarnation, that have confirmed that they have nothing in flight at the
     * machine. Emptied by the next grant and when the task is finished.
     */
    private final Set<String> drainedBy = new LinkedHashSet<>();

    private String startedBy = "";
    private boolean unhealthyWhenGranted;
    private boolean servingAgain;

    Grant() {}

    /** Creates an independent copy. */
    Grant(Grant other) {
        fencingToken = other.fencingToken;
        drainedBy.addAll(other.drainedBy);
        startedBy = other.startedBy;
        unhealthyWhenGranted = other.unhealthyWhenGranted;
        servingAgain = other.servingAgain;
    }

    /**
     * Replaces this grant by the next one, which no router has started.
     *
     * @param unhealthy whether the machine is unhealthy now
     */
    void renew(long newToken, boolean unhealthy) {
        fencingToken = newToken;
        drainedBy.clear();
        startedBy = "";
        unhealthyWhenGranted = unhealthy;
        servingAgain = false;
    }

    void end() {
        fencingToken = 0;
    }

    /**
     * Returns the token, which is higher than that of any earlier grant of the fleet; 0 if no grant is held.
     * Commands that carry another token are rejected.
     */
    long fencingToken() {
        return fencingToken;
    }

    /** Returns the incarnation of the router that drains itself under this grant; empty if none does yet. */
    String startedBy() {
        return startedBy;
    }

    void start(String incarnation) {
        startedBy = incarnation;
    }

    /** Returns whether this incarnation of the router has confirmed that it has nothing in flight there. */
    boolean isDrainedBy(String router, String incarnation) {
        return drainedBy.contains(entry(router, incarnation));
    }

    void confirmDrained(String router, String incarnation) {
        drainedBy.add(entry(router, incarnation));
    }

    void forgetDrained() {
        drainedBy.clear();
    }

    private static String entry(String router, String incarnation) {
        return router + " " + incarnation;
    }

    /** Returns whether the machine was unhealthy when it was granted, so that no limit was checked. */
    boolean wasUnhealthyWhenGranted() {
        return unhealthyWhenGranted;
    }

    /** Returns whether the router that the task is for has confirmed that it serves again. */
    boolean isServingAgain() {
        return servingAgain;
    }

    void confirmServing() {
        servingAgain = true;
    }

    /** Returns the drain confirmations in the form that snapshots have. */
    String storedDrainedBy() {
        return String.join(",", drainedBy);
    }

    /** Restores from a snapshot what {@link #renew} does not set. */
    void restore(boolean serving, String startedByIncarnation, String storedDrainedBy) {
        servingAgain = serving;
        startedBy = startedByIncarnation;
        if (!storedDrainedBy.isEmpty()) {
            drainedBy.addAll(List.of(storedDrainedBy.split(",")));
        }
    }
}

package tinlink.maintenance.scheduling;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The newest grant of a task, and who acts by it. Its other fields keep their values when it has ended, until
 * the next one.
 */
final class Grant {
    private long fencingToken;
    /** Routers, with their incarnations, that have nothing in flight at the machine any more. */
    private final Set<String> drainedBy = new LinkedHashSet<>();

    private String startedBy = "";
    private boolean machineHadFailed;
    private boolean servingAgain;

    Grant() {}

    /** A copy that changes on its own from here. */
    Grant(Grant other) {
        fencingToken = other.fencingToken;
        drainedBy.addAll(other.drainedBy);
        startedBy = other.startedBy;
        machineHadFailed = other.machineHadFailed;
        servingAgain = other.servingAgain;
    }

    /** Begins the next one. */
    void renew(long newToken, boolean hasFailed) {
        fencingToken = newToken;
        drainedBy.clear();
        startedBy = "";
        machineHadFailed = hasFailed;
        servingAgain = false;
    }

    void end() {
        fencingToken = 0;
    }

    /** Rises with each grant of the fleet; 0 where none holds. What comes with another is rejected. */
    long fencingToken() {
        return fencingToken;
    }

    /** The incarnation of a router that drains itself by this grant; empty where none does yet. */
    String startedBy() {
        return startedBy;
    }

    void start(String incarnation) {
        startedBy = incarnation;
    }

    /** Whether that incarnation of that router has nothing in flight at the machine any more. */
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

    /** Whether the machine was unhealthy when it was granted, so that no limit was checked. */
    boolean machineHadFailed() {
        return machineHadFailed;
    }

    /** Whether the router that the task is for has said itself that it serves again. */
    boolean isServingAgain() {
        return servingAgain;
    }

    void confirmServing() {
        servingAgain = true;
    }

    /** As it stands in snapshots. */
    String storedDrainedBy() {
        return String.join(",", drainedBy);
    }

    /** Sets all but the token, which {@link #renew} sets, as a snapshot has it. */
    void restore(boolean isServing, String startedByIncarnation, String storedDrainedBy) {
        servingAgain = isServing;
        startedBy = startedByIncarnation;
        if (!storedDrainedBy.isEmpty()) {
            drainedBy.addAll(List.of(storedDrainedBy.split(",")));
        }
    }
}

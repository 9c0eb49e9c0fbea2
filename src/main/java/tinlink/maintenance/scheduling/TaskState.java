package tinlink.maintenance.scheduling;

import java.util.Arrays;
import java.util.Locale;

/** The state of a {@link MaintenanceTask}; all routers see the same state. */
public enum TaskState {
    /** The task has not been granted yet. */
    WAITING("WAITING"),
    /** The task has been granted, and its drain has not been started yet. */
    GRANTED("GRANTED"),
    /** The machine drains: routers cordon a data node, and a router finishes its clients' requests. */
    DRAINING("DRAINING"),
    /** The operator may work on the machine. */
    OUT("OUT"),
    /** The machine returns, after its work or a revoked drain; it is unavailable until it has warmed up. */
    RETURNING("RETURNING"),
    /** The machine has returned and has warmed up. */
    COMPLETED("BACK"),
    /** The task can never be granted, or names no machine. */
    REJECTED("REFUSED"),
    /** The operator has cancelled the task. */
    CANCELLED("CALLED_OFF"),
    /**
     * The task has not started in time, or its operator has given the machine up; both end it. Or the machine
     * has been out for longer than requested, and stays unavailable.
     */
    OVERDUE("OVERDUE");

    private final String storedName;

    TaskState(String storedName) {
        this.storedName = storedName;
    }

    /** Returns the name that snapshots contain; earlier builds have stored it, so it must not change. */
    String storedName() {
        return storedName;
    }

    /**
     * Returns the state with this name in snapshots.
     *
     * @throws IllegalArgumentException if there is none
     */
    static TaskState ofStoredName(String name) {
        return Arrays.stream(values())
                .filter(state -> state.storedName.equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException(
                        "maintenance snapshot: unknown task state: " + name));
    }

    /** Returns the name that operators see. */
    public String label() {
        return storedName.toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}

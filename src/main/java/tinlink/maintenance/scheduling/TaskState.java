package tinlink.maintenance.scheduling;

import java.util.Arrays;
import java.util.Locale;

/** The state of the maintenance of one machine; the same for all routers. */
public enum TaskState {
    /** It has not been granted yet. */
    WAITING("WAITING"),
    /** It may start; nothing has been done by it yet. */
    GRANTED("GRANTED"),
    /** No router sends the machine anything new; a router lets its clients finish and go. */
    DRAINING("DRAINING"),
    /** Its operator may take the machine. */
    OUT("OUT"),
    /** Its operator has given the machine back, which counts as out until it has warmed up. */
    RETURNING("RETURNING"),
    /** Its machine is back and has warmed up. */
    COMPLETED("BACK"),
    /** It can never be granted, or names no machine. */
    REJECTED("REFUSED"),
    /** Its operator has taken it back. */
    CANCELLED("CALLED_OFF"),
    /** It has not started in time, which ends it; or the machine is out for longer than was asked. */
    OVERDUE("OVERDUE");

    private final String storedName;

    TaskState(String storedName) {
        this.storedName = storedName;
    }

    /** As it stands in snapshots. */
    String storedName() {
        return storedName;
    }

    /**
     * The state with that name in snapshots.
     *
     * @throws IllegalArgumentException where there is none
     */
    static TaskState ofStoredName(String name) {
        return Arrays.stream(values())
                .filter(state -> state.storedName.equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("not a state of a task: " + name));
    }

    /** As operators read it. */
    public String label() {
        return storedName.toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}

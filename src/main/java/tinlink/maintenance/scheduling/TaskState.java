package tinlink.maintenance.scheduling;

/** Where the work on one machine stands; the same for all routers. */
public enum TaskState {
    WAITING,
    /** It may go; nothing has been done by it yet. */
    GRANTED,
    /** No router sends it anything new; for a router: it lets its clients go. */
    DRAINING,
    /** Its operator may take it. */
    OUT,
    /**
     * Its operator has given it back; it counts as out until it has been sound for as long as is
     * stated.
     */
    RETURNING,
    BACK,
    /** It can never be granted, or names nothing. */
    REFUSED,
    CALLED_OFF,
    /** It has not started in its time, which ends it; or it is out for longer than was asked. */
    OVERDUE;

    /** As operators read it. */
    public String label() {
        return name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ');
    }
}

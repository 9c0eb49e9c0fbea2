package tinlink.maintenance.scheduling;

/**
 * The maintenance of one machine of a request. Only commands of the replicated log change a task. Times are
 * microseconds of agreed time ({@link MaintenanceState#agreedTimeUs}).
 */
public final class MaintenanceTask {
    /** A deadline that is never reached. */
    static final long NEVER = Long.MAX_VALUE;

    private final MaintenanceRequest request;
    private final String machine;
    private final long requestedAtUs;
    private final long sequenceNumber;
    private final Grant grant;
    private TaskState state = TaskState.WAITING;
    private String reason = "";
    private long stateSinceUs;
    private long deadlineUs;
    private boolean requeuedOnReturn;
    private boolean cancelledOnReturn;

    /** @param sequenceNumber rises with each task in the order of the requests */
    MaintenanceTask(
            MaintenanceRequest request, String machine, long requestedAtUs, long sequenceNumber) {
        this.request = request;
        this.machine = machine;
        this.requestedAtUs = requestedAtUs;
        this.sequenceNumber = sequenceNumber;
        grant = new Grant();
        stateSinceUs = requestedAtUs;
    }

    /** Creates an independent copy. */
    MaintenanceTask(MaintenanceTask other) {
        request = other.request;
        machine = other.machine;
        requestedAtUs = other.requestedAtUs;
        sequenceNumber = other.sequenceNumber;
        grant = new Grant(other.grant);
        state = other.state;
        reason = other.reason;
        stateSinceUs = other.stateSinceUs;
        deadlineUs = other.deadlineUs;
        requeuedOnReturn = other.requeuedOnReturn;
        cancelledOnReturn = other.cancelledOnReturn;
    }

    /** Returns the request that the task belongs to. */
    public MaintenanceRequest request() {
        return request;
    }

    /** Returns the id of the machine; empty if the request names none. */
    public String machine() {
        return machine;
    }

    /** Returns the current state. */
    public TaskState state() {
        return state;
    }

    /**
     * Returns why the task is in its state; may be empty. Reasons are stored in snapshots and shown to
     * operators, so their wording must not change.
     */
    public String reason() {
        return reason;
    }

    /** Returns the fencing token of the grant; 0 if the task holds none. */
    public long fencingToken() {
        return grant.fencingToken();
    }

    /** Returns whether this incarnation of the router has confirmed that it has nothing in flight there. */
    public boolean isDrainedBy(String router, String incarnation) {
        return grant.isDrainedBy(router, incarnation);
    }

    /** Returns whether this incarnation of the router to be taken out has started to drain itself. */
    public boolean isStartedBy(String incarnation) {
        return grant.startedBy().equals(incarnation);
    }

    /** Returns whether the router that was taken out has confirmed that it serves again. */
    public boolean isServingAgain() {
        return grant.isServingAgain();
    }

    /** Returns when the task entered its state. */
    public long stateSinceUs() {
        return stateSinceUs;
    }

    /** Returns whether the task makes its machine unavailable. */
    public boolean isActive() {
        return switch (state) {
            case GRANTED, DRAINING, OUT, RETURNING -> true;
            case OVERDUE -> fencingToken() > 0;
            default -> false;
        };
    }

    /** Returns whether routers must not send new attempts to the machine. */
    public boolean isCordoned() {
        return isActive() && state != TaskState.RETURNING;
    }

    /** Returns whether the task has reached a state that it never leaves. */
    public boolean isFinished() {
        return state != TaskState.WAITING && !isActive();
    }

    /** Returns whether the operator may work on the machine. */
    public boolean isOut() {
        return state == TaskState.OUT || (state == TaskState.OVERDUE && isActive());
    }

    Grant grant() {
        return grant;
    }

    long requestedAtUs() {
        return requestedAtUs;
    }

    long sequenceNumber() {
        return sequenceNumber;
    }

    /**
     * Returns until when a grant has to be started; for a machine that is out, until when it has to return.
     */
    long deadlineUs() {
        return deadlineUs;
    }

    /** Returns whether the grant was revoked during the drain: the task waits again after the return. */
    boolean isRequeuedOnReturn() {
        return requeuedOnReturn;
    }

    /** Returns whether the task was cancelled during the drain: it ends after the return. */
    boolean isCancelledOnReturn() {
        return cancelledOnReturn;
    }

    void setReason(String reason) {
        this.reason = reason;
    }

    void setDeadlineUs(long deadlineUs) {
        this.deadlineUs = deadlineUs;
    }

    void setRequeuedOnReturn(boolean requeued) {
        requeuedOnReturn = requeued;
    }

    void setCancelledOnReturn(boolean cancelled) {
        cancelledOnReturn = cancelled;
    }

    /** Sets the state. {@link TaskTable} must do this for the tasks in it, since it caches by state. */
    void setState(TaskState state, long sinceUs) {
        this.state = state;
        stateSinceUs = sinceUs;
    }
}

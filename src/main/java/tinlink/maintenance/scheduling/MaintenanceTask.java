package tinlink.maintenance.scheduling;

/**
 * The maintenance of one machine of a request. Nothing of it changes but by commands of the agreed log. Times
 * are microseconds of agreed time.
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
    private boolean requeueOnReturn;
    private boolean cancelOnReturn;

    /** @param sequenceNumber in the order in which tasks were requested */
    MaintenanceTask(
            MaintenanceRequest request, String machine, long requestedAtUs, long sequenceNumber) {
        this.request = request;
        this.machine = machine;
        this.requestedAtUs = requestedAtUs;
        this.sequenceNumber = sequenceNumber;
        grant = new Grant();
        stateSinceUs = requestedAtUs;
    }

    /** A copy that changes on its own from here. */
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
        requeueOnReturn = other.requeueOnReturn;
        cancelOnReturn = other.cancelOnReturn;
    }

    /** The request that it belongs to. */
    public MaintenanceRequest request() {
        return request;
    }

    /** The machine's id; empty where the request names none. */
    public String machine() {
        return machine;
    }

    /** Its state now. */
    public TaskState state() {
        return state;
    }

    /** Why it stands as it does, for operators; may be empty. */
    public String reason() {
        return reason;
    }

    /** Of its newest grant; 0 where it holds none. */
    public long fencingToken() {
        return grant.fencingToken();
    }

    /** Whether that incarnation of that router has nothing in flight at the machine any more. */
    public boolean isDrainedBy(String router, String incarnation) {
        return grant.isDrainedBy(router, incarnation);
    }

    /** Whether that incarnation of the router that the task is for drains itself by its grant. */
    public boolean isStartedBy(String incarnation) {
        return grant.startedBy().equals(incarnation);
    }

    /** Whether the router that the task is for has said itself that it serves again. */
    public boolean isServingAgain() {
        return grant.isServingAgain();
    }

    /** When it came to its state. */
    public long stateSinceUs() {
        return stateSinceUs;
    }

    /** Whether its machine can't be counted on. */
    public boolean isActive() {
        return switch (state) {
            case GRANTED, DRAINING, OUT, RETURNING -> true;
            case OVERDUE -> fencingToken() > 0;
            default -> false;
        };
    }

    /** Whether no router is to send its machine anything new. */
    public boolean isCordoned() {
        return isActive() && state != TaskState.RETURNING;
    }

    /** Whether nothing of it changes any more. */
    public boolean isFinished() {
        return state != TaskState.WAITING && !isActive();
    }

    /** Whether its operator may have the machine. */
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

    /** Until when a grant may be started; of a machine that is out, until when it has to be back. */
    long deadlineUs() {
        return deadlineUs;
    }

    /** Whether it was called back while it drained, and waits again once its machine is back. */
    boolean isRequeuedOnReturn() {
        return requeueOnReturn;
    }

    /** Whether it was cancelled while it drained, which ends it once its machine is back. */
    boolean isCancelledOnReturn() {
        return cancelOnReturn;
    }

    void setReason(String reason) {
        this.reason = reason;
    }

    void setDeadlineUs(long deadlineUs) {
        this.deadlineUs = deadlineUs;
    }

    void requeueOnReturn(boolean requeue) {
        requeueOnReturn = requeue;
    }

    void cancelOnReturn(boolean cancel) {
        cancelOnReturn = cancel;
    }

    /** Only {@link TaskTable} calls this: it keeps an index by state. */
    void setState(TaskState state, long sinceUs) {
        this.state = state;
        stateSinceUs = sinceUs;
    }
}

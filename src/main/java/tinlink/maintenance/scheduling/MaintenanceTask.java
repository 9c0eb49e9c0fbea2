package tinlink.maintenance.scheduling;

import tinlink.cluster.consensus.LineCodec;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The work on one machine of a request. Nothing of it changes but by what all have agreed on. */
public final class MaintenanceTask {
    final MaintenanceRequest request;
    final String machine;
    final long requestedAtUs;
    /** In which order it was asked for. */
    final long sequenceNumber;

    TaskState state = TaskState.WAITING;
    String reason = "";
    /** Of its newest grant, 0 before; a grant with another number is over. */
    long fencingToken;
    /** When it came to stand so, in agreed time. */
    long stateSinceUs;
    /** Until when a grant may be begun, in agreed time; then what is out has to be back. */
    long deadlineUs;
    /**
     * Lives of routers that have nothing open there any more, by their words; emptied at its next
     * grant.
     */
    final Set<String> drainedBy = new LinkedHashSet<>();
    /** A router's: the incarnation of it that acts by its grant. */
    String startedBy = "";
    /** Granted while its machine had failed. */
    boolean grantedWhileFailed;
    /** A router's: it has said itself that it serves again. */
    boolean servingAgain;
    /** Called back while it drained: it waits again once its machine is back. */
    boolean requeueOnReturn;
    /** Called off while it drained: it ends so once its machine is back. */
    boolean cancelOnReturn;

    MaintenanceTask(
            MaintenanceRequest request, String machine, long requestedAtUs, long sequenceNumber) {
        this.request = request;
        this.machine = machine;
        this.requestedAtUs = requestedAtUs;
        this.sequenceNumber = sequenceNumber;
        stateSinceUs = requestedAtUs;
    }

    /** A copy that goes its own way from here. */
    MaintenanceTask(MaintenanceTask other) {
        this(other.request, other.machine, other.requestedAtUs, other.sequenceNumber);
        state = other.state;
        reason = other.reason;
        fencingToken = other.fencingToken;
        stateSinceUs = other.stateSinceUs;
        deadlineUs = other.deadlineUs;
        drainedBy.addAll(other.drainedBy);
        startedBy = other.startedBy;
        grantedWhileFailed = other.grantedWhileFailed;
        servingAgain = other.servingAgain;
        requeueOnReturn = other.requeueOnReturn;
        cancelOnReturn = other.cancelOnReturn;
    }

    public MaintenanceRequest request() {
        return request;
    }

    public String machine() {
        return machine;
    }

    public TaskState state() {
        return state;
    }

    public String reason() {
        return reason;
    }

    /** Whether that incarnation of that router has said that it has nothing open there. */
    public boolean isDrainedBy(String router, String incarnation) {
        return drainedBy.contains(router + " " + incarnation);
    }

    public boolean isStartedBy(String incarnation) {
        return startedBy.equals(incarnation);
    }

    public boolean servingAgain() {
        return servingAgain;
    }

    public long fencingToken() {
        return fencingToken;
    }

    public long stateSinceUs() {
        return stateSinceUs;
    }

    public long deadlineUs() {
        return deadlineUs;
    }

    /** Its machine can't be counted on. */
    public boolean isActive() {
        return switch (state) {
            case GRANTED, DRAINING, OUT, RETURNING -> true;
            case OVERDUE -> fencingToken > 0;
            default -> false;
        };
    }

    /** No router is to send its machine anything new. */
    public boolean isCordoned() {
        return isActive() && state != TaskState.RETURNING;
    }

    public boolean isFinished() {
        return state != TaskState.WAITING && !isActive();
    }

    String encode() {
        return LineCodec.encode(
                "piece",
                request.id(),
                machine,
                requestedAtUs,
                sequenceNumber,
                state,
                reason,
                fencingToken,
                stateSinceUs,
                deadlineUs,
                cancelOnReturn,
                servingAgain,
                grantedWhileFailed,
                requeueOnReturn,
                startedBy,
                String.join(",", drainedBy));
    }

    static MaintenanceTask decode(List<String> fields, MaintenanceRequest request) {
        MaintenanceTask task = new MaintenanceTask(
                request,
                fields.get(2),
                Long.parseLong(fields.get(3)),
                Long.parseLong(fields.get(4)));
        task.state = TaskState.valueOf(fields.get(5));
        task.reason = fields.get(6);
        task.fencingToken = Long.parseLong(fields.get(7));
        task.stateSinceUs = Long.parseLong(fields.get(8));
        task.deadlineUs = Long.parseLong(fields.get(9));
        task.cancelOnReturn = Boolean.parseBoolean(fields.get(10));
        task.servingAgain = Boolean.parseBoolean(fields.get(11));
        task.grantedWhileFailed = Boolean.parseBoolean(fields.get(12));
        task.requeueOnReturn = Boolean.parseBoolean(fields.get(13));
        task.startedBy = fields.get(14);
        if (!fields.get(15).isEmpty()) {
            task.drainedBy.addAll(List.of(fields.get(15).split(",")));
        }
        return task;
    }
}

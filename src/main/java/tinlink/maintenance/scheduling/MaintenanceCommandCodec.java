package tinlink.maintenance.scheduling;

import tinlink.cluster.consensus.FieldReader;
import tinlink.cluster.consensus.LineCodec;
import tinlink.maintenance.scheduling.MaintenanceCommand.AdvanceTime;
import tinlink.maintenance.scheduling.MaintenanceCommand.CancelRequest;
import tinlink.maintenance.scheduling.MaintenanceCommand.CompleteWork;
import tinlink.maintenance.scheduling.MaintenanceCommand.ConfirmDrained;
import tinlink.maintenance.scheduling.MaintenanceCommand.ConfirmServing;
import tinlink.maintenance.scheduling.MaintenanceCommand.RegisterMachine;
import tinlink.maintenance.scheduling.MaintenanceCommand.RegisterRouter;
import tinlink.maintenance.scheduling.MaintenanceCommand.RemoveMachine;
import tinlink.maintenance.scheduling.MaintenanceCommand.RemoveRouter;
import tinlink.maintenance.scheduling.MaintenanceCommand.SetHealth;
import tinlink.maintenance.scheduling.MaintenanceCommand.SetLimits;
import tinlink.maintenance.scheduling.MaintenanceCommand.StartDrain;
import tinlink.maintenance.scheduling.MaintenanceCommand.SubmitRequest;
import tinlink.maintenance.scheduling.MaintenanceCommand.Unknown;

import java.util.List;

/**
 * The written form of {@link MaintenanceCommand}s: a line of fields, the kind first. This is version 1, which
 * has no number; it is stored and sent between builds, so its words stay. A later form would begin with
 * {@code @} and its version, which earlier builds take for a command that they don't know.
 */
public final class MaintenanceCommandCodec {
    static final String LIMITS = "bounds";
    static final String MACHINE = "machine";
    static final String ROUTER = "life";
    static final String REQUEST = "request";
    private static final String ADVANCE_TIME = "tick";
    private static final String REMOVE_MACHINE = "gone";
    private static final String HEALTH = "sound";
    private static final String REMOVE_ROUTER = "ended";
    private static final String CANCEL = "call-off";
    private static final String START_DRAIN = "begin";
    private static final String DRAINED = "clear";
    private static final String SERVING = "serves";
    private static final String COMPLETE = "done";
    private static final String LOST = "lost";
    private static final String RETURNED = "back";

    private MaintenanceCommandCodec() {}

    /**
     * Returns the line of a command; {@link #decode} makes the same command from it.
     *
     * @throws IllegalArgumentException for an {@link Unknown}, which is never proposed
     */
    public static String encode(MaintenanceCommand command) {
        if (command instanceof SetLimits setLimits) {
            return limits(setLimits.limits());
        } else if (command instanceof AdvanceTime advanceTime) {
            return LineCodec.encode(ADVANCE_TIME, advanceTime.elapsedUs());
        } else if (command instanceof RegisterMachine registerMachine) {
            return machine(registerMachine.machine());
        } else if (command instanceof RemoveMachine removeMachine) {
            return LineCodec.encode(REMOVE_MACHINE, removeMachine.machine());
        } else if (command instanceof SetHealth setHealth) {
            return LineCodec.encode(HEALTH, setHealth.machine(), setHealth.healthy());
        } else if (command instanceof RegisterRouter registerRouter) {
            return LineCodec.encode(ROUTER, registerRouter.router(), registerRouter.incarnation());
        } else if (command instanceof RemoveRouter removeRouter) {
            return LineCodec.encode(
                    REMOVE_ROUTER, removeRouter.router(), removeRouter.incarnation());
        } else if (command instanceof SubmitRequest submitRequest) {
            return request(submitRequest.request());
        } else if (command instanceof CancelRequest cancelRequest) {
            return LineCodec.encode(CANCEL, cancelRequest.request(), cancelRequest.reason());
        } else if (command instanceof CompleteWork completeWork) {
            return LineCodec.encode(
                    COMPLETE,
                    completeWork.request(),
                    completeWork.machine(),
                    completeWork.lost() ? LOST : RETURNED);
        }
        return encodeProgress(command);
    }

    /** What routers say of a drain. */
    private static String encodeProgress(MaintenanceCommand command) {
        if (command instanceof StartDrain startDrain) {
            return LineCodec.encode(
                    START_DRAIN,
                    startDrain.router(),
                    startDrain.fencingToken(),
                    startDrain.incarnation());
        } else if (command instanceof ConfirmDrained confirmDrained) {
            return LineCodec.encode(
                    DRAINED,
                    confirmDrained.machine(),
                    confirmDrained.fencingToken(),
                    confirmDrained.router(),
                    confirmDrained.incarnation());
        } else if (command instanceof ConfirmServing confirmServing) {
            return LineCodec.encode(SERVING, confirmServing.router(), confirmServing.incarnation());
        }
        throw new IllegalArgumentException("not a command that is written: " + command);
    }

    /** Reads a command; one that can't be read is an {@link Unknown}. */
    public static MaintenanceCommand decode(String line) {
        FieldReader fields = new FieldReader(LineCodec.decode(line));
        String kind = fields.nextText();
        try {
            return decode(kind, fields);
        } catch (IllegalArgumentException e) {
            return new Unknown(line);
        }
    }

    private static MaintenanceCommand decode(String kind, FieldReader fields) {
        return switch (kind) {
            case LIMITS -> new SetLimits(limits(fields));
            case ADVANCE_TIME -> new AdvanceTime(fields.nextLong());
            case MACHINE -> new RegisterMachine(machine(fields));
            case REMOVE_MACHINE -> new RemoveMachine(fields.nextText());
            case HEALTH -> new SetHealth(fields.nextText(), fields.nextBoolean());
            case ROUTER -> new RegisterRouter(fields.nextText(), fields.nextText());
            case REMOVE_ROUTER -> new RemoveRouter(fields.nextText(), fields.nextText());
            case REQUEST -> new SubmitRequest(request(fields));
            case CANCEL -> new CancelRequest(fields.nextText(), fields.nextText());
            case START_DRAIN ->
                new StartDrain(fields.nextText(), fields.nextLong(), fields.nextText());
            case DRAINED ->
                new ConfirmDrained(
                        fields.nextText(), fields.nextLong(), fields.nextText(), fields.nextText());
            case SERVING -> new ConfirmServing(fields.nextText(), fields.nextText());
            case COMPLETE ->
                new CompleteWork(
                        fields.nextText(), fields.nextText(), fields.nextText().equals(LOST));
            default -> new Unknown(kind);
        };
    }

    /** The line of a machine: of its command, of a snapshot, and inside reports. */
    static String machine(Machine machine) {
        return LineCodec.encode(
                MACHINE,
                machine.id(),
                machine.kind(),
                machine.cell(),
                machine.zone(),
                machine.site(),
                machine.model(),
                machine.voter());
    }

    /** Reads a machine from the fields after the kind. */
    static Machine machine(FieldReader fields) {
        return new Machine(
                fields.nextText(),
                Machine.Kind.valueOf(fields.nextText()),
                fields.nextInt(),
                fields.nextText(),
                fields.nextText(),
                fields.nextText(),
                fields.nextBoolean());
    }

    /** The line of a request: of its command, and of a snapshot. */
    static String request(MaintenanceRequest request) {
        return LineCodec.encode(
                REQUEST,
                request.id(),
                String.join(",", request.machines()),
                request.durationUs(),
                request.startWithinUs(),
                request.urgency(),
                request.author(),
                request.reason());
    }

    /** Reads a request from the fields after the kind. */
    static MaintenanceRequest request(FieldReader fields) {
        String requestId = fields.nextText();
        String machines = fields.nextText();
        return new MaintenanceRequest(
                requestId,
                machines.isEmpty() ? List.of() : List.of(machines.split(",")),
                fields.nextLong(),
                fields.nextLong(),
                fields.nextInt(),
                fields.nextText(),
                fields.nextText());
    }

    /** The line of the limits: of their command, and of a snapshot. */
    static String limits(DisruptionLimits limits) {
        return LineCodec.encode(
                LIMITS,
                limits.minReplicas(),
                limits.minZoneShare(),
                limits.minSiteShare(),
                limits.warmUpUs(),
                limits.grantTimeoutUs(),
                limits.agingStepUs(),
                limits.maxTasks(),
                limits.maxEntries());
    }

    /** Reads limits from the fields after the kind. */
    static DisruptionLimits limits(FieldReader fields) {
        return new DisruptionLimits(
                fields.nextInt(),
                fields.nextDouble(),
                fields.nextDouble(),
                fields.nextLong(),
                fields.nextLong(),
                fields.nextLong(),
                fields.nextInt(),
                fields.nextInt());
    }
}

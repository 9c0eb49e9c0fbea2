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
 * Encodes a {@link MaintenanceCommand} as a line of fields, of which the first is the kind. Lines are stored
 * and exchanged between builds, so the kinds must not change. This is version 1, whose lines carry no version
 * number; lines of a later version would begin with {@code @} and the version, which earlier builds treat as
 * an unknown command.
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
     * Returns the line from which {@link #decode} restores an equal command.
     *
     * @throws IllegalArgumentException if the command is an {@link Unknown}, which is never proposed
     */
    public static String encode(MaintenanceCommand command) {
        if (command instanceof SetLimits setLimits) {
            return encodeLimits(setLimits.limits());
        } else if (command instanceof AdvanceTime advanceTime) {
            return LineCodec.encode(ADVANCE_TIME, advanceTime.elapsedUs());
        } else if (command instanceof RegisterMachine registerMachine) {
            return encodeMachine(registerMachine.machine());
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
            return encodeRequest(submitRequest.request());
        } else if (command instanceof CancelRequest cancelRequest) {
            return LineCodec.encode(CANCEL, cancelRequest.request(), cancelRequest.reason());
        } else if (command instanceof CompleteWork completeWork) {
            return LineCodec.encode(
                    COMPLETE,
                    completeWork.request(),
                    completeWork.machine(),
                    completeWork.lost() ? LOST : RETURNED);
        }
        return encodeDrainProgress(command);
    }

    /** Encodes the commands by which routers report the progress of a drain. */
    private static String encodeDrainProgress(MaintenanceCommand command) {
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
        throw new IllegalArgumentException(
                "expected a command that can be proposed, found " + command);
    }

    /** Decodes a line; a line that cannot be decoded becomes an {@link Unknown}. */
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
            case LIMITS -> new SetLimits(decodeLimits(fields));
            case ADVANCE_TIME -> new AdvanceTime(fields.nextLong());
            case MACHINE -> new RegisterMachine(decodeMachine(fields));
            case REMOVE_MACHINE -> new RemoveMachine(fields.nextText());
            case HEALTH -> new SetHealth(fields.nextText(), fields.nextBoolean());
            case ROUTER -> new RegisterRouter(fields.nextText(), fields.nextText());
            case REMOVE_ROUTER -> new RemoveRouter(fields.nextText(), fields.nextText());
            case REQUEST -> new SubmitRequest(decodeRequest(fields));
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

    /** Returns the line of a machine as it is in commands, in snapshots and in reports. */
    static String encodeMachine(Machine machine) {
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

    /** Decodes a machine from the fields that follow the kind. */
    static Machine decodeMachine(FieldReader fields) {
        return new Machine(
                fields.nextText(),
                Machine.Kind.valueOf(fields.nextText()),
                fields.nextInt(),
                fields.nextText(),
                fields.nextText(),
                fields.nextText(),
                fields.nextBoolean());
    }

    /** Returns the line of a request as it is in commands and in snapshots. */
    static String encodeRequest(MaintenanceRequest request) {
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

    /** Decodes a request from the fields that follow the kind. */
    static MaintenanceRequest decodeRequest(FieldReader fields) {
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

    /** Returns the line of limits as it is in commands and in snapshots. */
    static String encodeLimits(DisruptionLimits limits) {
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

    /** Decodes limits from the fields that follow the kind. */
    static DisruptionLimits decodeLimits(FieldReader fields) {
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

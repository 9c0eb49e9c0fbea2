package tinlink.maintenance.scheduling;

import tinlink.cluster.consensus.FieldReader;
import tinlink.cluster.membership.LineCodec;
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
        if (command instanceof SetLimits c) {
            return limits(c.limits());
        } else if (command instanceof AdvanceTime c) {
            return LineCodec.encode(ADVANCE_TIME, c.elapsedUs());
        } else if (command instanceof RegisterMachine c) {
            return machine(c.machine());
        } else if (command instanceof RemoveMachine c) {
            return LineCodec.encode(REMOVE_MACHINE, c.machine());
        } else if (command instanceof SetHealth c) {
            return LineCodec.encode(HEALTH, c.machine(), c.healthy());
        } else if (command instanceof RegisterRouter c) {
            return LineCodec.encode(ROUTER, c.router(), c.incarnation());
        } else if (command instanceof RemoveRouter c) {
            return LineCodec.encode(REMOVE_ROUTER, c.router(), c.incarnation());
        } else if (command instanceof SubmitRequest c) {
            return request(c.request());
        } else if (command instanceof CancelRequest c) {
            return LineCodec.encode(CANCEL, c.request(), c.reason());
        } else if (command instanceof CompleteWork c) {
            return LineCodec.encode(COMPLETE, c.request(), c.machine(), c.lost() ? LOST : RETURNED);
        }
        return encodeProgress(command);
    }

    /** What routers say of a drain. */
    private static String encodeProgress(MaintenanceCommand command) {
        if (command instanceof StartDrain c) {
            return LineCodec.encode(START_DRAIN, c.router(), c.fencingToken(), c.incarnation());
        } else if (command instanceof ConfirmDrained c) {
            return LineCodec.encode(
                    DRAINED, c.machine(), c.fencingToken(), c.router(), c.incarnation());
        } else if (command instanceof ConfirmServing c) {
            return LineCodec.encode(SERVING, c.router(), c.incarnation());
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

    private static MaintenanceCommand decode(String kind, FieldReader in) {
        return switch (kind) {
            case LIMITS -> new SetLimits(limits(in));
            case ADVANCE_TIME -> new AdvanceTime(in.nextLong());
            case MACHINE -> new RegisterMachine(machine(in));
            case REMOVE_MACHINE -> new RemoveMachine(in.nextText());
            case HEALTH -> new SetHealth(in.nextText(), in.nextBoolean());
            case ROUTER -> new RegisterRouter(in.nextText(), in.nextText());
            case REMOVE_ROUTER -> new RemoveRouter(in.nextText(), in.nextText());
            case REQUEST -> new SubmitRequest(request(in));
            case CANCEL -> new CancelRequest(in.nextText(), in.nextText());
            case START_DRAIN -> new StartDrain(in.nextText(), in.nextLong(), in.nextText());
            case DRAINED ->
                new ConfirmDrained(in.nextText(), in.nextLong(), in.nextText(), in.nextText());
            case SERVING -> new ConfirmServing(in.nextText(), in.nextText());
            case COMPLETE ->
                new CompleteWork(in.nextText(), in.nextText(), in.nextText().equals(LOST));
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
    static Machine machine(FieldReader in) {
        return new Machine(
                in.nextText(),
                Machine.Kind.valueOf(in.nextText()),
                in.nextInt(),
                in.nextText(),
                in.nextText(),
                in.nextText(),
                in.nextBoolean());
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
    static MaintenanceRequest request(FieldReader in) {
        String id = in.nextText();
        String machines = in.nextText();
        return new MaintenanceRequest(
                id,
                machines.isEmpty() ? List.of() : List.of(machines.split(",")),
                in.nextLong(),
                in.nextLong(),
                in.nextInt(),
                in.nextText(),
                in.nextText());
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
    static DisruptionLimits limits(FieldReader in) {
        return new DisruptionLimits(
                in.nextInt(),
                in.nextDouble(),
                in.nextDouble(),
                in.nextLong(),
                in.nextLong(),
                in.nextLong(),
                in.nextInt(),
                in.nextInt());
    }
}

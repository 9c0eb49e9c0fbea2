package tinlink.maintenance.scheduling;

import tinlink.cluster.consensus.FieldReader;
import tinlink.cluster.consensus.LineCodec;

import java.util.ArrayList;
import java.util.List;

/**
 * Encodes the {@link MaintenanceState} as lines of fields, of which the first is the kind. Limits, machines,
 * routers and requests have the lines of the commands that set them ({@link MaintenanceCommandCodec}).
 * Snapshots are stored and exchanged between builds, so the kinds must not change; the first line contains
 * the version.
 */
final class MaintenanceSnapshotCodec {
    private static final String VERSION = "1";
    private static final String COUNTERS = "order";
    private static final String UNHEALTHY_SINCE = "unsound";
    private static final String HEALTHY_SINCE = "since";
    private static final String TASK = "piece";

    private MaintenanceSnapshotCodec() {}

    static List<String> encode(MaintenanceState state) {
        List<String> lines = new ArrayList<>();
        lines.add(LineCodec.encode(
                COUNTERS,
                VERSION,
                state.agreedTimeUs(),
                state.lastFencingToken(),
                state.taskTable().nextSequenceNumber()));
        if (state.hasLimits()) {
            lines.add(MaintenanceCommandCodec.encodeLimits(state.limits()));
        }
        MachineTable machines = state.machineTable();
        machines.all()
                .forEach(machine -> lines.add(MaintenanceCommandCodec.encodeMachine(machine)));
        machines.forEachUnhealthySince(
                (machine, us) -> lines.add(LineCodec.encode(UNHEALTHY_SINCE, machine, us)));
        machines.forEachHealthySince(
                (machine, us) -> lines.add(LineCodec.encode(HEALTHY_SINCE, machine, us)));
        state.incarnationByRouter()
                .forEach((router, incarnation) -> lines.add(MaintenanceCommandCodec.encode(
                        new MaintenanceCommand.RegisterRouter(router, incarnation))));
        for (List<MaintenanceTask> tasks : state.requests()) {
            lines.add(MaintenanceCommandCodec.encodeRequest(tasks.get(0).request()));
            tasks.forEach(task -> lines.add(encodeTask(task)));
        }
        return lines;
    }

    private static String encodeTask(MaintenanceTask task) {
        return LineCodec.encode(
                TASK,
                task.request().id(),
                task.machine(),
                task.requestedAtUs(),
                task.sequenceNumber(),
                task.state().storedName(),
                task.reason(),
                task.fencingToken(),
                task.stateSinceUs(),
                task.deadlineUs(),
                task.isCancelledOnReturn(),
                task.isServingAgain(),
                task.grant().wasUnhealthyWhenGranted(),
                task.isRequeuedOnReturn(),
                task.grant().startedBy(),
                task.grant().storedDrainedBy());
    }

    /** @throws IllegalArgumentException if {@link #encode} cannot have returned the lines */
    static MaintenanceState decode(List<String> lines) {
        Decoder decoder = new Decoder();
        lines.forEach(decoder::read);
        decoder.state.taskTable().finishRestore(decoder.nextSequenceNumber);
        return decoder.state;
    }

    /** Builds the state from one line after the other. */
    private static final class Decoder {
        final MaintenanceState state = new MaintenanceState(DisruptionLimits.UNSET);
        /** The request to which the next tasks belong; null before the first request. */
        private MaintenanceRequest request;

        private long nextSequenceNumber;

        void read(String line) {
            FieldReader fields = new FieldReader(LineCodec.decode(line));
            MachineTable machines = state.machineTable();
            switch (fields.nextText()) {
                case COUNTERS -> readCounters(fields);
                case MaintenanceCommandCodec.LIMITS ->
                    state.setLimits(MaintenanceCommandCodec.decodeLimits(fields));
                case MaintenanceCommandCodec.MACHINE ->
                    machines.restore(MaintenanceCommandCodec.decodeMachine(fields));
                case UNHEALTHY_SINCE ->
                    machines.restoreUnhealthySince(fields.nextText(), fields.nextLong());
                case HEALTHY_SINCE ->
                    machines.restoreHealthySince(fields.nextText(), fields.nextLong());
                case MaintenanceCommandCodec.ROUTER ->
                    state.incarnationByRouter().put(fields.nextText(), fields.nextText());
                case MaintenanceCommandCodec.REQUEST ->
                    request = MaintenanceCommandCodec.decodeRequest(fields);
                case TASK -> state.taskTable().restore(decodeTask(fields, request));
                default ->
                    throw new IllegalArgumentException(
                            "maintenance snapshot: line of an unknown kind: " + line);
            }
        }

        private void readCounters(FieldReader fields) {
            String version = fields.nextText();
            if (!version.equals(VERSION)) {
                throw new IllegalArgumentException(
                        "maintenance snapshot: expected version " + VERSION + ", found " + version);
            }
            state.restoreCounters(fields.nextLong(), fields.nextLong());
            nextSequenceNumber = fields.nextLong();
        }
    }

    /** @param request the request to which the task must belong; null if none has been decoded */
    private static MaintenanceTask decodeTask(FieldReader fields, MaintenanceRequest request) {
        String requestId = fields.nextText();
        if (request == null || !request.id().equals(requestId)) {
            throw new IllegalArgumentException("maintenance snapshot: a task of request "
                    + requestId + " follows "
                    + (request == null ? "no request" : "request " + request.id()));
        }
        String machine = fields.nextText();
        long requestedAtUs = fields.nextLong();
        MaintenanceTask task =
                new MaintenanceTask(request, machine, requestedAtUs, fields.nextLong());
        TaskState taskState = TaskState.ofStoredName(fields.nextText());
        task.setReason(fields.nextText());
        long fencingToken = fields.nextLong();
        task.setState(taskState, fields.nextLong());
        task.setDeadlineUs(fields.nextLong());
        task.setCancelledOnReturn(fields.nextBoolean());
        boolean servingAgain = fields.nextBoolean();
        task.grant().renew(fencingToken, fields.nextBoolean());
        task.setRequeuedOnReturn(fields.nextBoolean());
        task.grant().restore(servingAgain, fields.nextText(), fields.nextText());
        return task;
    }
}

package tinlink.maintenance.scheduling;

import tinlink.cluster.consensus.FieldReader;
import tinlink.cluster.consensus.LineCodec;

import java.util.ArrayList;
import java.util.List;

/**
 * The written form of {@link MaintenanceState}: lines of fields, the kind first. Lines of commands ({@link
 * MaintenanceCommandCodec}) stand for what those set. Snapshots are stored and sent between builds, so the
 * words stay; the first line has the version.
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
            lines.add(MaintenanceCommandCodec.limits(state.limits()));
        }
        MachineTable machines = state.machineTable();
        machines.all().forEach(machine -> lines.add(MaintenanceCommandCodec.machine(machine)));
        machines.forEachUnhealthySince(
                (machine, us) -> lines.add(LineCodec.encode(UNHEALTHY_SINCE, machine, us)));
        machines.forEachHealthySince(
                (machine, us) -> lines.add(LineCodec.encode(HEALTHY_SINCE, machine, us)));
        state.routers()
                .forEach((router, incarnation) -> lines.add(MaintenanceCommandCodec.encode(
                        new MaintenanceCommand.RegisterRouter(router, incarnation))));
        for (List<MaintenanceTask> tasks : state.requests()) {
            lines.add(MaintenanceCommandCodec.request(tasks.get(0).request()));
            tasks.forEach(task -> lines.add(encode(task)));
        }
        return lines;
    }

    private static String encode(MaintenanceTask task) {
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
                task.grant().machineHadFailed(),
                task.isRequeuedOnReturn(),
                task.grant().startedBy(),
                task.grant().storedDrainedBy());
    }

    /** @throws IllegalArgumentException where these are no lines of {@link #encode} */
    static MaintenanceState decode(List<String> lines) {
        Decoder decoder = new Decoder();
        lines.forEach(decoder::read);
        decoder.state.taskTable().restored(decoder.nextSequenceNumber);
        return decoder.state;
    }

    /** What has been read so far. */
    private static final class Decoder {
        final MaintenanceState state = new MaintenanceState(DisruptionLimits.UNSET);
        /** The request that the next tasks belong to; null before the first one. */
        private MaintenanceRequest request;

        private long nextSequenceNumber;

        void read(String line) {
            FieldReader fields = new FieldReader(LineCodec.decode(line));
            MachineTable machines = state.machineTable();
            switch (fields.nextText()) {
                case COUNTERS -> readCounters(fields);
                case MaintenanceCommandCodec.LIMITS ->
                    state.setLimits(MaintenanceCommandCodec.limits(fields));
                case MaintenanceCommandCodec.MACHINE ->
                    machines.restore(MaintenanceCommandCodec.machine(fields));
                case UNHEALTHY_SINCE ->
                    machines.restoreUnhealthySince(fields.nextText(), fields.nextLong());
                case HEALTHY_SINCE ->
                    machines.restoreHealthySince(fields.nextText(), fields.nextLong());
                case MaintenanceCommandCodec.ROUTER ->
                    state.routers().put(fields.nextText(), fields.nextText());
                case MaintenanceCommandCodec.REQUEST ->
                    request = MaintenanceCommandCodec.request(fields);
                case TASK -> state.taskTable().restore(task(fields, request));
                default -> throw new IllegalArgumentException("not a line of a snapshot: " + line);
            }
        }

        private void readCounters(FieldReader fields) {
            String version = fields.nextText();
            if (!version.equals(VERSION)) {
                throw new IllegalArgumentException("a snapshot of version " + version);
            }
            state.restoreCounters(fields.nextLong(), fields.nextLong());
            nextSequenceNumber = fields.nextLong();
        }
    }

    /** @param request that the task has to belong to; null where there is none */
    private static MaintenanceTask task(FieldReader fields, MaintenanceRequest request) {
        String requestId = fields.nextText();
        if (request == null || !request.id().equals(requestId)) {
            throw new IllegalArgumentException("a task without its request: " + requestId);
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
        task.cancelOnReturn(fields.nextBoolean());
        boolean servingAgain = fields.nextBoolean();
        task.grant().renew(fencingToken, fields.nextBoolean());
        task.requeueOnReturn(fields.nextBoolean());
        task.grant().restore(servingAgain, fields.nextText(), fields.nextText());
        return task;
    }
}

package tinlink.maintenance.scheduling;

import java.util.List;

/**
 * What an operator has asked for.
 *
 * @param id the operator's own; the same one submitted twice is one request
 * @param machines ids, as they were selected when the request was made
 * @param durationUs how long each machine is out, microseconds
 * @param startWithinUs each task has to have started so long after the request; Long.MAX_VALUE for whenever
 * @param urgency 0 to {@link #MAX_URGENCY}
 */
public record MaintenanceRequest(
        String id,
        List<String> machines,
        long durationUs,
        long startWithinUs,
        int urgency,
        String author,
        String reason) {
    /** The most urgent. */
    public static final int MAX_URGENCY = 9;

    /** @throws IllegalArgumentException where something is out of range */
    public MaintenanceRequest {
        machines = List.copyOf(machines);
        if (id.isEmpty() || durationUs <= 0 || urgency < 0 || urgency > MAX_URGENCY) {
            throw new IllegalArgumentException("request " + id + ": out of range");
        }
    }
}

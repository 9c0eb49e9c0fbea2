package tinlink.maintenance.scheduling;

import java.util.List;

/**
 * An operator's request to take machines out for maintenance.
 *
 * @param id chosen by the operator; a repeated request with the same id has no effect
 * @param machines ids of the machines that were selected when the request was submitted
 * @param durationUs time for which each machine is out, microseconds
 * @param startWithinUs time after the submission within which each task has to start, microseconds;
 *     Long.MAX_VALUE for no limit
 * @param urgency 0 to {@link #MAX_URGENCY}
 * @param author name of the operator
 * @param reason why the operator takes the machines out, as free text
 */
public record MaintenanceRequest(
        String id,
        List<String> machines,
        long durationUs,
        long startWithinUs,
        int urgency,
        String author,
        String reason) {
    /** The urgency of the most urgent requests. */
    public static final int MAX_URGENCY = 9;

    /**
     * @throws IllegalArgumentException if a value is out of range; an operator receives the message over the
     *     control interface, so its wording must not change
     */
    public MaintenanceRequest {
        machines = List.copyOf(machines);
        if (id.isEmpty() || durationUs <= 0 || urgency < 0 || urgency > MAX_URGENCY) {
            throw new IllegalArgumentException("request " + id + ": out of range");
        }
    }
}

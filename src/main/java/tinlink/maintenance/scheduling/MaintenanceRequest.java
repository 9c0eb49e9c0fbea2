package tinlink.maintenance.scheduling;

import tinlink.cluster.consensus.LineCodec;

import java.util.List;

/**
 * What an operator has asked for.
 *
 * @param id the operator's own; the same one asked twice is one request
 * @param machines ids, as they were found by what the operator named
 * @param durationUs how long each is out
 * @param startWithinUs each has to have started so long after it was asked for; Long.MAX_VALUE for
 *     whenever
 * @param urgency 0 to 9
 */
public record MaintenanceRequest(
        String id,
        List<String> machines,
        long durationUs,
        long startWithinUs,
        int urgency,
        String author,
        String reason) {
    public static final int MAX_URGENCY = 9;

    public MaintenanceRequest {
        machines = List.copyOf(machines);
        if (id.isEmpty() || durationUs <= 0 || urgency < 0 || urgency > MAX_URGENCY) {
            throw new IllegalArgumentException("request " + id + ": out of range");
        }
    }

    String encode() {
        return LineCodec.encode(
                "request",
                id,
                String.join(",", machines),
                durationUs,
                startWithinUs,
                urgency,
                author,
                reason);
    }

    static MaintenanceRequest decode(List<String> fields) {
        return new MaintenanceRequest(
                fields.get(1),
                fields.get(2).isEmpty() ? List.of() : List.of(fields.get(2).split(",")),
                Long.parseLong(fields.get(3)),
                Long.parseLong(fields.get(4)),
                Integer.parseInt(fields.get(5)),
                fields.get(6),
                fields.get(7));
    }
}

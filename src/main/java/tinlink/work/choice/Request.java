package tinlink.work.choice;

import tinlink.cluster.membership.LineCodec;

import java.util.List;

/**
 * What an operator has asked for.
 *
 * @param id the operator's own; the same one asked twice is one request
 * @param machines ids, as they were found by what the operator named
 * @param forUs how long each is out
 * @param withinUs each has to have started so long after it was asked for; Long.MAX_VALUE for
 *     whenever
 * @param urgency 0 to 9
 */
public record Request(
        String id,
        List<String> machines,
        long forUs,
        long withinUs,
        int urgency,
        String author,
        String why) {
    public static final int MOST_URGENCY = 9;

    public Request {
        machines = List.copyOf(machines);
        if (id.isEmpty() || forUs <= 0 || urgency < 0 || urgency > MOST_URGENCY) {
            throw new IllegalArgumentException("request " + id + ": out of range");
        }
    }

    String words() {
        return LineCodec.encode(
                "request", id, String.join(",", machines), forUs, withinUs, urgency, author, why);
    }

    static Request of(List<String> w) {
        return new Request(
                w.get(1),
                w.get(2).isEmpty() ? List.of() : List.of(w.get(2).split(",")),
                Long.parseLong(w.get(3)),
                Long.parseLong(w.get(4)),
                Integer.parseInt(w.get(5)),
                w.get(6),
                w.get(7));
    }
}

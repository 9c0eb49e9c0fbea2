package tinlink.experiment.scale;

import java.util.ArrayList;
import java.util.List;

/** Checks on counts and bytes of a serving measurement; none is on times. */
final class ServingVerdict {
    /** Bytes of one part call and its answer with the texts and values of the measurement, both ways. */
    static final double MOST_BYTES_A_PART_CALL = 200;
    /** Repeats of parts may be a tenth of the parts, as the router's own budget has it. */
    static final double MOST_CALLS_A_PART = 1.1;
    /** Live objects of an idle router with its whole list, megabytes. */
    static final double MOST_HEAP_MB = 48;

    private final List<String> broken = new ArrayList<>();

    private void check(boolean kept, String what, Object found) {
        if (!kept) {
            broken.add(what + ": " + found);
        }
    }

    /** A load run well below the knee, in which every lookup has to be answered whole. */
    void load(int parts, ServingLoad.Result result, ServingNodes.Counts counts, int nodes) {
        String where = " at " + parts + " parts a lookup";
        double asked = (double) result.asked() * parts;
        check(
                result.whole() == result.asked(),
                "whole answers of " + result.asked() + where,
                result.whole());
        check(
                counts.partCalls() >= asked,
                "part calls for " + asked + " parts" + where,
                counts.partCalls());
        check(
                counts.partCalls() <= MOST_CALLS_A_PART * asked,
                "part calls for " + asked + " parts" + where,
                counts.partCalls());
        check(
                counts.frames() <= counts.partCalls() + counts.cancels(),
                "frames" + where,
                counts.frames());
        check(
                counts.connections() <= nodes,
                "connections to " + nodes + " nodes" + where,
                counts.connections());
        double bytes = (double) (counts.bytesIn() + counts.bytesOut()) / counts.partCalls();
        check(bytes <= MOST_BYTES_A_PART_CALL, "bytes a part call" + where, bytes);
    }

    void connections(int wanted, long open) {
        check(open == wanted, "connections where each of " + wanted + " nodes was asked", open);
    }

    void heap(int nodes, double heapMb) {
        check(heapMb <= MOST_HEAP_MB, "heap, MB, with " + nodes + " nodes on the list", heapMb);
    }

    boolean kept() {
        return broken.isEmpty();
    }

    @Override
    public String toString() {
        return kept() ? "COUNTS KEPT" : "COUNTS BROKEN: " + String.join("; ", broken);
    }
}

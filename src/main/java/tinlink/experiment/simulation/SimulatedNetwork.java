package tinlink.experiment.simulation;

import java.util.HashSet;
import java.util.Set;
import java.util.function.IntSupplier;

/**
 * A network between named parties that delays, drops, duplicates and reorders messages, and is cut one way or
 * both.
 */
final class SimulatedNetwork {
    /** @param minDelayUs and up to {@code mostUs}: each message's own delay, so they overtake each other */
    record LinkConditions(
            long minDelayUs, long maxDelayUs, double dropRate, double duplicateRate) {}

    /** Which path a message takes. */
    interface Paths {
        LinkConditions between(String from, String to);
    }

    private record Direction(String from, String to) {}

    private final Simulation simulation;
    private final Paths paths;
    /** As many as there are pairs. */
    private final Set<Direction> cuts = new HashSet<>();
    /** Counts what is sent and received; null where nobody asks. */
    private TrafficMeter meter;

    SimulatedNetwork(Simulation simulation, LinkConditions path) {
        this(simulation, (from, to) -> path);
    }

    SimulatedNetwork(Simulation simulation, Paths paths) {
        this.simulation = simulation;
        this.paths = paths;
    }

    void meter(TrafficMeter counts) {
        meter = counts;
    }

    void cut(String from, String to) {
        cuts.add(new Direction(from, to));
    }

    void healAll() {
        cuts.clear();
    }

    /** A message whose size nobody asks for. */
    void send(String from, String to, Runnable arrives) {
        send(from, to, MessageKind.OTHER, () -> 0, arrives);
    }

    /** @param bytes of the whole message on the wire; asked for only where traffic is counted */
    void send(String from, String to, MessageKind kind, IntSupplier bytes, Runnable arrives) {
        TrafficMeter counts = meter;
        int size = counts == null ? 0 : bytes.getAsInt();
        if (counts != null) {
            counts.sent(from, kind, size);
        }
        LinkConditions path = paths.between(from, to);
        if (isCut(from, to) || simulation.random.nextDouble() < path.dropRate()) {
            return;
        }
        int copies = simulation.random.nextDouble() < path.duplicateRate() ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            long delayUs = path.minDelayUs()
                    + simulation.random.nextLong(path.maxDelayUs() - path.minDelayUs() + 1);
            simulation.scheduleIn(delayUs, () -> {
                if (!isCut(from, to)) {
                    if (counts != null) {
                        counts.received(to, kind, size);
                    }
                    arrives.run();
                }
            });
        }
    }

    private boolean isCut(String from, String to) {
        return !cuts.isEmpty() && cuts.contains(new Direction(from, to));
    }
}

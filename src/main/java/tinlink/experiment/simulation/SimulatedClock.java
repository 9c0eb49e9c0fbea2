package tinlink.experiment.simulation;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/** The play's time as the agreement's library reads it: monotonic, in milliseconds of the library's own. */
final class SimulatedClock extends Clock {
    private final Simulation simulation;
    private final long millisecondUs;

    /** @param millisecondUs how much simulated time one of the library's milliseconds takes */
    SimulatedClock(Simulation simulation, long millisecondUs) {
        this.simulation = simulation;
        this.millisecondUs = millisecondUs;
    }

    @Override
    public ZoneId getZone() {
        return ZoneOffset.UTC;
    }

    @Override
    public Clock withZone(ZoneId zone) {
        return this;
    }

    @Override
    public Instant instant() {
        return Instant.ofEpochMilli(millis());
    }

    @Override
    public long millis() {
        return simulation.now() / millisecondUs;
    }
}

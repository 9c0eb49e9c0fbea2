package tinlink.experiment.scale;

import java.util.OptionalDouble;

/** Looks for the largest rate of lookups that one router serves with bounded lateness. */
final class ServingKnee {
    /** The most that 99 of 100 lookups may take beyond the service time of their slowest part. */
    static final long MOST_ADDED_US = 50_000;
    /** Beyond this the clients themselves are late, and a step says nothing of the router. */
    private static final long MOST_GENERATOR_LATE_US = 25_000;

    private static final double LOWEST = 0.4;
    private static final double HIGHEST = 1.6;
    /** Halvings of the range, by its logarithm: the last step is a fifth of the rate. */
    private static final int STEPS = 3;

    private static final double STEP_SECONDS = 1;
    /** After a step that was too much the router serves few lookups for a while, and settles. */
    private static final double SETTLE_SHARE = 0.1;

    private static final double SETTLE_SECONDS = 0.5;
    private final ServingLoad load;
    private final ServingLoad.Shards shards;
    private int stepsOfLateGenerator;

    ServingKnee(ServingLoad load, ServingLoad.Shards shards) {
        this.load = load;
        this.shards = shards;
    }

    /**
     * Finds the largest rate that the router bears.
     *
     * @param expected lookups a second that the router's one loop would bear by its processor time
     * @return the largest rate that held, in lookups a second; empty where none of the steps held
     */
    OptionalDouble find(double expected) throws InterruptedException {
        double low = LOWEST * expected;
        double high = HIGHEST * expected;
        boolean any = false;
        for (int step = 0; step < STEPS; step++) {
            double rate = Math.sqrt(low * high);
            if (holds(rate)) {
                low = rate;
                any = true;
            } else {
                high = rate;
                load.run(SETTLE_SHARE * expected, SETTLE_SECONDS, shards);
            }
        }
        return any ? OptionalDouble.of(low) : OptionalDouble.empty();
    }

    private boolean holds(double rate) throws InterruptedException {
        ServingLoad.Result result = load.run(rate, STEP_SECONDS, shards);
        if (result.late().getValueAtPercentile(99) > MOST_GENERATOR_LATE_US) {
            stepsOfLateGenerator++;
        }
        return result.failed() == 0 && result.added().getValueAtPercentile(99) <= MOST_ADDED_US;
    }

    /** Steps in which the clients themselves were late: a knee found with any is a lower bound. */
    int stepsOfLateGenerator() {
        return stepsOfLateGenerator;
    }
}

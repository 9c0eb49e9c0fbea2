package tinlink.net;

/**
 * The common clock of the decision module, the timers and the start times of data nodes: Unix
 * microseconds that never go back.
 */
final class MonotonicClock {
    private final long startUnixUs = 1000 * System.currentTimeMillis();
    private final long startNanos = System.nanoTime();

    long nowUs() {
        return startUnixUs + (System.nanoTime() - startNanos) / 1000;
    }
}

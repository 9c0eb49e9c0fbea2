package tinlink.net;

/** One clock for module, timers and starts of data nodes: Unix microseconds that never go back. */
final class MonotonicClock {
    private final long startUnixUs = 1000 * System.currentTimeMillis();
    private final long startNanos = System.nanoTime();

    long nowUs() {
        return startUnixUs + (System.nanoTime() - startNanos) / 1000;
    }
}

package tinlink.net;

/** One clock for module, timers and starts of data nodes: Unix microseconds that never go back. */
final class Clock {
    private final long unixUs = 1000 * System.currentTimeMillis();
    private final long nano = System.nanoTime();

    long nowUs() {
        return unixUs + (System.nanoTime() - nano) / 1000;
    }
}

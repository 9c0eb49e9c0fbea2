package tinlink.router;

import tinlink.net.EventLoop;

/**
 * Limits how long a client connection waits for a complete request, and a complete request for being parsed;
 * stopped while a query is in flight.
 */
final class RequestTimeout {
    private final ClientAcceptor acceptor;
    private final Runnable task;
    private EventLoop.Timer timer;

    /** @param task runs when the timeout expires */
    RequestTimeout(ClientAcceptor acceptor, Runnable task) {
        this.acceptor = acceptor;
        this.task = task;
    }

    /** Restarts the timeout for a request that is awaited since the given time. */
    void startForRequest(long sinceUs) {
        stop();
        timer = acceptor.scheduleRequestTimeout(sinceUs, this::expire);
    }

    /**
     * Restarts the timeout for a complete request that waits to be parsed.
     *
     * @param budgetUs the client's own time, in microseconds
     */
    void startForParsing(long sinceUs, long budgetUs) {
        stop();
        timer = acceptor.scheduleParseTimeout(sinceUs, budgetUs, this::expire);
    }

    /** Restarts the timeout for bytes that have been read but not processed. */
    void startForUnprocessedRead() {
        stop();
        timer = acceptor.scheduleAfterLinger(this::expire);
    }

    void stop() {
        acceptor.cancel(timer);
        timer = null;
    }

    private void expire() {
        timer = null;
        task.run();
    }
}

package tinlink.net;

import java.nio.channels.CompletionHandler;

/**
 * A read or write in progress. It completes on the I/O thread and is processed on the event loop's
 * thread; the loop's queue publishes the result.
 */
final class PendingOperation implements CompletionHandler<Long, Void>, Runnable {
    /** Processes the result on the event loop's thread. */
    interface Completion {
        /**
         * Called once for each operation.
         *
         * @param failure null if the operation succeeded; the count is then valid
         */
        void completed(long count, Throwable failure);
    }

    private final EventLoop loop;
    private final Completion completion;
    private long count;
    private Throwable failure;
    /**
     * Whether the operation has completed but the loop has not yet processed the result. This is
     * the only field that both threads read and write without the queue.
     */
    private volatile boolean unprocessed;

    PendingOperation(EventLoop loop, Completion completion) {
        this.loop = loop;
        this.completion = completion;
    }

    /** Returns whether the operation has completed and the loop has not processed it yet. */
    boolean isUnprocessed() {
        return unprocessed;
    }

    @Override
    public void completed(Long bytes, Void noResult) {
        count = bytes;
        failure = null;
        unprocessed = true;
        loop.execute(this);
    }

    @Override
    public void failed(Throwable cause, Void noResult) {
        failure = cause;
        unprocessed = true;
        loop.execute(this);
    }

    @Override
    public void run() {
        unprocessed = false;
        if (failure instanceof Error error) {
            throw error; // An exhausted heap concerns the process, not this connection.
        }
        completion.completed(count, failure);
    }
}

package tinlink.net;

/**
 * Limits the time within which a frame that has begun to arrive has to be complete; a frame that stops
 * half-way blocks all frames behind it. Each frame has the full time: a peer that sends frame after frame in
 * pieces is not slow, although every read may end within a frame. Event loop thread only.
 */
public final class FrameTimeout {
    private final EventLoop loop;
    private final long timeoutUs;
    private final Runnable onTimeout;
    /** Null while no frame is partly received. */
    private EventLoop.Timer timer;
    /** The number of frames that were complete before the one that is timed. */
    private long framesBefore;

    /**
     * @param timeoutUs the time from the read with the first byte of a frame, in microseconds
     * @param onTimeout runs if the frame is not complete by then
     */
    public FrameTimeout(EventLoop loop, long timeoutUs, Runnable onTimeout) {
        this.loop = loop;
        this.timeoutUs = timeoutUs;
        this.onTimeout = onTimeout;
    }

    /**
     * Called after each read.
     *
     * @param completedFrames the number of frames that have been received completely
     * @param atBoundary whether no part of the next frame has been received
     */
    public void bytesRead(long completedFrames, boolean atBoundary) {
        boolean isSameFrame = timer != null && completedFrames == framesBefore;
        if (atBoundary || !isSameFrame) {
            stop();
        }
        if (!atBoundary && timer == null) {
            framesBefore = completedFrames;
            timer = loop.schedule(loop.nowUs() + timeoutUs, onTimeout);
        }
    }

    /** Ends the timeout, as when the connection is closed. */
    public void stop() {
        loop.cancel(timer);
        timer = null;
    }
}

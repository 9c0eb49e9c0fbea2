package tinlink.http2;

/** Bounds the frames that serve nobody. Danger: a flood of frames that cost the other side nothing. */
final class UselessFrameBudget {
    /** Frames of no use that may come at once, and for each response besides. */
    private static final int MAX_FRAMES = 256;

    private static final int FRAMES_PER_RESPONSE = 16;

    private int remaining = MAX_FRAMES;

    /** A frame of no use has come. */
    void spend() throws Http2Exception {
        if (--remaining < 0) {
            throw new Http2Exception(
                    Http2Constants.ErrorCode.ENHANCE_YOUR_CALM, "too many frames of no use");
        }
    }

    void spendUnless(boolean useful) throws Http2Exception {
        if (!useful) {
            spend();
        }
    }

    /** A response has come complete. */
    void refill() {
        remaining = Math.min(MAX_FRAMES, remaining + FRAMES_PER_RESPONSE);
    }
}

package tinlink.http2;

/**
 * Limits the received frames that advance no request or response, against a flood of such frames, which would
 * cost the server nothing.
 */
final class UselessFrameBudget {
    /** The budget at first and at most; each complete response adds {@link #FRAMES_PER_RESPONSE}. */
    private static final int MAX_FRAMES = 256;

    private static final int FRAMES_PER_RESPONSE = 16;

    private int remaining = MAX_FRAMES;

    /** Counts a useless frame; throws if the budget is used up. */
    void spend() throws Http2Exception {
        if (--remaining < 0) {
            throw new Http2Exception(
                    Http2Constants.ErrorCode.ENHANCE_YOUR_CALM, "too many useless frames");
        }
    }

    void spendUnless(boolean useful) throws Http2Exception {
        if (!useful) {
            spend();
        }
    }

    /** Adds {@link #FRAMES_PER_RESPONSE} to the budget, up to its maximum, after a complete response. */
    void refill() {
        remaining = Math.min(MAX_FRAMES, remaining + FRAMES_PER_RESPONSE);
    }
}

package tinlink.router;

import tinlink.decision.Index;
import tinlink.decision.PartCall;
import tinlink.net.EventLoop;

import java.util.OptionalLong;

/** An attempt that was handed to the network: how it travels, and until when an answer is awaited. */
final class SentAttempt {
    final PartCall call;
    final long deadlineUs;
    EventLoop.Timer timeoutTimer;
    /** Where it goes; null for a router of another site. */
    NodeEndpoint endpoint;
    /** How it travels; a batch, where by frames. */
    AttemptTransport transport;

    AttemptBatch batch;
    /** Its outcome is known. */
    boolean isEnded;
    /** The data node has answered it. */
    boolean isAnswered;

    SentAttempt(PartCall call, long deadlineUs) {
        this.call = call;
        this.deadlineUs = deadlineUs;
    }

    QueryPart part() {
        return (QueryPart) call.part;
    }

    /**
     * Danger: a fingerprinted part that is held back until its key's window has passed has its
     * effect again. The window is that of the first call that may have run; the end of time where
     * none but this one may.
     */
    long effectDeadlineUs() {
        Index x = call.part.lookup.index;
        if (x.effect != Index.Effect.FINGERPRINTED) {
            return Long.MAX_VALUE;
        }
        OptionalLong first = call.part.calls.stream()
                .filter(other -> other != call && (other.outcome == null || !other.outcome.neverRan))
                .mapToLong(other -> other.sentAt)
                .min();
        return first.isEmpty()
                ? Long.MAX_VALUE
                : x.windowUs + Math.min(first.getAsLong(), call.sentAt);
    }
}

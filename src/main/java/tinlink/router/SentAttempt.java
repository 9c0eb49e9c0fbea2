package tinlink.router;

import tinlink.decision.Attempt;
import tinlink.decision.LookupClass;
import tinlink.net.EventLoop;

import java.util.OptionalLong;

/** An attempt that was handed to the network: how it travels, and until when an answer is awaited. */
final class SentAttempt {
    final Attempt attempt;
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

    SentAttempt(Attempt attempt, long deadlineUs) {
        this.attempt = attempt;
        this.deadlineUs = deadlineUs;
    }

    QueryPart part() {
        return (QueryPart) attempt.part;
    }

    /**
     * Danger: a fingerprinted part that is held back until its key's window has passed has its
     * effect again. The window is that of the first call that may have run; the end of time where
     * none but this one may.
     */
    long effectDeadlineUs() {
        LookupClass lookupClass = attempt.part.lookup.lookupClass;
        if (lookupClass.idempotency != LookupClass.Idempotency.BY_KEY) {
            return Long.MAX_VALUE;
        }
        OptionalLong first = attempt.part.attempts.stream()
                .filter(other ->
                        other != attempt && (other.outcome == null || !other.outcome.neverRan))
                .mapToLong(other -> other.sentAtUs)
                .min();
        return first.isEmpty()
                ? Long.MAX_VALUE
                : lookupClass.deduplicationWindowUs + Math.min(first.getAsLong(), attempt.sentAtUs);
    }
}

package tinlink.router;

import tinlink.decision.Attempt;
import tinlink.decision.LookupClass;
import tinlink.net.EventLoop;

import java.util.OptionalLong;

/** An attempt handed to the network, with its transport and the deadline for its answer. */
final class SentAttempt {
    final Attempt attempt;
    /** The time until which an answer is awaited, in microseconds of the event loop's clock. */
    final long deadlineUs;
    /** Fires at the deadline; null once the attempt has ended. */
    EventLoop.Timer timeoutTimer;
    /** The data node that the attempt is sent to; null if it goes to a router of another site. */
    NodeEndpoint endpoint;
    /** The means by which the attempt is sent; the same object as the batch if that is a frame. */
    AttemptTransport transport;

    /** The batch that shares a frame with this attempt; null for other transports. */
    AttemptBatch batch;
    /** Whether the outcome is known. */
    boolean ended;
    /** Whether the data node has answered. */
    boolean answered;

    SentAttempt(Attempt attempt, long deadlineUs) {
        this.attempt = attempt;
        this.deadlineUs = deadlineUs;
    }

    QueryPart part() {
        return (QueryPart) attempt.part;
    }

    /**
     * The time by which the data node must have started the attempt, in microseconds. A data node
     * that receives an idempotency key after its deduplication window runs the part a second time.
     * The window starts with the first attempt that may have run; without another such attempt
     * there is no limit, and the value is {@link Long#MAX_VALUE}.
     */
    long effectDeadlineUs() {
        LookupClass lookupClass = attempt.part.lookup.lookupClass;
        if (lookupClass.idempotency != LookupClass.Idempotency.BY_KEY) {
            return Long.MAX_VALUE;
        }
        OptionalLong firstSentAtUs = attempt.part.attempts.stream()
                .filter(other ->
                        other != attempt && (other.outcome == null || !other.outcome.neverRan))
                .mapToLong(other -> other.sentAtUs)
                .min();
        return firstSentAtUs.isEmpty()
                ? Long.MAX_VALUE
                : lookupClass.deduplicationWindowUs
                        + Math.min(firstSentAtUs.getAsLong(), attempt.sentAtUs);
    }
}

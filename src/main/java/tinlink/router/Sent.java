package tinlink.router;

import tinlink.decision.Index;
import tinlink.decision.PartCall;
import tinlink.net.EventLoop;

import java.util.OptionalLong;

/** A part call on its way: the frame it travels in, and until when an answer is waited for. */
final class Sent {
    final PartCall call;
    final long until;
    EventLoop.Timer limit;
    /** Where it goes; null for a router of another site. */
    Target to;
    /** How it travels; a bundle, where by frames. */
    Carried by;

    Bundle bundle;
    /** Its outcome is known. */
    boolean over;
    /** The data node has answered it. */
    boolean answered;

    Sent(PartCall call, long until) {
        this.call = call;
        this.until = until;
    }

    Segment segment() {
        return (Segment) call.part;
    }

    /**
     * Danger: a fingerprinted part that is held back until its key's window has passed has its
     * effect again. The window is that of the first call that may have run; the end of time where
     * none but this one may.
     */
    long effectUntil() {
        Index x = call.part.lookup.index;
        if (x.effect != Index.Effect.FINGERPRINTED) {
            return Long.MAX_VALUE;
        }
        OptionalLong first = call.part.calls.stream()
                .filter(c -> c != call && (c.outcome == null || !c.outcome.neverRan))
                .mapToLong(c -> c.sentAt)
                .min();
        return first.isEmpty()
                ? Long.MAX_VALUE
                : x.windowUs + Math.min(first.getAsLong(), call.sentAt);
    }
}

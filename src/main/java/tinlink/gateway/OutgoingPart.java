package tinlink.gateway;

import tinlink.gateway.forwarding.ForwardedPart;

/** A part that this router forwards to another site. State only; belongs to the event loop's thread. */
public final class OutgoingPart extends ForwardedPart {
    final PartContent content;
    /** Until when it may have its effect at all; Long.MAX_VALUE where that does not matter. */
    final long effectDeadline;
    /** Whatever the part is to whoever forwards it. */
    public final Object attachment;

    final long forwardedAt;
    /** Where its message ends in what its connection has written. */
    long endPosition;
    /** What came with its end; null where it has no value. */
    public byte[] value;

    /** How long it took over there, microseconds. */
    public long durationUs;
    /** When the client may try again, microseconds; 0 for no advice. */
    public long retryAfterUs;

    /**
     * A part that has not been sent yet.
     *
     * @param now microseconds of the event loop's clock, as all times
     * @param deadline until when an answer counts
     * @param cell where it is to run
     * @param idempotent a second run does no harm
     * @param effectDeadline the end of its key's window; Long.MAX_VALUE where it has none
     */
    public OutgoingPart(
            Object attachment,
            long now,
            long deadline,
            int cell,
            boolean idempotent,
            PartContent content,
            long effectDeadline) {
        super(deadline, cell, idempotent);
        this.attachment = attachment;
        forwardedAt = now;
        this.content = content;
        this.effectDeadline = effectDeadline;
    }
}

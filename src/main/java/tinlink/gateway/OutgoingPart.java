package tinlink.gateway;

import tinlink.gateway.forwarding.ForwardedPart;

/** A part that this router forwards to another site. Used on the event loop's thread only. */
public final class OutgoingPart extends ForwardedPart {
    final PartContent content;
    /** Until when the part may have its effect, in microseconds; Long.MAX_VALUE for no limit. */
    final long effectDeadline;
    /** An object that the creator of the part attaches to it. */
    public final Object attachment;

    final long forwardedAt;
    /** The position of the end of the part's message in its connection's output stream. */
    long endPosition;
    /** The value that was reported with the status of the part; null until a status is reported. */
    public byte[] value;

    /** How long the part took at the other site, in microseconds. */
    public long durationUs;
    /** How long the client should wait before a repeat, in microseconds; 0 for no advice. */
    public long retryAfterUs;

    /**
     * Creates a part that has not been sent yet. Times are microseconds of the event loop's clock.
     *
     * @param now the current time
     * @param deadline until when an answer is accepted
     * @param cell the cell on which the part is to run
     * @param idempotent whether the part may safely run twice
     * @param effectDeadline the end of the idempotency key's window; Long.MAX_VALUE if there is no key
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

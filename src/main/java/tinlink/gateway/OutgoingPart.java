package tinlink.gateway;

import tinlink.gateway.forwarding.ForwardedPart;

/** A part that this router passes on to another site. Fields only. */
public final class OutgoingPart extends ForwardedPart {
    final String id;
    final String index;
    final int shard;
    /** Null where its index needs none. */
    final String idempotencyKey;

    final byte[] text;
    final boolean clientRetry;
    /** Until when it may have its effect at all; Long.MAX_VALUE where that does not matter. */
    final long effectDeadline;
    /** Whatever the part is to whoever passed it on. */
    public final Object attachment;

    final long forwardedAt;
    /** Where its message ends in what its line has written. */
    long endPosition;
    /** What came with its end: the value, the time that it took over there, when to come back. */
    public byte[] value;

    public long durationUs;
    public long retryAfterUs;

    /**
     * @param cell where the near router's module wants it
     * @param idempotent a second run does no
     *     harm
     * @param effectDeadline the end of its key's window; Long.MAX_VALUE where it has none
     */
    public OutgoingPart(
            Object attachment,
            long now,
            long deadline,
            int cell,
            boolean idempotent,
            String id,
            String index,
            int shard,
            String idempotencyKey,
            byte[] text,
            boolean clientRetry,
            long effectDeadline) {
        super(deadline, cell, idempotent);
        this.attachment = attachment;
        forwardedAt = now;
        this.id = id;
        this.index = index;
        this.shard = shard;
        this.idempotencyKey = idempotencyKey;
        this.text = text;
        this.clientRetry = clientRetry;
        this.effectDeadline = effectDeadline;
    }
}

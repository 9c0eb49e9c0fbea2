package tinlink.gateway;

import tinlink.gateway.forwarding.InboundChannel;
import tinlink.gateway.forwarding.ReceivedPart;

/** A part that another site has passed on to this router. Fields only. */
public final class IncomingPart extends ReceivedPart {
    public final long arrivedAt;
    /** How long it may run here, and have its effect. */
    public final long remainingUs;

    public final String id;
    public final String index;
    public final int shard;
    public final String idempotencyKey;
    public final byte[] text;
    public final boolean clientRetry;
    /** Whatever the part is to whoever runs it here. */
    public Object attachment;

    byte[] value = new byte[0];
    long retryAfterUs;
    long durationUs;

    IncomingPart(
            InboundChannel inbound,
            long number,
            long arrivedAt,
            long remainingUs,
            String id,
            String index,
            int shard,
            String idempotencyKey,
            byte[] text,
            boolean clientRetry) {
        super(inbound, number);
        this.arrivedAt = arrivedAt;
        this.remainingUs = remainingUs;
        this.id = id;
        this.index = index;
        this.shard = shard;
        this.idempotencyKey = idempotencyKey;
        this.text = text;
        this.clientRetry = clientRetry;
    }
}

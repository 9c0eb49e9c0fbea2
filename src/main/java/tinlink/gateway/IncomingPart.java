package tinlink.gateway;

import tinlink.gateway.forwarding.InboundChannel;
import tinlink.gateway.forwarding.ReceivedPart;

/** A part that another site has forwarded to this router. State only; belongs to the event loop's thread. */
public final class IncomingPart extends ReceivedPart {
    public final PartContent content;
    /** Microseconds of the event loop's clock. */
    public final long arrivedAt;
    /** How long it may run here, and have its effect, microseconds. */
    public final long remainingUs;
    /** Whatever the part is to whoever runs it here. */
    public Object attachment;

    byte[] value = new byte[0];
    long retryAfterUs;
    long durationUs;

    IncomingPart(
            InboundChannel channel,
            long number,
            long arrivedAt,
            long remainingUs,
            PartContent content) {
        super(channel, number);
        this.arrivedAt = arrivedAt;
        this.remainingUs = remainingUs;
        this.content = content;
    }
}

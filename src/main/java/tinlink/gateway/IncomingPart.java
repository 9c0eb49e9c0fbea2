package tinlink.gateway;

import tinlink.gateway.forwarding.InboundChannel;
import tinlink.gateway.forwarding.ReceivedPart;

/** A part that another site has forwarded to this router. Used on the event loop's thread only. */
public final class IncomingPart extends ReceivedPart {
    public final PartContent content;
    /** When the part arrived, in microseconds of the event loop's clock. */
    public final long arrivedAt;
    /** How long after its arrival the part may run and have its effect, in microseconds. */
    public final long remainingUs;
    /** An object that the {@link PartHandler} attaches to the part. */
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

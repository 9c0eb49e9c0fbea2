package tinlink.gateway.forwarding;

/** A forwarded part as the far router knows it. Fields only; the deciding class keeps its state here. */
public class ReceivedPart {
    final InboundChannel channel;
    public final long number;
    PartStatus status = PartStatus.RUNNING;
    long endedAt;
    int bytes;

    protected ReceivedPart(InboundChannel inbound, long number) {
        this.channel = inbound;
        this.number = number;
    }

    public InboundChannel channel() {
        return channel;
    }

    public PartStatus status() {
        return status;
    }
}

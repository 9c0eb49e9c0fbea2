package tinlink.gateway.forwarding;

/** The receiving router's state of a part that a router of another site has forwarded. */
public class ReceivedPart {
    /** The number of the part on its channel; numbers start at 1 and increase. */
    public final long number;

    private final InboundChannel channel;
    PartStatus status = PartStatus.RUNNING;
    /** The size of the value in bytes, as {@link EndedPartCache} counts it; 0 until the part has ended. */
    int endedBytes;

    protected ReceivedPart(InboundChannel channel, long number) {
        this.channel = channel;
        this.number = number;
    }

    public InboundChannel channel() {
        return channel;
    }

    public PartStatus status() {
        return status;
    }
}

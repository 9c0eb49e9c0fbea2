package tinlink.gateway.forwarding;

/** A part that another site's router has forwarded to this one, as its receiver knows it. State only. */
public class ReceivedPart {
    /** Its number on its channel, from 1; numbers of a channel only rise. */
    public final long number;

    private final InboundChannel channel;
    PartStatus status = PartStatus.RUNNING;
    /** Bytes of its value, which count against the bound on remembered parts; 0 until it has ended. */
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

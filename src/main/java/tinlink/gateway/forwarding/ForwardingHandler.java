package tinlink.gateway.forwarding;

import java.util.BitSet;

/** Carries out the decisions of a {@link RemoteRouter}. Called from within {@link RemoteRouter#decide}. */
public interface ForwardingHandler {
    /**
     * Connects the channel; {@link RemoteRouter#onConnected} or {@link RemoteRouter#onDisconnected} follows.
     */
    void connect(GatewayChannel channel);

    /** Ends the channel's connection; {@link RemoteRouter#onDisconnected} follows. */
    void disconnect(GatewayChannel channel);

    /**
     * Sends a heartbeat.
     *
     * @param lowestOpenNumber parts below this number are of no interest any more
     */
    void sendHeartbeat(GatewayChannel channel, long number, long lowestOpenNumber);

    /** Sends the part on its channel. */
    void sendPart(ForwardedPart part);

    /** Tells the remote router that the part is of no use any more. */
    void sendCancel(ForwardedPart part);

    /** Asks on one channel about all parts of another, or of its own, that are still of interest. */
    void sendStatusQuery(GatewayChannel via, GatewayChannel about);

    /** The end of a part; the value and times, if any, came with the input that it follows from. */
    void partEnded(ForwardedPart part, PartStatus status);

    /**
     * Which cells can be reached has changed, or how far the router is.
     *
     * @param cells that can be reached over this router now
     * @param roundTripUs what the network takes there and back, microseconds
     */
    void cellsChanged(RemoteRouter router, BitSet cells, long roundTripUs);

    /** Pulls decisions again at that time, in microseconds. */
    void wakeAt(RemoteRouter router, long at);
}

package tinlink.gateway.forwarding;

import java.util.BitSet;

/** Carries out the decisions of a {@link RemoteRouter}. Called from within {@link RemoteRouter#decide}. */
public interface ForwardingHandler {
    /**
     * Connects the channel; {@link RemoteRouter#onConnected} or {@link RemoteRouter#onDisconnected} follows.
     */
    void connect(GatewayChannel channel);

    /** Closes the channel's connection; {@link RemoteRouter#onDisconnected} follows. */
    void disconnect(GatewayChannel channel);

    /**
     * Sends a heartbeat.
     *
     * @param lowestOpenNumber the remote router may forget parts with lower numbers
     */
    void sendHeartbeat(GatewayChannel channel, long number, long lowestOpenNumber);

    /** Sends the part on the channel it is assigned to. */
    void sendPart(ForwardedPart part);

    /** Tells the remote router that the result of the part is no longer needed. */
    void sendCancel(ForwardedPart part);

    /**
     * Queries on channel {@code via} the status of all open parts of channel {@code about}, which may be the
     * same channel.
     */
    void sendStatusQuery(GatewayChannel via, GatewayChannel about);

    /** Reports that a part has ended; its value and times, if any, came with the input that ended it. */
    void partEnded(ForwardedPart part, PartStatus status);

    /**
     * Reports that the reachable cells or the round-trip time have changed.
     *
     * @param cells the cells that can be reached over this router now
     * @param roundTripUs the round-trip time to this router, in microseconds
     */
    void cellsChanged(RemoteRouter router, BitSet cells, long roundTripUs);

    /** Schedules a call of {@link RemoteRouter#decide} at the given time, in microseconds. */
    void wakeAt(RemoteRouter router, long at);
}

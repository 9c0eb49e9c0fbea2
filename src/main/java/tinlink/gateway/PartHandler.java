package tinlink.gateway;

import tinlink.decision.Outcome;
import tinlink.gateway.forwarding.RemoteRouter;

import java.util.BitSet;

/** Handles the events of parts forwarded between sites, in both directions, on the event loop's thread. */
public interface PartHandler {
    /**
     * Reports the outcome of a forwarded part; called once per part.
     *
     * @param durationUs how long the part took at the other site, in microseconds; negative if unknown
     */
    void partEnded(OutgoingPart part, Outcome outcome, long durationUs);

    /**
     * Reports that the cells reachable over a remote router or its round-trip time have changed.
     *
     * @param cells the cells that can be reached over the remote router now
     * @param roundTripUs the round-trip time to the remote router, in microseconds
     */
    void cellsChanged(RemoteRouter router, BitSet cells, long roundTripUs);

    /** Starts a part of another site; the handler calls {@link Gateway#partEnded} when the part has ended. */
    void startPart(IncomingPart part);

    /** Cancels a part whose result is no longer needed. */
    void cancelPart(IncomingPart part);
}

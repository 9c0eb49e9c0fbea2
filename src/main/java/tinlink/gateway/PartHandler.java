package tinlink.gateway;

import tinlink.decision.Outcome;
import tinlink.gateway.forwarding.RemoteRouter;

import java.util.BitSet;

/** What becomes of parts that cross sites, both ways. Called on the event loop's thread. */
public interface PartHandler {
    /**
     * The one outcome of a part that was forwarded.
     *
     * @param durationUs how long it took at the other site; below 0 where nothing is known of it
     */
    void partEnded(OutgoingPart part, Outcome outcome, long durationUs);

    /**
     * Which cells a remote router serves has changed, or how far it is.
     *
     * @param cells that can be reached over that router from now on
     * @param roundTripUs what the network takes there and back
     */
    void cellsChanged(RemoteRouter router, BitSet cells, long roundTripUs);

    /** Runs a part of another site's; {@link Gateway#partEnded} follows. */
    void startPart(IncomingPart part);

    /** Nobody has a use for the part any more. */
    void cancelPart(IncomingPart part);
}

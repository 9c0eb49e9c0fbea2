package tinlink.gateway.forwarding;

import java.util.BitSet;

/** Which cells were last announced as reachable over a remote router, and what the network takes. */
final class ReachableCells {
    /** Announced again once the round trip has changed by one part in so many, not at each heartbeat. */
    private static final int ROUND_TRIP_DIVISOR = 8;

    private BitSet cells = new BitSet();
    private long roundTripUs;

    BitSet cells() {
        return cells;
    }

    long roundTripUs() {
        return roundTripUs;
    }

    /**
     * Takes over what can be reached now.
     *
     * @return whether it differs enough from what was announced before
     */
    boolean update(BitSet newCells, long newRoundTripUs) {
        boolean sameRoundTrip =
                Math.abs(newRoundTripUs - roundTripUs) <= roundTripUs / ROUND_TRIP_DIVISOR;
        if (newCells.equals(cells) && sameRoundTrip) {
            return false;
        }
        cells = (BitSet) newCells.clone();
        roundTripUs = newRoundTripUs;
        return true;
    }
}

package tinlink.gateway.forwarding;

import java.util.BitSet;

/** The cells last announced as reachable over a remote router, with the round-trip time to that router. */
final class ReachableCells {
    /** A round-trip time is announced again after a change of more than one part in this number. */
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
     * Stores the current cells and round-trip time if they differ enough from those announced last.
     *
     * @return whether the new values were stored and are to be announced
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

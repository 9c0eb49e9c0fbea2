package tinlink.router;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Which call ids are known, and for how long. */
class QueriesInFlightTest {
    private static final long RETENTION_US = 1_000;

    private final QueriesInFlight queries = new QueriesInFlight(RETENTION_US);

    private Query ended(boolean attempted) {
        Query query = new Query("q1", new byte[0], null, null);
        queries.add(query);
        query.attempted = attempted;
        queries.remove(query, 0);
        return query;
    }

    /** Guards against parts that run twice when an id comes again after its client has left. */
    @Test
    void theIdOfALookupThatWasSentIsKnownForAWhile() {
        ended(true);
        assertTrue(queries.isKnown("q1", RETENTION_US - 1));
        assertFalse(queries.isKnown("q1", RETENTION_US));
    }

    /** Guards against a heap that fills with the ids of lookups that are rejected at full speed. */
    @Test
    void theIdOfALookupOfWhichNothingWasSentIsNotKept() {
        ended(false);
        assertFalse(queries.isKnown("q1", 1));
    }
}

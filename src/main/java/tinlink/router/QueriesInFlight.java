package tinlink.router;

import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The queries in flight by call id, and the call ids of recently ended queries. Confined to the event
 * loop's thread.
 */
final class QueriesInFlight {
    /** By call id; a query is removed when it is answered or its client disconnects. */
    private final Map<String, Query> queries = new HashMap<>();
    /**
     * End times by call id of the queries with attempts, oldest first; an entry is removed after {@link
     * #callIdRetentionUs}.
     */
    private final Map<String, Long> endedAtUs = new LinkedHashMap<>();

    private final long callIdRetentionUs;
    /** Parts of all queries in flight. */
    private int parts;

    /** @param callIdRetentionUs how long the call id of an ended query stays known */
    QueriesInFlight(long callIdRetentionUs) {
        this.callIdRetentionUs = callIdRetentionUs;
    }

    /** Whether a query with this call id is in flight, or had attempts and ended recently. */
    boolean isKnown(String callId, long nowUs) {
        long expiryUs = nowUs - callIdRetentionUs;
        for (Iterator<Long> ended = endedAtUs.values().iterator();
                ended.hasNext() && ended.next() <= expiryUs; ) {
            ended.remove();
        }
        return queries.containsKey(callId) || endedAtUs.containsKey(callId);
    }

    void add(Query query) {
        queries.put(query.callId, query);
        parts += query.announcedParts;
    }

    /**
     * Removes an ended query; no effect if it is not in flight. Its call id is kept for a while if any
     * attempt was sent. Otherwise no data node knows the id: its client may use it again, and a client that
     * is rejected at full speed under ever new ids would fill the heap with them.
     */
    void remove(Query query, long nowUs) {
        if (queries.remove(query.callId, query)) {
            parts -= query.announcedParts;
            if (query.attempted) {
                endedAtUs.put(query.callId, nowUs);
            }
        }
    }

    /** The number of lookups plus the number of parts in flight. */
    int size() {
        return queries.size() + parts;
    }

    /** A live view of the queries in flight. */
    Collection<Query> all() {
        return queries.values();
    }
}

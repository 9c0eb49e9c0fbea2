package tinlink.router;

import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Queries in flight by call id, and the call ids of those that have ended lately. Of the event loop's thread.
 */
final class QueriesInFlight {
    /** Each leaves with its response or its client. */
    private final Map<String, Query> queries = new HashMap<>();
    /** When each has ended, the oldest first; each leaves after the time that a client waits at most. */
    private final Map<String, Long> endedAtUs = new LinkedHashMap<>();

    private final long callIdRetentionUs;
    private int parts;

    /** @param callIdRetentionUs for how long the call id of a query that has ended stays known */
    QueriesInFlight(long callIdRetentionUs) {
        this.callIdRetentionUs = callIdRetentionUs;
    }

    /** Whether a query of that call id is in flight or has ended lately. */
    boolean isKnown(String callId, long nowUs) {
        long expiredUs = nowUs - callIdRetentionUs;
        for (Iterator<Long> ended = endedAtUs.values().iterator();
                ended.hasNext() && ended.next() <= expiredUs; ) {
            ended.remove();
        }
        return queries.containsKey(callId) || endedAtUs.containsKey(callId);
    }

    void add(Query query) {
        queries.put(query.callId, query);
        parts += query.announcedParts;
    }

    /** Its call id stays known for a while; without effect where it is not in flight. */
    void remove(Query query, long nowUs) {
        if (queries.remove(query.callId, query)) {
            parts -= query.announcedParts;
            endedAtUs.put(query.callId, nowUs);
        }
    }

    /** Lookups and parts in flight. */
    int size() {
        return queries.size() + parts;
    }

    /** Those in flight; a view. */
    Collection<Query> all() {
        return queries.values();
    }
}

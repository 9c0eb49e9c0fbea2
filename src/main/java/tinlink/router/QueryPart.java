package tinlink.router;

import tinlink.decision.Part;

import java.util.ArrayList;
import java.util.List;

/** A part of a query, its attempts on the network, and its value once that has come. */
final class QueryPart extends Part {
    final String id;
    /** By the number of the attempt. */
    final List<SentAttempt> sentAttempts = new ArrayList<>();

    String value;

    QueryPart(Query query, int shard, double weight) {
        this(query, shard, weight, query.callId + "." + shard);
    }

    QueryPart(Query query, int shard, double weight, String id) {
        lookup = query;
        this.shard = shard;
        this.weight = weight;
        this.id = id;
    }

    Query query() {
        return (Query) lookup;
    }
}

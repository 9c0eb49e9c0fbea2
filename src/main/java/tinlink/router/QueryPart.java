package tinlink.router;

import tinlink.decision.Part;

import java.util.ArrayList;
import java.util.List;

/** A part of a query with the attempts that were sent for it and the value that a data node gave. */
final class QueryPart extends Part {
    final String id;
    /** The attempts of this part, indexed by attempt number. */
    final List<SentAttempt> sentAttempts = new ArrayList<>();

    /** The value from the data node; null until an answer with a value arrives. */
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

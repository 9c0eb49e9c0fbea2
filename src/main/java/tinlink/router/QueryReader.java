package tinlink.router;

import tinlink.decision.Index;
import tinlink.decision.Part;
import tinlink.gateway.IncomingPart;
import tinlink.net.MessageRejectedException;
import tinlink.net.JsonReader;
import tinlink.start.RouterStart;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Makes a query from the head and the body of a client's request, or says what is wrong with them.
 */
final class QueryReader {
    private static final Pattern CALL_ID = Pattern.compile("[A-Za-z0-9_-]{1,64}");
    private static final Pattern PART_ID = Pattern.compile("[A-Za-z0-9_-]{1,64}\\.[0-9]{1,9}");
    private static final Pattern BUDGET = Pattern.compile("[0-9]{1,9}");
    private static final Pattern KEY = Pattern.compile("[!-+.-~-]{1,128}");
    /** So much may be lost of each share as it is written. */
    private static final double ROUNDED = 1e-3;

    private final RouterStart.Lookups may;

    QueryReader(RouterStart.Lookups may) {
        this.may = may;
    }

    /** @param by the figures of indexes as they are now; null for those of the start */
    Query read(
            Map<String, String> fields,
            JsonReader body,
            Client client,
            long askedAt,
            Map<String, Index> by)
            throws MessageRejectedException {
        String callId = matching(fields, "x-call-id", CALL_ID);
        Index index =
                (by == null ? may.indexes() : by).get(fields.getOrDefault("x-call-class", ""));
        if (index == null) {
            throw new MessageRejectedException(400, "X-Call-Class: no such class");
        }
        long budgetUs = 1000 * Long.parseLong(matching(fields, "x-budget-ms", BUDGET));
        String key = index.effect == Index.Effect.FINGERPRINTED
                ? matching(fields, "idempotency-key", KEY)
                : null;
        if (!(body.value() instanceof Map<?, ?> map)) {
            throw new MessageRejectedException(400, "the body is no object");
        }
        if (!(map.get("text") instanceof String text)) {
            throw new MessageRejectedException(400, "text: no string");
        }
        Query q = new Query(callId, text.getBytes(StandardCharsets.UTF_8), key, client);
        q.index = index;
        q.repeat = "1".equals(fields.get("x-again"));
        q.leavesAt = askedAt + budgetUs;
        segments(q, map.get("segments"));
        return q;
    }

    /**
     * A part that another site has passed on, as a lookup of one step.
     *
     * @param id of its own among all in hand
     */
    Query forwarded(IncomingPart part, String id, Query.Asker asker) throws MessageRejectedException {
        Index index = may.indexes().get(part.index);
        if (index == null || part.shard < 0 || part.shard >= may.shards()) {
            throw new MessageRejectedException(400, "no such class or shard");
        }
        boolean keyed = index.effect == Index.Effect.FINGERPRINTED;
        if (!PART_ID.matcher(part.id).matches()
                || (keyed && (part.idempotencyKey == null || !KEY.matcher(part.idempotencyKey).matches()))) {
            throw new MessageRejectedException(400, "id or key: not of its form");
        }
        Query q = new Query(id, part.text, keyed ? part.idempotencyKey : null, asker);
        q.index = index;
        q.repeat = part.clientRetry;
        q.forwarded = true;
        q.leavesAt = part.arrivedAt + part.remainingUs;
        q.parts.add(new Segment(q, part.shard, 1, part.id));
        q.announced = 1;
        return q;
    }

    private static String matching(Map<String, String> fields, String name, Pattern pattern)
            throws MessageRejectedException {
        String value = fields.get(name);
        if (value == null || !pattern.matcher(value).matches()) {
            throw new MessageRejectedException(400, name + (value == null ? ": missing" : ": not of its form"));
        }
        return value;
    }

    private void segments(Query q, Object given) throws MessageRejectedException {
        if (!(given instanceof List<?> list) || list.isEmpty()) {
            throw new MessageRejectedException(400, "segments: no list, or an empty one");
        }
        Set<Integer> seen = new HashSet<>();
        double sum = 0;
        for (Object one : list) {
            if (!(one instanceof Map<?, ?> map)) {
                throw new MessageRejectedException(400, "segments: an entry is no object");
            }
            if (!(map.get("segment") instanceof Double shard)
                    || shard != Math.rint(shard)
                    || shard < 0
                    || shard >= may.shards()
                    || !seen.add(shard.intValue())) {
                throw new MessageRejectedException(400, "segment: no such shard, or twice");
            }
            if (!(map.get("boost") instanceof Double boost) || !(boost > 0) || boost > 1) {
                throw new MessageRejectedException(400, "boost: no share");
            }
            q.parts.add(new Segment(q, shard.intValue(), boost));
            sum += boost;
        }
        // Danger: shares that add up to more than one would let too few parts pass for a whole
        // answer, and
        // parts of a lookup that nobody asked for in this form are void.
        if (Math.abs(sum - 1) > ROUNDED * (1 + q.parts.size())) {
            throw new MessageRejectedException(400, "boost: the shares don't add up to 1");
        }
        for (Part p : q.parts) {
            p.weight /= sum;
        }
        q.announced = q.parts.size();
    }
}

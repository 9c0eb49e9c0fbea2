package tinlink.router;

import tinlink.config.RouterConfig;
import tinlink.decision.LookupClass;
import tinlink.decision.Part;
import tinlink.gateway.IncomingPart;
import tinlink.gateway.PartContent;
import tinlink.net.JsonReader;
import tinlink.net.MessageRejectedException;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Parses the headers and the body of a client's request, or a forwarded part, into a query. The messages of
 * the exceptions are sent to the client.
 */
final class QueryParser {
    private static final Pattern CALL_ID = Pattern.compile("[A-Za-z0-9_-]{1,64}");
    private static final Pattern PART_ID = Pattern.compile("[A-Za-z0-9_-]{1,64}\\.[0-9]{1,9}");
    private static final Pattern BUDGET_MS = Pattern.compile("[0-9]{1,9}");
    private static final Pattern IDEMPOTENCY_KEY = Pattern.compile("[!-+.-~-]{1,128}");
    /** Largest rounding error of one share in its written form. */
    private static final double SHARE_ROUNDING = 1e-3;

    private final RouterConfig.LookupSettings settings;

    QueryParser(RouterConfig.LookupSettings settings) {
        this.settings = settings;
    }

    /** @param currentClasses the lookup classes in force, by name; null to use the configured ones */
    Query parse(
            Map<String, String> headers,
            JsonReader body,
            ClientConnection client,
            long requestedAtUs,
            Map<String, LookupClass> currentClasses)
            throws MessageRejectedException {
        String callId = requireMatch(headers, "x-call-id", CALL_ID);
        LookupClass lookupClass = (currentClasses == null
                        ? settings.lookupClasses()
                        : currentClasses)
                .get(headers.getOrDefault("x-call-class", ""));
        if (lookupClass == null) {
            throw new MessageRejectedException(400, "X-Call-Class: no such class");
        }
        long budgetUs = 1000 * Long.parseLong(requireMatch(headers, "x-budget-ms", BUDGET_MS));
        String idempotencyKey = lookupClass.idempotency == LookupClass.Idempotency.BY_KEY
                ? requireMatch(headers, "idempotency-key", IDEMPOTENCY_KEY)
                : null;
        if (!(body.value() instanceof Map<?, ?> map)) {
            throw new MessageRejectedException(400, "the body is no object");
        }
        if (!(map.get("text") instanceof String text)) {
            throw new MessageRejectedException(400, "text: no string");
        }
        Query query =
                new Query(callId, text.getBytes(StandardCharsets.UTF_8), idempotencyKey, client);
        query.lookupClass = lookupClass;
        query.clientRetry = "1".equals(headers.get("x-again"));
        query.clientDeadlineUs = requestedAtUs + budgetUs;
        parseParts(query, map.get("segments"));
        return query;
    }

    /** The time that the client waits, in microseconds; the longest there is if it is not given. */
    static long budgetUs(Map<String, String> headers) {
        String budgetMs = headers.get("x-budget-ms");
        return budgetMs == null || !BUDGET_MS.matcher(budgetMs).matches()
                ? Long.MAX_VALUE
                : 1000 * Long.parseLong(budgetMs);
    }

    /**
     * Makes a lookup with a single part out of a part that another site forwarded.
     *
     * @param id the call id of the new query, unique among the queries in flight
     */
    Query parseForwarded(IncomingPart part, String id, Query.ResponseListener listener)
            throws MessageRejectedException {
        PartContent content = part.content;
        LookupClass lookupClass = settings.lookupClasses().get(content.lookupClass());
        if (lookupClass == null
                || content.shard() < 0
                || content.shard() >= settings.shardCount()) {
            throw new MessageRejectedException(400, "no such class or shard");
        }
        boolean needsKey = lookupClass.idempotency == LookupClass.Idempotency.BY_KEY;
        if (!PART_ID.matcher(content.id()).matches()
                || (needsKey
                        && (content.idempotencyKey() == null
                                || !IDEMPOTENCY_KEY
                                        .matcher(content.idempotencyKey())
                                        .matches()))) {
            throw new MessageRejectedException(400, "id or key: not of its form");
        }
        Query query =
                new Query(id, content.text(), needsKey ? content.idempotencyKey() : null, listener);
        query.lookupClass = lookupClass;
        query.clientRetry = content.clientRetry();
        query.forwarded = true;
        query.clientDeadlineUs = part.arrivedAt + part.remainingUs;
        query.parts.add(new QueryPart(query, content.shard(), 1, content.id()));
        query.announcedParts = 1;
        return query;
    }

    private static String requireMatch(Map<String, String> headers, String name, Pattern pattern)
            throws MessageRejectedException {
        String value = headers.get(name);
        if (value == null || !pattern.matcher(value).matches()) {
            throw new MessageRejectedException(
                    400, name + (value == null ? ": missing" : ": not of its form"));
        }
        return value;
    }

    private void parseParts(Query query, Object segments) throws MessageRejectedException {
        if (!(segments instanceof List<?> list) || list.isEmpty()) {
            throw new MessageRejectedException(400, "segments: no list, or an empty one");
        }
        Set<Integer> seenShards = new HashSet<>();
        double sum = 0;
        for (Object entry : list) {
            if (!(entry instanceof Map<?, ?> map)) {
                throw new MessageRejectedException(400, "segments: an entry is no object");
            }
            if (!(map.get("segment") instanceof Double shard)
                    || shard != Math.rint(shard)
                    || shard < 0
                    || shard >= settings.shardCount()
                    || !seenShards.add(shard.intValue())) {
                throw new MessageRejectedException(400, "segment: no such shard, or twice");
            }
            if (!(map.get("boost") instanceof Double boost) || !(boost > 0) || boost > 1) {
                throw new MessageRejectedException(400, "boost: no share");
            }
            query.parts.add(new QueryPart(query, shard.intValue(), boost));
            sum += boost;
        }
        // Shares that add up to more than 1 would let an answer with too few parts count as
        // complete, so such a request is invalid rather than adjusted.
        if (Math.abs(sum - 1) > SHARE_ROUNDING * (1 + query.parts.size())) {
            throw new MessageRejectedException(400, "boost: the shares don't add up to 1");
        }
        for (Part part : query.parts) {
            part.weight /= sum;
        }
        query.announcedParts = query.parts.size();
    }
}

package tinlink.gateway;

/**
 * The content of a part, which is the same on every router.
 *
 * @param id the id of the part, unique within its lookup
 * @param lookupClass the name of the lookup's class in the settings, which both sites share
 * @param idempotencyKey null if the lookup's class needs none
 * @param text the text of the query; not copied, so callers must not modify the array
 * @param clientRetry whether the client has sent the lookup before
 */
@SuppressWarnings("ArrayRecordComponent") // Never compared, and copying each text would cost time.
public record PartContent(
        String id,
        String lookupClass,
        int shard,
        String idempotencyKey,
        byte[] text,
        boolean clientRetry) {}

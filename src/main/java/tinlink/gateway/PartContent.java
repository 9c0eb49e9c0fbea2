package tinlink.gateway;

/**
 * What a part is, on whichever router it runs.
 *
 * @param id of the part, unique for its lookup
 * @param lookupClass its name in the settings, which both sites share
 * @param idempotencyKey null where its class needs none
 * @param text of the query; not copied, not to be changed
 * @param clientRetry the client has sent the lookup before
 */
@SuppressWarnings(
        "ArrayRecordComponent") // Never compared; a copy of each text would only cost time.
public record PartContent(
        String id,
        String lookupClass,
        int shard,
        String idempotencyKey,
        byte[] text,
        boolean clientRetry) {}

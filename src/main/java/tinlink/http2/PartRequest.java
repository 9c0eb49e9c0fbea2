package tinlink.http2;

import tinlink.http2.pool.CallResult;
import tinlink.http2.pool.PendingCall;

import java.util.LinkedHashMap;
import java.util.Map;

/** A part call as a request, and its answer as an outcome; docs/protocol-http2.md. */
public final class PartRequest extends PendingCall {
    /** Whatever the call is to whoever made it. */
    public final Object attachment;

    private final int shard;
    private final String id;
    private final String idempotencyKey;
    private final byte[] text;
    private final long deadline;
    boolean ended;
    Http2NodeConnection nodeConnection;
    Http2Stream stream;
    /** Where its header block begins in what its connection has written. */
    long headerPosition;

    long sentAt;

    /**
     * @param idempotencyKey null where its index needs none
     * @param deadline an answer counts, microseconds
     * @param sendDeadline it must not wait for longer
     */
    public PartRequest(
            Object attachment,
            int shard,
            String id,
            String idempotencyKey,
            byte[] text,
            long deadline,
            long sendDeadline) {
        super(Math.min(deadline, sendDeadline));
        this.attachment = attachment;
        this.shard = shard;
        this.id = id;
        this.idempotencyKey = idempotencyKey;
        this.text = text;
        this.deadline = deadline;
    }

    /** Its one outcome has been said, or it was given up. */
    public boolean isEnded() {
        return ended;
    }

    /** It is on no connection yet. */
    public boolean isPending() {
        return stream == null;
    }

    Map<String, String> headerFields(String authority, long now) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put(":method", "POST");
        fields.put(":scheme", "http");
        fields.put(":authority", authority);
        fields.put(":path", "/parts/" + shard);
        fields.put("x-part-id", id);
        fields.put("x-part-wait-ms", String.valueOf(Math.max(1, (deadline - now + 999) / 1000)));
        if (idempotencyKey != null) {
            fields.put("idempotency-key", idempotencyKey);
        }
        fields.put("content-length", String.valueOf(text.length));
        return fields;
    }

    byte[] body() {
        return text;
    }

    /** What an answer that has ended in order means; a trailer has the last word. */
    static CallResult resultOf(Http2Stream response) {
        return switch (response.trailers.getOrDefault(
                "x-part-end", response.responseFields.getOrDefault("x-part-end", ""))) {
            case "rejected" -> CallResult.TURNED_AWAY;
            case "error" -> CallResult.FAILED;
            case "", "ok" ->
                response.status == 200
                        ? CallResult.SATISFIED
                        : response.status == 429 || response.status == 503
                                ? CallResult.TURNED_AWAY
                                : CallResult.FAILED;
            default -> CallResult.MALFORMED;
        };
    }
}

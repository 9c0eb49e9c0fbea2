package tinlink.http2;

import tinlink.http2.pool.CallResult;
import tinlink.http2.pool.PendingCall;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A part call as a request, and the meaning of its response; docs/protocol-http2.md. Belongs to the event
 * loop's thread.
 */
public final class PartRequest extends PendingCall {
    private static final int OK = 200;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final String RESULT_FIELD = "x-part-end";

    /** Whatever the call is to whoever made it. */
    public final Object attachment;

    private final int shard;
    private final String id;
    private final String idempotencyKey;
    private final byte[] text;
    private final long answerDeadline;
    boolean ended;
    Http2NodeConnection nodeConnection;
    Http2Stream stream;
    /** Where its header block begins in what its connection has written. */
    long headerPosition;

    long sentAt;

    /**
     * A call that waits for a connection.
     *
     * @param idempotencyKey null where its class needs none
     * @param text of the query; not copied, not to be changed
     * @param deadline until when an answer counts, microseconds
     * @param sendDeadline until when it may wait for a stream, microseconds
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
        answerDeadline = deadline;
    }

    /** Its one outcome is known, or it was cancelled. */
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
        fields.put(
                "x-part-wait-ms", String.valueOf(Math.max(1, (answerDeadline - now + 999) / 1000)));
        if (idempotencyKey != null) {
            fields.put("idempotency-key", idempotencyKey);
        }
        fields.put("content-length", String.valueOf(text.length));
        return fields;
    }

    byte[] body() {
        return text;
    }

    /** What a response that has ended in order means; a trailer has the last word. */
    static CallResult resultOf(Http2Stream response) {
        String declared = response.responseFields.getOrDefault(RESULT_FIELD, "");
        return switch (response.trailers.getOrDefault(RESULT_FIELD, declared)) {
            case "rejected" -> CallResult.REJECTED;
            case "error" -> CallResult.FAILED;
            case "", "ok" -> resultOfStatus(response.status);
            default -> CallResult.MALFORMED;
        };
    }

    private static CallResult resultOfStatus(int status) {
        return switch (status) {
            case OK -> CallResult.SATISFIED;
            case TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE -> CallResult.REJECTED;
            default -> CallResult.FAILED;
        };
    }
}

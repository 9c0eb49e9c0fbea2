package tinlink.http2;

import tinlink.http2.pool.CallResult;
import tinlink.http2.pool.PendingCall;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * An attempt as an HTTP/2 request, with the interpretation of its response; see docs/protocol-http2.md. Not
 * thread-safe: all calls come from the event loop's thread.
 */
public final class PartRequest extends PendingCall {
    private static final int OK = 200;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;
    /** The header field or trailer in which the node states how the attempt ended. */
    private static final String RESULT_FIELD = "x-part-end";

    /** The caller's object for the attempt. */
    public final Object attachment;

    private final int shard;
    private final String id;
    private final String idempotencyKey;
    private final byte[] text;
    /** The time until which an answer is accepted, microseconds. */
    private final long answerDeadline;

    boolean ended;
    Http2NodeConnection nodeConnection;
    Http2Stream stream;
    /** The number of bytes written to the connection before the header block. */
    long headerPosition;

    /** The time at which the request was passed to the connection, microseconds. */
    long sentAt;

    /**
     * Creates an attempt that waits for a connection.
     *
     * @param idempotencyKey null if the class of the lookup needs none
     * @param text the text of the query; not copied, so it must not be changed
     * @param deadline the time until which an answer is accepted, microseconds
     * @param sendDeadline the time until which the attempt may wait for a stream and for the node's window,
     *     microseconds
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

    /** Whether the outcome is known, or the attempt was cancelled or passed to the frame protocol. */
    public boolean isEnded() {
        return ended;
    }

    /** Whether the attempt has been given no stream. */
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

    /** The result of a complete response; a trailer overrides the header field. */
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

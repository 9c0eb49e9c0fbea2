package tinlink.router;

import tinlink.decision.Part;
import tinlink.net.JsonReader;
import tinlink.net.ProtocolLimits;
import tinlink.net.RingBuffer;

import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;

/**
 * An answer to a client, worded from a decision. 429 and 503 promise that asking again does no
 * harm.
 */
final class Reply {
    private final int status;
    private final String fields;
    private final byte[] body;

    private Reply(int status, String fields, String body) {
        this.status = status;
        this.fields = fields;
        this.body = body.getBytes(StandardCharsets.UTF_8);
    }

    static Reply plain(int status, String words) {
        return new Reply(status, "Content-Type: text/plain\r\n", words + "\n");
    }

    /** The values of the parts that are in, as the data nodes gave them. */
    static Reply answer(Query q, boolean whole) {
        StringBuilder b = new StringBuilder(64 + 40 * q.parts.size())
                .append("{\"all_in\":")
                .append(whole)
                .append(",\"matches\":[");
        String comma = "";
        for (Part p : q.parts) {
            String value = ((Segment) p).value;
            if (p.satisfied && value != null) {
                b.append(comma).append("{\"segment\":").append(p.shard).append(",\"payload\":");
                JsonReader.appendQuoted(b, value);
                b.append('}');
                comma = ",";
            }
        }
        Reply r = new Reply(
                200, "Content-Type: application/json\r\n", b.append("]}").toString());
        return r.body.length <= ProtocolLimits.MAX_BODY_BYTES ? r : plain(500, "the answer is too long");
    }

    static Reply nack(long comeBackUs) {
        String after = comeBackUs <= 0
                ? ""
                : "Retry-After: " + BigDecimal.valueOf(comeBackUs / 1000, 3).toPlainString()
                        + "\r\n";
        return new Reply(503, "Content-Type: text/plain\r\n" + after, "not now\n");
    }

    static Reply abort() {
        return plain(504, "no answer in time; it may have had its effect");
    }

    void write(RingBuffer to, boolean last) {
        to.put("HTTP/1.1 " + status + " " + words() + "\r\n" + fields
                        + (status == 405 ? "Allow: GET, POST\r\n" : "")
                        + (last ? "Connection: close\r\n" : "")
                        + "Content-Length: " + body.length + "\r\n\r\n")
                .put(body);
    }

    private String words() {
        return switch (status) {
            case 200 -> "OK";
            case 400 -> "Bad Request";
            case 404 -> "Not Found";
            case 405 -> "Method Not Allowed";
            case 408 -> "Request Timeout";
            case 409 -> "Conflict";
            case 413 -> "Content Too Large";
            case 431 -> "Request Header Fields Too Large";
            case 503 -> "Service Unavailable";
            case 504 -> "Gateway Timeout";
            default -> "Internal Server Error";
        };
    }
}

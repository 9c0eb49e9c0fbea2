package tinlink.router;

import tinlink.decision.Part;
import tinlink.net.JsonReader;
import tinlink.net.ProtocolLimits;
import tinlink.net.RingBuffer;

import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;

/**
 * An HTTP response to a client. The statuses 429 and 503 promise that a retry is harmless.
 */
final class ClientResponse {
    private final int status;
    private final String headers;
    private final byte[] body;

    private ClientResponse(int status, String headers, String body) {
        this.status = status;
        this.headers = headers;
        this.body = body.getBytes(StandardCharsets.UTF_8);
    }

    static ClientResponse plainText(int status, String message) {
        return new ClientResponse(status, "Content-Type: text/plain\r\n", message + "\n");
    }

    /** The values received for the parts, as the data nodes sent them. */
    static ClientResponse answer(Query query, boolean isComplete) {
        StringBuilder json = new StringBuilder(64 + 40 * query.parts.size())
                .append("{\"all_in\":")
                .append(isComplete)
                .append(",\"matches\":[");
        String separator = "";
        for (Part part : query.parts) {
            String value = ((QueryPart) part).value;
            if (part.satisfied && value != null) {
                json.append(separator)
                        .append("{\"segment\":")
                        .append(part.shard)
                        .append(",\"payload\":");
                JsonReader.appendQuoted(json, value);
                json.append('}');
                separator = ",";
            }
        }
        ClientResponse response = new ClientResponse(
                200, "Content-Type: application/json\r\n", json.append("]}").toString());
        return response.body.length <= ProtocolLimits.MAX_BODY_BYTES
                ? response
                : plainText(500, "the answer is too long");
    }

    static ClientResponse rejection(long retryAfterUs) {
        String retryAfterHeader = retryAfterUs <= 0
                ? ""
                : "Retry-After: " + BigDecimal.valueOf(retryAfterUs / 1000, 3).toPlainString()
                        + "\r\n";
        return new ClientResponse(
                503, "Content-Type: text/plain\r\n" + retryAfterHeader, "not now\n");
    }

    static ClientResponse abort() {
        return plainText(504, "no answer in time; it may have had its effect");
    }

    void write(RingBuffer out, boolean isLast) {
        out.put("HTTP/1.1 " + status + " " + reasonPhrase() + "\r\n" + headers
                        + (status == 405 ? "Allow: GET, POST\r\n" : "")
                        + (isLast ? "Connection: close\r\n" : "")
                        + "Content-Length: " + body.length + "\r\n\r\n")
                .put(body);
    }

    private String reasonPhrase() {
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

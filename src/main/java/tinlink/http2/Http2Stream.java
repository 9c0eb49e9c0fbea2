package tinlink.http2;

import java.io.ByteArrayOutputStream;
import java.util.LinkedHashMap;
import java.util.Map;

/** One request and its response. State only; the connection keeps it. */
final class Http2Stream {
    /** Whatever the request is to whoever made it. */
    final Object call;

    final int id;
    /** What of the request has not been put into a frame yet. */
    byte[] body;

    int bodySent;
    /** How many bytes the other side takes; may be below 0 once its settings have changed. */
    long sendWindow;
    /** How many bytes of the response we still take. */
    long receiveWindow;
    /**
     * Its call has ended, but it counts against the node's limit until it has ended there.
     */
    boolean abandoned;

    int status;
    long contentLength = -1;
    final ByteArrayOutputStream responseBody = new ByteArrayOutputStream();
    final Map<String, String> responseFields = new LinkedHashMap<>();
    final Map<String, String> trailers = new LinkedHashMap<>();

    Http2Stream(Object call, int id, byte[] body) {
        this.call = call;
        this.id = id;
        this.body = body;
    }

    /** All of the request is in frames. */
    boolean isRequestSent() {
        return bodySent == body.length;
    }
}

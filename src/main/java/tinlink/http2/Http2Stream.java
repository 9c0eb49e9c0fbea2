package tinlink.http2;

import java.io.ByteArrayOutputStream;
import java.util.LinkedHashMap;
import java.util.Map;

/** One request and its response. Holds state only, which {@link Http2Connection} updates. */
final class Http2Stream {
    private static final byte[] NO_BODY = {};

    /** The caller's object for the request; opaque to the connection. */
    final Object call;

    final int id;
    /** The body of the request, whose first {@link #bodySent} bytes are in frames. */
    byte[] body;

    int bodySent;
    /** The bytes that the server still accepts; negative if new settings shrank the window. */
    long sendWindow;
    /** The bytes of the response that the client still accepts. */
    long receiveWindow;
    /**
     * Whether the attempt has ended here while the stream is still open. The stream counts against
     * the node's limit until the node ends it.
     */
    boolean abandoned;
    /** Whether the rest of the request is never sent, so that the node never gets it whole. */
    private boolean withdrawn;

    /** The status code of the final response; 0 until its header fields have arrived. */
    int status;
    /** The declared length of the response body, in bytes; -1 if none was declared. */
    long contentLength = -1;

    final ByteArrayOutputStream responseBody = new ByteArrayOutputStream();
    final Map<String, String> responseFields = new LinkedHashMap<>();
    final Map<String, String> trailers = new LinkedHashMap<>();

    Http2Stream(Object call, int id, byte[] body) {
        this.call = call;
        this.id = id;
        this.body = body;
    }

    /** Whether the whole request has been written to frames. */
    boolean isRequestSent() {
        return !withdrawn && bodySent == body.length;
    }

    boolean isWithdrawn() {
        return withdrawn;
    }

    /** Sends no more of the request, without a reset; the stream stays open until the server ends it. */
    void withdraw() {
        withdrawn = true;
        body = NO_BODY;
    }
}

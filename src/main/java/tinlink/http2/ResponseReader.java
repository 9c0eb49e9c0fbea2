package tinlink.http2;

import tinlink.net.ProtocolLimits;

import java.nio.ByteBuffer;

/** Assembles a response in its stream and checks whether it is well-formed (RFC 9113, section 8.1). */
final class ResponseReader {
    private static final int OK = 200;
    private static final int SWITCHING_PROTOCOLS = 101;

    /** The state of a response after a frame. */
    enum Progress {
        INCOMPLETE,
        COMPLETE,
        MALFORMED
    }

    private final UselessFrameBudget uselessFrameBudget;

    ResponseReader(UselessFrameBudget uselessFrameBudget) {
        this.uselessFrameBudget = uselessFrameBudget;
    }

    /** Reads a header block: an interim response, the response's header fields or its trailers. */
    Progress headers(Http2Stream stream, HeaderCodec.HeaderBlock block, boolean endsStream)
            throws Http2Exception {
        String statusText = block.pseudoFields.get(":status");
        boolean trailing = stream.status != 0;
        if (block.malformedReason != null
                || trailing != (statusText == null)
                || (trailing && !endsStream)) {
            return Progress.MALFORMED;
        }
        if (trailing) {
            stream.trailers.putAll(block.fields);
            return finish(stream);
        }
        if (!statusText.matches("[1-9][0-9][0-9]")) {
            return Progress.MALFORMED;
        }
        int statusCode = Integer.parseInt(statusText);
        if (statusCode < OK) {
            // An interim response is ignored; the final response follows.
            uselessFrameBudget.spend();
            return endsStream || statusCode == SWITCHING_PROTOCOLS
                    ? Progress.MALFORMED
                    : Progress.INCOMPLETE;
        }
        return responseHead(stream, statusCode, block, endsStream);
    }

    private static Progress responseHead(
            Http2Stream stream, int statusCode, HeaderCodec.HeaderBlock block, boolean endsStream) {
        stream.status = statusCode;
        stream.responseFields.putAll(block.fields);
        String length = block.fields.get("content-length");
        if (length != null && !length.matches("[0-9]{1,9}")) {
            return Progress.MALFORMED;
        }
        stream.contentLength = length == null ? -1 : Long.parseLong(length);
        return endsStream ? finish(stream) : Progress.INCOMPLETE;
    }

    /** Reads the payload of a DATA frame whose padding is removed. */
    Progress data(Http2Stream stream, ByteBuffer payload, boolean endsStream)
            throws Http2Exception {
        if (stream.status == 0) {
            return Progress.MALFORMED;
        }
        uselessFrameBudget.spendUnless(payload.hasRemaining() || endsStream);
        int bodyBytes = stream.responseBody.size() + payload.remaining();
        if (bodyBytes > ProtocolLimits.MAX_BODY_BYTES
                || (stream.contentLength >= 0 && bodyBytes > stream.contentLength)) {
            return Progress.MALFORMED;
        }
        FramePayload.appendTo(stream.responseBody, payload);
        return endsStream ? finish(stream) : Progress.INCOMPLETE;
    }

    /** Completes the response if the length of its body matches its content-length. */
    private static Progress finish(Http2Stream stream) {
        boolean isDeclaredLength =
                stream.contentLength < 0 || stream.responseBody.size() == stream.contentLength;
        return isDeclaredLength ? Progress.COMPLETE : Progress.MALFORMED;
    }
}

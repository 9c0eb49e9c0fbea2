package tinlink.http2;

import tinlink.net.Protocol;

import java.nio.ByteBuffer;

/** Puts an answer together in its stream, and checks its form (RFC 9113, section 8.1). */
final class ResponseReader {
    private static final int OK = 200;
    private static final int SWITCHING_PROTOCOLS = 101;

    /** How far an answer has come. */
    enum Progress {
        INCOMPLETE,
        COMPLETE,
        MALFORMED
    }

    private final UselessFrameBudget budget;

    ResponseReader(UselessFrameBudget budget) {
        this.budget = budget;
    }

    /** A header block: an interim answer, the answer's head, or its trailers. */
    Progress headers(Stream stream, Headers.Block block, boolean last) throws Broken {
        String status = block.pseudo.get(":status");
        boolean trailers = stream.status != 0;
        if (block.malformed != null || trailers != (status == null) || trailers && !last) {
            return Progress.MALFORMED;
        }
        if (trailers) {
            stream.trailers.putAll(block.fields);
            return finish(stream);
        }
        if (!status.matches("[1-9][0-9][0-9]")) {
            return Progress.MALFORMED;
        }
        int code = Integer.parseInt(status);
        if (code < OK) {
            budget.spend(); // An interim answer says nothing; what it announces is still to come.
            return last || code == SWITCHING_PROTOCOLS ? Progress.MALFORMED : Progress.INCOMPLETE;
        }
        return head(stream, code, block, last);
    }

    private static Progress head(Stream stream, int code, Headers.Block block, boolean last) {
        stream.status = code;
        stream.fields.putAll(block.fields);
        String length = block.fields.get("content-length");
        if (length != null && !length.matches("[0-9]{1,9}")) {
            return Progress.MALFORMED;
        }
        stream.declared = length == null ? -1 : Long.parseLong(length);
        return last ? finish(stream) : Progress.INCOMPLETE;
    }

    /** A piece of the answer's body, without its padding. */
    Progress data(Stream stream, ByteBuffer payload, boolean last) throws Broken {
        if (stream.status == 0) {
            return Progress.MALFORMED;
        }
        budget.spendUnless(payload.hasRemaining() || last);
        int size = stream.value.size() + payload.remaining();
        if (size > Protocol.MOST_BODY || stream.declared >= 0 && size > stream.declared) {
            return Progress.MALFORMED;
        }
        stream.value.write(payload.array(), payload.position(), payload.remaining());
        return last ? finish(stream) : Progress.INCOMPLETE;
    }

    /** It is over in order if it is as long as it said. */
    private static Progress finish(Stream stream) {
        boolean asDeclared = stream.declared < 0 || stream.value.size() == stream.declared;
        return asDeclared ? Progress.COMPLETE : Progress.MALFORMED;
    }
}

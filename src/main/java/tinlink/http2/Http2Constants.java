package tinlink.http2;

import java.nio.charset.StandardCharsets;

/** The constants of RFC 9113. */
final class Http2Constants {
    // ---- Frame types. ----

    static final int DATA = 0;
    static final int HEADERS = 1;
    static final int PRIORITY = 2;
    static final int RST_STREAM = 3;
    static final int SETTINGS = 4;
    static final int PUSH_PROMISE = 5;
    static final int PING = 6;
    static final int GOAWAY = 7;
    static final int WINDOW_UPDATE = 8;
    static final int CONTINUATION = 9;

    // ---- Frame flags. ----

    static final int END_STREAM = 1;
    static final int ACK = 1;
    static final int END_HEADERS = 4;
    static final int PADDED = 8;
    static final int WITH_PRIORITY = 32;

    // ---- Identifiers of settings. ----

    static final int HEADER_TABLE_SIZE = 1;
    static final int ENABLE_PUSH = 2;
    static final int MAX_CONCURRENT_STREAMS = 3;
    static final int INITIAL_WINDOW_SIZE = 4;
    static final int MAX_FRAME_SIZE = 5;
    static final int MAX_HEADER_LIST_SIZE = 6;

    /** The error codes, in the order of RFC 9113, section 7, which defines their numbers. */
    enum ErrorCode {
        NO_ERROR,
        PROTOCOL_ERROR,
        INTERNAL_ERROR,
        FLOW_CONTROL_ERROR,
        SETTINGS_TIMEOUT,
        STREAM_CLOSED,
        FRAME_SIZE_ERROR,
        REFUSED_STREAM,
        CANCEL,
        COMPRESSION_ERROR,
        CONNECT_ERROR,
        ENHANCE_YOUR_CALM,
        INADEQUATE_SECURITY,
        HTTP_1_1_REQUIRED;

        /** The number of the code in RFC 9113. */
        @SuppressWarnings("EnumOrdinal") // The protocol numbers the codes in this order.
        int number() {
            return ordinal();
        }

        /** The code with the given number; throws if there is none. */
        @SuppressWarnings("EnumOrdinal") // As above.
        static ErrorCode ofNumber(int number) {
            return values()[number];
        }
    }

    static final byte[] PREFACE =
            "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    static final int FRAME_HEADER_BYTES = 9;
    static final int DEFAULT_MAX_FRAME_SIZE = 1 << 14;
    static final int LARGEST_MAX_FRAME_SIZE = (1 << 24) - 1;
    static final int DEFAULT_WINDOW = 65_535;
    static final long MAX_WINDOW = Integer.MAX_VALUE;
    static final int MAX_STREAM_ID = Integer.MAX_VALUE;

    private Http2Constants() {}
}

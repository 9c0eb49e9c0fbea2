package tinlink.http2;

import com.twitter.hpack.Decoder;
import com.twitter.hpack.Encoder;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Header lists to blocks and back (RFC 7541, by a library), both ways within bounds. Danger: a
 * small block that unfolds into a large list. The block is bounded before it is decoded, and the
 * list while it is.
 */
final class HeaderCodec {
    /** Compressed, over all frames of a block. */
    static final int MAX_BLOCK_BYTES = 16 << 10;
    /** As RFC 9113 counts: names, values and 32 for each. */
    static final int MAX_LIST_BYTES = 16 << 10;

    private static final int TABLE_BYTES = 4096;
    private static final byte SENTINEL = (byte) (0x80 | 61);
    private static final String SENTINEL_NAME = "www-authenticate";
    private static final Set<String> CONNECTION_SPECIFIC_FIELDS =
            Set.of("connection", "keep-alive", "proxy-connection", "transfer-encoding", "upgrade");
    private final Encoder encoder = new Encoder(TABLE_BYTES);
    private final Decoder decoder = new Decoder(MAX_LIST_BYTES, TABLE_BYTES);
    private final ByteArrayOutputStream sizeUpdate = new ByteArrayOutputStream();

    /** The other side keeps a table of so many bytes at most; announced with our next block. */
    void setMaxTableSize(long bytes) {
        try {
            encoder.setMaxHeaderTableSize(sizeUpdate, (int) Math.min(bytes, TABLE_BYTES));
        } catch (IOException e) {
            throw new UncheckedIOException(e); // It is written to memory.
        }
    }

    /** @param fields in order, pseudo fields first; names in lower case */
    byte[] encode(Map<String, String> fields) {
        try {
            ByteArrayOutputStream encoded = new ByteArrayOutputStream();
            sizeUpdate.writeTo(encoded);
            sizeUpdate.reset();
            for (Map.Entry<String, String> field : fields.entrySet()) {
                // Danger: what differs with each part, put into the table, pushes out what does
                // not.
                boolean neverIndexed = field.getKey().startsWith("x-part-")
                        || field.getKey().equals("idempotency-key")
                        || field.getKey().equals("content-length");
                encoder.encodeHeader(
                        encoded,
                        field.getKey().getBytes(StandardCharsets.US_ASCII),
                        field.getValue().getBytes(StandardCharsets.UTF_8),
                        neverIndexed);
            }
            return encoded.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * What a block held: its fields, and what makes the message malformed, null where nothing does.
     */
    static final class HeaderBlock {
        final Map<String, String> pseudoFields = new LinkedHashMap<>();
        final Map<String, String> fields = new LinkedHashMap<>();
        String malformedReason;
        int listBytes;

        private void add(String name, String value) {
            listBytes += name.length() + value.length() + 32;
            if (name.startsWith(":")) {
                if (!fields.isEmpty()
                        || !name.equals(":status")
                        || pseudoFields.put(name, value) != null) {
                    malformedReason = "a pseudo field " + name + " where none may be";
                }
            } else if (name.isEmpty()
                    || !name.chars().allMatch(HeaderCodec::isFieldNameChar)
                    || CONNECTION_SPECIFIC_FIELDS.contains(name)) {
                malformedReason = "a field that may not be";
            } else if (value.chars().anyMatch(c -> c == 0 || c == '\r' || c == '\n')
                    || !value.equals(value.strip())) {
                malformedReason = "a value that may not be";
            } else {
                fields.merge(name, value, (a, b) -> a + ", " + b);
            }
        }
    }

    private static boolean isFieldNameChar(int c) {
        return c > ' ' && c < 0x7f && c != ':' && (c < 'A' || c > 'Z');
    }

    /**
     * Danger: also a block that nobody waits for must be decoded, or the tables of both sides
     * differ after.
     */
    HeaderBlock decode(byte[] encoded) throws Http2Exception {
        HeaderBlock decoded = new HeaderBlock();
        // Danger: the library takes a block that stops in its middle for one that goes on. An entry
        // of the
        // static table behind it comes out as itself only where nothing was left open.
        byte[] withSentinel = Arrays.copyOf(encoded, encoded.length + 1);
        withSentinel[encoded.length] = SENTINEL;
        ByteArrayInputStream input = new ByteArrayInputStream(withSentinel);
        boolean[] sentinelSeen = new boolean[1];
        try {
            decoder.decode(input, (name, value, sensitive) -> {
                String fieldName = new String(name, StandardCharsets.ISO_8859_1);
                sentinelSeen[0] = input.available() == 0
                        && fieldName.equals(SENTINEL_NAME)
                        && value.length == 0;
                if (!sentinelSeen[0]) {
                    decoded.add(fieldName, new String(value, StandardCharsets.UTF_8));
                }
            });
            if (!sentinelSeen[0] && !decoder.endHeaderBlock()) {
                throw new IOException("cut short");
            }
        } catch (IOException | RuntimeException e) {
            throw new Http2Exception(
                    Http2Constants.ErrorCode.COMPRESSION_ERROR, "a block that can't be decoded");
        }
        if (!sentinelSeen[0] || decoder.endHeaderBlock() || decoded.listBytes > MAX_LIST_BYTES) {
            throw new Http2Exception(
                    Http2Constants.ErrorCode.ENHANCE_YOUR_CALM, "a header list that is too large");
        }
        return decoded;
    }
}

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
 * Encodes and decodes header blocks (RFC 7541, by a library). A small block can expand to a large
 * header list, so the size of the block is checked before it is decoded and the size of the list
 * is limited during decoding.
 */
final class HeaderCodec {
    /** The maximum compressed size of a block over all of its frames. */
    static final int MAX_BLOCK_BYTES = 16 << 10;
    /** The maximum size of a header list as RFC 9113 counts it: names, values and 32 bytes per field. */
    static final int MAX_LIST_BYTES = 16 << 10;

    /** The maximum size of the table of recurring fields, in each direction. */
    private static final int TABLE_BYTES = 4096;
    /** The encoded last entry of the static table: {@link #SENTINEL_NAME}, an empty value. */
    private static final byte SENTINEL = (byte) (0x80 | 61);

    private static final String SENTINEL_NAME = "www-authenticate";
    private static final Set<String> CONNECTION_SPECIFIC_FIELDS =
            Set.of("connection", "keep-alive", "proxy-connection", "transfer-encoding", "upgrade");
    private final Encoder encoder = new Encoder(TABLE_BYTES);
    private final Decoder decoder = new Decoder(MAX_LIST_BYTES, TABLE_BYTES);
    /** The encoded change of the table size, which the next block begins with; then emptied. */
    private final ByteArrayOutputStream sizeUpdate = new ByteArrayOutputStream();

    /** Applies the table size that the server allows; the next encoded block announces it. */
    void setMaxTableSize(long bytes) {
        try {
            encoder.setMaxHeaderTableSize(sizeUpdate, (int) Math.min(bytes, TABLE_BYTES));
        } catch (IOException e) {
            throw new UncheckedIOException(e); // Can't happen: the output is in memory.
        }
    }

    /** @param fields the fields in order, pseudo fields first, with names in lower case */
    byte[] encode(Map<String, String> fields) {
        try {
            ByteArrayOutputStream encoded = new ByteArrayOutputStream();
            sizeUpdate.writeTo(encoded);
            sizeUpdate.reset();
            for (Map.Entry<String, String> field : fields.entrySet()) {
                // Fields that differ for each part are never indexed: they would evict the
                // recurring fields from the table.
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

    /** The fields of a decoded block, and whether the message is malformed. */
    static final class HeaderBlock {
        final Map<String, String> pseudoFields = new LinkedHashMap<>();
        final Map<String, String> fields = new LinkedHashMap<>();
        /** The reason why the message is malformed; null if the message is well-formed. */
        String malformedReason;
        /** The size of the header list, as {@link #MAX_LIST_BYTES} limits it. */
        int listBytes;

        private void add(String name, String value) {
            listBytes += name.length() + value.length() + 32;
            if (name.startsWith(":")) {
                if (!fields.isEmpty()
                        || !name.equals(":status")
                        || pseudoFields.put(name, value) != null) {
                    malformedReason = "pseudo field not allowed here: " + name;
                }
            } else if (name.isEmpty()
                    || !name.chars().allMatch(HeaderCodec::isFieldNameChar)
                    || CONNECTION_SPECIFIC_FIELDS.contains(name)) {
                malformedReason = "field name not allowed: " + name;
            } else if (value.chars().anyMatch(c -> c == 0 || c == '\r' || c == '\n')
                    || !value.equals(value.strip())) {
                malformedReason = "invalid value of field " + name;
            } else {
                fields.merge(name, value, (a, b) -> a + ", " + b);
            }
        }
    }

    private static boolean isFieldNameChar(int c) {
        return c > ' ' && c < 0x7f && c != ':' && (c < 'A' || c > 'Z');
    }

    /**
     * Decodes a block. Blocks of cancelled streams must be decoded too: otherwise the tables of
     * client and server would differ afterwards.
     */
    HeaderBlock decode(byte[] encoded) throws Http2Exception {
        HeaderBlock decoded = new HeaderBlock();
        // The library doesn't report a truncated block, since it expects the rest to follow. The
        // appended sentinel, an entry of the static table, is decoded as itself only if the block
        // before it is complete.
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
                throw new IOException("truncated header block");
            }
        } catch (IOException | RuntimeException e) {
            throw new Http2Exception(
                    Http2Constants.ErrorCode.COMPRESSION_ERROR, "header block can't be decoded");
        }
        if (!sentinelSeen[0] || decoder.endHeaderBlock() || decoded.listBytes > MAX_LIST_BYTES) {
            throw new Http2Exception(
                    Http2Constants.ErrorCode.ENHANCE_YOUR_CALM,
                    "header list exceeds " + MAX_LIST_BYTES + " bytes");
        }
        return decoded;
    }
}

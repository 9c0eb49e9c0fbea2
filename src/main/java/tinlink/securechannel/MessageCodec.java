package tinlink.securechannel;

import tinlink.net.JsonReader;
import tinlink.net.MessageRejectedException;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * Encodes and decodes the fields of messages between routers. Numbers are big-endian. A text
 * consists of its length in bytes (1 byte, or 4 bytes for a long text) and its UTF-8 bytes. Reading
 * past the end of a buffer throws {@link java.nio.BufferUnderflowException}, which closes the
 * connection like a malformed message.
 */
public class MessageCodec {
    private static final int MAX_TEXT_BYTES = 255;
    /** HTTP status that the exception requires; connections between routers don't use it. */
    private static final int BAD_REQUEST = 400;

    /** For subclasses that define the messages of one protocol. */
    protected MessageCodec() {}

    /**
     * Reads a text of at most 255 bytes.
     *
     * @throws MessageRejectedException if it is not UTF-8 or exceeds the message
     */
    public static String readText(ByteBuffer buffer) throws MessageRejectedException {
        return decodeUtf8(slice(buffer, buffer.get() & 0xff));
    }

    /**
     * Reads a long text.
     *
     * @param maxLength maximum length in bytes
     * @throws MessageRejectedException if it is too long or not UTF-8, or exceeds the message
     */
    public static String readLongText(ByteBuffer buffer, int maxLength)
            throws MessageRejectedException {
        int length = buffer.getInt();
        if (length < 0 || length > maxLength) {
            throw malformed("text length " + length + " is not between 0 and " + maxLength);
        }
        return decodeUtf8(slice(buffer, length));
    }

    private static ByteBuffer slice(ByteBuffer buffer, int length) throws MessageRejectedException {
        if (length > buffer.remaining()) {
            throw malformed("text of " + length + " bytes exceeds the remaining "
                    + buffer.remaining() + " bytes of the message");
        }
        ByteBuffer slice = buffer.slice().limit(length);
        buffer.position(buffer.position() + length);
        return slice;
    }

    /**
     * Decodes all remaining bytes as UTF-8.
     *
     * @throws MessageRejectedException if they are not UTF-8
     */
    public static String decodeUtf8(ByteBuffer bytes) throws MessageRejectedException {
        try {
            return JsonReader.decodeUtf8(bytes);
        } catch (CharacterCodingException e) {
            throw malformed("text is not valid UTF-8");
        }
    }

    /**
     * Reads that many bytes.
     *
     * @throws MessageRejectedException if fewer bytes remain
     */
    public static byte[] readBytes(ByteBuffer buffer, int length) throws MessageRejectedException {
        if (length < 0 || length > buffer.remaining()) {
            throw malformed("field of " + length + " bytes exceeds the remaining "
                    + buffer.remaining() + " bytes of the message");
        }
        byte[] value = new byte[length];
        buffer.get(value);
        return value;
    }

    /** Returns the exception for a message that violates the protocol. */
    public static MessageRejectedException malformed(String problem) {
        return new MessageRejectedException(BAD_REQUEST, problem);
    }

    /** Builds a message field by field. The size of the message is not bounded. */
    public static final class Builder {
        private static final int INITIAL_BYTES = 128;

        private ByteBuffer buffer = ByteBuffer.allocate(INITIAL_BYTES);

        private ByteBuffer withRoomFor(int bytes) {
            if (buffer.remaining() < bytes) {
                buffer = ByteBuffer.allocate(2 * (buffer.position() + bytes)).put(buffer.flip());
            }
            return buffer;
        }

        /** Appends the lowest 8 bits. */
        public Builder putByte(int value) {
            withRoomFor(Byte.BYTES).put((byte) value);
            return this;
        }

        /** Appends the lowest 16 bits. */
        public Builder putShort(int value) {
            withRoomFor(Short.BYTES).putShort((short) value);
            return this;
        }

        /** Appends 32 bits. */
        public Builder putInt(int value) {
            withRoomFor(Integer.BYTES).putInt(value);
            return this;
        }

        /** Appends 64 bits. */
        public Builder putLong(long value) {
            withRoomFor(Long.BYTES).putLong(value);
            return this;
        }

        /**
         * Appends a text with a length of 1 byte.
         *
         * @throws IllegalArgumentException if it has more than 255 bytes of UTF-8
         */
        public Builder putText(String value) {
            byte[] encoded = value.getBytes(StandardCharsets.UTF_8);
            if (encoded.length > MAX_TEXT_BYTES) {
                throw new IllegalArgumentException("text has " + encoded.length
                        + " bytes of UTF-8, more than the maximum of " + MAX_TEXT_BYTES);
            }
            return putByte(encoded.length).putBytes(encoded);
        }

        /** Appends a text with a length of 4 bytes. */
        public Builder putLongText(String value) {
            byte[] encoded = value.getBytes(StandardCharsets.UTF_8);
            return putInt(encoded.length).putBytes(encoded);
        }

        /** Appends the bytes without a length. */
        public Builder putBytes(byte[] value) {
            withRoomFor(value.length).put(value);
            return this;
        }

        /** Returns the message. Must be called once, at the end. */
        public byte[] build() {
            byte[] message = new byte[buffer.position()];
            buffer.flip().get(message);
            return message;
        }
    }
}

package tinlink.securechannel;

import tinlink.net.JsonReader;
import tinlink.net.MessageRejectedException;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * The fields that messages between routers are made of. Numbers are big-endian; a text is its
 * length (1 byte, of a long text 4) and so many bytes of UTF-8. Reads past the end of a buffer
 * throw {@link java.nio.BufferUnderflowException}, which closes the connection as a malformed
 * message does.
 */
public class MessageCodec {
    private static final int MAX_TEXT_BYTES = 255;
    /** The status that a client would get; between routers it has no use. */
    private static final int BAD_REQUEST = 400;

    /** For subclasses that name the messages of one protocol. */
    protected MessageCodec() {}

    /**
     * Reads a text of at most 255 bytes.
     *
     * @throws MessageRejectedException where it is not UTF-8, or goes past the message's end
     */
    public static String readText(ByteBuffer buffer) throws MessageRejectedException {
        return decodeUtf8(slice(buffer, buffer.get() & 0xff));
    }

    /**
     * Reads a text of at most that many bytes.
     *
     * @throws MessageRejectedException where it has more, or as {@link #readText}
     */
    public static String readLongText(ByteBuffer buffer, int maxLength)
            throws MessageRejectedException {
        int length = buffer.getInt();
        if (length < 0 || length > maxLength) {
            throw malformed("a text of " + length + " bytes");
        }
        return decodeUtf8(slice(buffer, length));
    }

    private static ByteBuffer slice(ByteBuffer buffer, int length) throws MessageRejectedException {
        if (length > buffer.remaining()) {
            throw malformed("a text of " + length + " bytes past the message's end");
        }
        ByteBuffer slice = buffer.slice().limit(length);
        buffer.position(buffer.position() + length);
        return slice;
    }

    /**
     * Reads all of the bytes.
     *
     * @throws MessageRejectedException where they are not UTF-8
     */
    public static String decodeUtf8(ByteBuffer bytes) throws MessageRejectedException {
        try {
            return JsonReader.decodeUtf8(bytes);
        } catch (CharacterCodingException e) {
            throw malformed("a text that is not UTF-8");
        }
    }

    /**
     * Reads so many bytes.
     *
     * @throws MessageRejectedException where fewer are left
     */
    public static byte[] readBytes(ByteBuffer buffer, int length) throws MessageRejectedException {
        if (length < 0 || length > buffer.remaining()) {
            throw malformed("cut short: " + length + " bytes of " + buffer.remaining());
        }
        byte[] value = new byte[length];
        buffer.get(value);
        return value;
    }

    /** For a message that the protocol does not allow. */
    public static MessageRejectedException malformed(String problem) {
        return new MessageRejectedException(BAD_REQUEST, problem);
    }

    /** Builds a message, field by field. Grows as needed; bounds are the sender's own. */
    public static final class Builder {
        private static final int INITIAL_BYTES = 128;

        private ByteBuffer buffer = ByteBuffer.allocate(INITIAL_BYTES);

        private ByteBuffer withRoomFor(int bytes) {
            if (buffer.remaining() < bytes) {
                buffer = ByteBuffer.allocate(2 * (buffer.position() + bytes)).put(buffer.flip());
            }
            return buffer;
        }

        /** The lowest 8 bits. */
        public Builder putByte(int value) {
            withRoomFor(Byte.BYTES).put((byte) value);
            return this;
        }

        /** The lowest 16 bits. */
        public Builder putShort(int value) {
            withRoomFor(Short.BYTES).putShort((short) value);
            return this;
        }

        /** All 32 bits. */
        public Builder putInt(int value) {
            withRoomFor(Integer.BYTES).putInt(value);
            return this;
        }

        /** All 64 bits. */
        public Builder putLong(long value) {
            withRoomFor(Long.BYTES).putLong(value);
            return this;
        }

        /**
         * A text with its length of 1 byte.
         *
         * @throws IllegalArgumentException where it has more than 255 bytes of UTF-8
         */
        public Builder putText(String value) {
            byte[] encoded = value.getBytes(StandardCharsets.UTF_8);
            if (encoded.length > MAX_TEXT_BYTES) {
                throw new IllegalArgumentException("a text of " + encoded.length + " bytes");
            }
            return putByte(encoded.length).putBytes(encoded);
        }

        /** A text with its length of 4 bytes. */
        public Builder putLongText(String value) {
            byte[] encoded = value.getBytes(StandardCharsets.UTF_8);
            return putInt(encoded.length).putBytes(encoded);
        }

        /** As they are, without their length. */
        public Builder putBytes(byte[] value) {
            withRoomFor(value.length).put(value);
            return this;
        }

        /** The message. Called once, at the end. */
        public byte[] build() {
            byte[] message = new byte[buffer.position()];
            buffer.flip().get(message);
            return message;
        }
    }
}

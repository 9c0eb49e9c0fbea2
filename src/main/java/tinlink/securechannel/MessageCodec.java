package tinlink.securechannel;

import tinlink.net.JsonReader;
import tinlink.net.MessageRejectedException;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * What the messages between routers are made of. All numbers are big-endian; a text is a length of
 * one byte and so many bytes of UTF-8.
 */
public class MessageCodec {
    /** What each message ends with once both sides have proved themselves. */
    public static final int TAG_BYTES = 16;

    protected MessageCodec() {}

    public static String readText(ByteBuffer buffer) throws MessageRejectedException {
        return decodeUtf8(slice(buffer, buffer.get() & 0xff));
    }

    /** A text with a length of four bytes, up to that many. */
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
            throw malformed("a text past the message's end");
        }
        ByteBuffer slice = buffer.slice().limit(length);
        buffer.position(buffer.position() + length);
        return slice;
    }

    public static String decodeUtf8(ByteBuffer bytes) throws MessageRejectedException {
        try {
            return JsonReader.decodeUtf8(bytes);
        } catch (CharacterCodingException e) {
            throw malformed("a text that is not UTF-8");
        }
    }

    public static byte[] readBytes(ByteBuffer buffer, int length) throws MessageRejectedException {
        if (length < 0 || length > buffer.remaining()) {
            throw malformed("cut short");
        }
        byte[] value = new byte[length];
        buffer.get(value);
        return value;
    }

    public static MessageRejectedException malformed(String what) {
        return new MessageRejectedException(400, what);
    }

    /** A message in the making: bounded by what a message may hold. */
    public static final class Builder {
        private ByteBuffer buffer = ByteBuffer.allocate(128);

        private ByteBuffer ensureCapacity(int additionalBytes) {
            if (buffer.remaining() < additionalBytes) {
                buffer = ByteBuffer.allocate(2 * (buffer.position() + additionalBytes))
                        .put(buffer.flip());
            }
            return buffer;
        }

        public Builder putByte(int value) {
            ensureCapacity(1).put((byte) value);
            return this;
        }

        public Builder putShort(int value) {
            ensureCapacity(2).putShort((short) value);
            return this;
        }

        public Builder putInt(int value) {
            ensureCapacity(4).putInt(value);
            return this;
        }

        public Builder putLong(long value) {
            ensureCapacity(8).putLong(value);
            return this;
        }

        public Builder putText(String value) {
            byte[] encoded = value.getBytes(StandardCharsets.UTF_8);
            if (encoded.length > 255) {
                throw new IllegalArgumentException("a text of " + encoded.length + " bytes");
            }
            return putByte(encoded.length).putBytes(encoded);
        }

        public Builder putLongText(String value) {
            byte[] encoded = value.getBytes(StandardCharsets.UTF_8);
            return putInt(encoded.length).putBytes(encoded);
        }

        public Builder putBytes(byte[] value) {
            ensureCapacity(value.length).put(value);
            return this;
        }

        public byte[] build() {
            byte[] message = new byte[buffer.position()];
            buffer.flip().get(message);
            return message;
        }
    }
}

package tinlink.gateway;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import tinlink.net.BadMessage;
import tinlink.net.JsonReader;
import tinlink.net.Protocol;

/**
 * The messages between two routers of different sites; docs/protocol-gateway.md describes them byte by byte.
 * All numbers are big-endian; a text is a length of one byte and so many bytes of UTF-8. Durations alone
 * cross the line, no reading of a clock.
 */
final class Wire {
    static final int VERSION = 1;

    static final byte HELLO = 1;
    static final byte CHALLENGE = 2;
    static final byte PROOF = 3;
    static final byte PART = 4;
    static final byte GIVE_UP = 5;
    static final byte FATES = 6;
    static final byte PING = 7;
    static final byte PONG = 8;
    static final byte SAY = 9;
    static final byte WINDOW = 10;
    static final byte CELLS = 11;
    static final byte BYE = 12;

    static final int NONCE = 32;
    static final int PROOF_BYTES = 32;
    /** What each message ends with once both sides have proved themselves. */
    static final int SEAL_BYTES = 16;
    /** Before that, a message holds no more: whoever it is, it can't make us hold much. */
    static final int MOST_BEFORE = 1 << 10;
    static final int MOST = 1 + Protocol.MOST_HEAD + Protocol.MOST_BODY + SEAL_BYTES;
    static final int MOST_FATES = 4096;

    private Wire() {
    }

    static String text(ByteBuffer in) throws BadMessage {
        int length = in.get() & 0xff;
        if (length > in.remaining()) {
            throw bad("a text past the message's end");
        }
        ByteBuffer bytes = in.slice().limit(length);
        in.position(in.position() + length);
        return utf8(bytes);
    }

    static String utf8(ByteBuffer bytes) throws BadMessage {
        try {
            return JsonReader.utf8(bytes);
        } catch (CharacterCodingException e) {
            throw bad("a text that is not UTF-8");
        }
    }

    static byte[] bytes(ByteBuffer in, int length) throws BadMessage {
        if (length > in.remaining()) {
            throw bad("cut short");
        }
        byte[] b = new byte[length];
        in.get(b);
        return b;
    }

    static BadMessage bad(String what) {
        return new BadMessage(400, what);
    }

    /** A message in the making: bounded by what a message may hold. */
    static final class Out {
        private ByteBuffer b = ByteBuffer.allocate(128);

        private ByteBuffer room(int more) {
            if (b.remaining() < more) {
                b = ByteBuffer.allocate(2 * (b.position() + more)).put(b.flip());
            }
            return b;
        }

        Out byt(int v) {
            room(1).put((byte) v);
            return this;
        }

        Out two(int v) {
            room(2).putShort((short) v);
            return this;
        }

        Out four(int v) {
            room(4).putInt(v);
            return this;
        }

        Out eight(long v) {
            room(8).putLong(v);
            return this;
        }

        Out text(String s) {
            byte[] t = s.getBytes(StandardCharsets.UTF_8);
            if (t.length > 255) {
                throw new IllegalArgumentException("a text of " + t.length + " bytes");
            }
            return byt(t.length).bytes(t);
        }

        Out bytes(byte[] v) {
            room(v.length).put(v);
            return this;
        }

        byte[] made() {
            byte[] all = new byte[b.position()];
            b.flip().get(all);
            return all;
        }
    }
}

package tinlink.net;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * Generates requests that take much more memory than their bytes, from a seed: each is valid as far
 * as it goes, and within the limits of the protocol.
 */
public final class RequestShapes {
    /** A kind of body or head that is expensive in its own way. */
    public enum Shape {
        /** Lists of one element, up to the greatest depth. */
        NESTED_LISTS,
        /** A list of objects without members. */
        EMPTY_OBJECTS,
        /** A list of numbers of one digit. */
        NUMBERS,
        /** One object of many members. */
        MANY_NAMES,
        /** One object whose names have the same hash code. */
        COLLIDING_NAMES,
        /** Objects of one member with a long name. */
        LONG_NAMES,
        /** One string of escape sequences. */
        ESCAPES,
        /** Strings that need two bytes for each character. */
        WIDE_CHARACTERS,
        /** One long string. */
        LONG_TEXT,
        /** A head of many short fields. */
        MANY_FIELDS,
        /** A head with one field that has no end. */
        LONG_FIELD,
        /** A head with a long path. */
        LONG_PATH
    }

    private static final int BODY_BYTES = 65_000;
    private static final int HEAD_BYTES = 16_000;
    private static final int MAX_ELEMENT_BYTES = 600;
    private static final int MAX_NESTING = 14;

    private final SplittableRandom random;

    /** Creates a generator whose requests depend on the seed alone. */
    public RequestShapes(long seed) {
        random = new SplittableRandom(seed);
    }

    /** Returns any of the shapes. */
    public Shape anyShape() {
        return Shape.values()[random.nextInt(Shape.values().length)];
    }

    /** Returns a request of that shape that lacks its last byte. */
    public byte[] incompleteRequest(Shape shape) {
        String head = lookupHead();
        return switch (shape) {
            case MANY_FIELDS -> latin1(head + manyFields());
            case LONG_FIELD -> latin1(head + "A: " + "b".repeat(HEAD_BYTES - head.length()));
            case LONG_PATH -> latin1("POST /" + "p".repeat(HEAD_BYTES) + " HTTP/1.1\r\nA: ");
            default -> withBody(head, incompleteBody(shape, BODY_BYTES));
        };
    }

    private String lookupHead() {
        return "POST /api HTTP/1.1\r\nHost: a\r\nX-Call-Id: " + random.nextInt(1 << 30)
                + "\r\nX-Call-Class: find\r\nX-Budget-Ms: 3000\r\n";
    }

    private byte[] withBody(String head, String body) {
        byte[] content = body.getBytes(StandardCharsets.UTF_8);
        byte[] start = latin1(
                random.nextBoolean()
                        ? head + "Content-Length: " + (content.length + 1) + "\r\n\r\n"
                        : head + "Transfer-Encoding: chunked\r\n\r\n"
                                + Integer.toHexString(content.length + 1) + "\r\n");
        byte[] request = new byte[start.length + content.length];
        System.arraycopy(start, 0, request, 0, start.length);
        System.arraycopy(content, 0, request, start.length, content.length);
        return request;
    }

    /** Returns a whole request with a body of that shape, which is no lookup. */
    public byte[] requestOfWholeBody(Shape shape) {
        byte[] request = incompleteRequest(shape);
        byte[] end = latin1("!\r\n0\r\n\r\n"); // The last byte of the body, and the end of chunks.
        byte[] whole = Arrays.copyOf(request, request.length + end.length);
        System.arraycopy(end, 0, whole, request.length, end.length);
        return whole;
    }

    /** Returns a request whose body comes in chunks of one byte, and which lacks its end. */
    public byte[] requestInTinyChunks() {
        StringBuilder request = new StringBuilder(lookupHead());
        request.append("Transfer-Encoding: chunked\r\n\r\n");
        String body = incompleteBody(Shape.NUMBERS, BODY_BYTES);
        body.chars().forEach(c -> request.append("1\r\n").append((char) c).append("\r\n"));
        return latin1(request.toString());
    }

    /** Returns a lookup's body of that shape, of about that length, that lacks its end. */
    public String incompleteBody(Shape shape, int maxBytes) {
        StringBuilder body = new StringBuilder(
                "{\"segments\":[{\"segment\":0,\"boost\":1.0}],\"text\":\"t\",\"more\":");
        body.append(shape == Shape.MANY_NAMES || shape == Shape.COLLIDING_NAMES ? "{" : "[");
        boolean isText = shape == Shape.LONG_TEXT || shape == Shape.ESCAPES;
        body.append(isText ? "\"" : "");
        int length = body.length();
        for (int i = 0; length < maxBytes - MAX_ELEMENT_BYTES; i++) {
            String element = element(shape, i);
            length += element.getBytes(StandardCharsets.UTF_8).length;
            body.append(element);
        }
        return body.toString();
    }

    private String element(Shape shape, int index) {
        String comma = index == 0 ? "" : ",";
        int depth = random.nextInt(1, MAX_NESTING);
        return switch (shape) {
            case NESTED_LISTS -> comma + "[".repeat(depth) + "]".repeat(depth);
            case EMPTY_OBJECTS -> comma + "{}";
            case NUMBERS -> comma + random.nextInt(10);
            case MANY_NAMES -> comma + "\"" + Integer.toString(index, 36) + "\":[]";
            case COLLIDING_NAMES -> comma + "\"" + collidingName(index) + "\":0";
            case LONG_NAMES -> comma + "{\"" + "n".repeat(random.nextInt(1, 500)) + "\":0}";
            case ESCAPES -> "\\u00e9\\n";
            case WIDE_CHARACTERS -> comma + "\"" + "x".repeat(depth) + "\u20ac\"";
            default -> "x".repeat(depth);
        };
    }

    /** Returns one of 65,536 names with the same hash code. */
    private static String collidingName(int index) {
        StringBuilder name = new StringBuilder();
        for (int bit = 0; bit < Short.SIZE; bit++) {
            name.append((index >> bit & 1) == 0 ? "Aa" : "BB");
        }
        return name.toString();
    }

    private static String manyFields() {
        StringBuilder fields = new StringBuilder();
        for (int i = 0; fields.length() < HEAD_BYTES - 200; i++) {
            fields.append(Integer.toString(i, 36)).append(":\r\n");
        }
        return fields.toString();
    }

    private static byte[] latin1(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}

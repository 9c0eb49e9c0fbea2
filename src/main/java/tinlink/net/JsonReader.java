package tinlink.net;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Reads one JSON value, cut anywhere, into maps, lists, strings, doubles, booleans and null. A name
 * that comes twice in one object is refused, since two readers of it could differ.
 */
public final class JsonReader {
    private static final Pattern NUMBER =
            Pattern.compile("-?(0|[1-9][0-9]*)(\\.[0-9]+)?([eE][+-]?[0-9]+)?");
    private static final int MOST_DEPTH = 16;
    private static final Object NONE = new Object();

    private enum At {
        VALUE,
        VALUE_OR_END,
        NAME,
        NAME_OR_END,
        COLON,
        COMMA_OR_END,
        STRING,
        ESCAPE,
        HEX,
        WORD,
        DONE
    }

    private final ArrayDeque<Object> open = new ArrayDeque<>();
    private final ArrayDeque<String> names = new ArrayDeque<>();
    private final ByteArrayOutputStream text = new ByteArrayOutputStream();
    private At at = At.VALUE;
    private boolean name;
    private int hex;
    private int hexLeft;
    private int high;
    private Object value = NONE;

    public boolean empty() {
        return at == At.VALUE && open.isEmpty() && value == NONE;
    }

    /** The value is whole; only blanks may follow. */
    public boolean isOver() {
        return at == At.DONE || (at == At.WORD && open.isEmpty());
    }

    public void read(ByteBuffer piece) throws BadMessage {
        while (piece.hasRemaining()) {
            read(piece.get());
        }
    }

    public void read(byte b) throws BadMessage {
        switch (at) {
            case STRING -> string(b);
            case ESCAPE -> escape(b);
            case HEX -> hex(b);
            case WORD -> {
                if (b == ',' || b == ']' || b == '}' || blank(b)) {
                    word();
                    read(b);
                } else {
                    text.write(b);
                }
            }
            default -> {
                if (!blank(b)) {
                    mark(b);
                }
            }
        }
    }

    private static boolean blank(byte b) {
        return b == ' ' || b == '\n' || b == '\r' || b == '\t';
    }

    private void mark(byte b) throws BadMessage {
        if (at == At.COLON && b == ':') {
            at = At.VALUE;
        } else if (at == At.COMMA_OR_END && b == ',') {
            at = inside(Map.class) ? At.NAME : At.VALUE;
        } else if ((b == '}'
                        && (at == At.NAME_OR_END || (at == At.COMMA_OR_END && inside(Map.class))))
                || (b == ']'
                        && (at == At.VALUE_OR_END
                                || (at == At.COMMA_OR_END && inside(List.class))))) {
            done(open.pop());
        } else if (b == '"' && at != At.COLON && at != At.COMMA_OR_END && at != At.DONE) {
            name = at == At.NAME || at == At.NAME_OR_END;
            at = At.STRING;
        } else if ((at == At.VALUE || at == At.VALUE_OR_END) && ",:]}".indexOf(b) < 0) {
            if (b == '{' || b == '[') {
                if (open.size() == MOST_DEPTH) {
                    throw new BadMessage("JSON: too deep");
                }
                open.push(b == '{' ? new LinkedHashMap<String, Object>() : new ArrayList<Object>());
                at = b == '{' ? At.NAME_OR_END : At.VALUE_OR_END;
            } else {
                text.write(b);
                at = At.WORD;
            }
        } else {
            throw new BadMessage("JSON: '" + (char) (b & 0xff) + "' where it may not stand");
        }
    }

    private boolean inside(Class<?> kind) {
        return kind.isInstance(open.peek());
    }

    private void string(byte b) throws BadMessage {
        if (high != 0 && b != '\\') {
            throw new BadMessage("JSON: half a surrogate pair");
        }
        if (b == '"') {
            String s = taken();
            if (!name) {
                done(s);
            } else if (((Map<?, ?>) open.peek()).containsKey(s)) {
                throw new BadMessage("JSON: '" + s + "' twice in one object");
            } else {
                names.push(s);
                at = At.COLON;
            }
        } else if (b == '\\') {
            at = At.ESCAPE;
        } else if (b >= 0 && b < ' ') {
            throw new BadMessage("JSON: a control character in a string");
        } else {
            text.write(b);
        }
    }

    private void escape(byte b) throws BadMessage {
        int plain = "\"\\/bfnrt".indexOf(b);
        if (b == 'u') {
            hex = 0;
            hexLeft = 4;
            at = At.HEX;
        } else if (plain >= 0 && high == 0) {
            text.write("\"\\/\b\f\n\r\t".charAt(plain));
            at = At.STRING;
        } else {
            throw new BadMessage("JSON: an escape that does not exist");
        }
    }

    private void hex(byte b) throws BadMessage {
        int digit = Character.digit(b, 16);
        if (digit < 0) {
            throw new BadMessage("JSON: an escape that does not exist");
        }
        hex = 16 * hex + digit;
        if (--hexLeft > 0) {
            return;
        }
        char c = (char) hex;
        if (Character.isLowSurrogate(c) != (high != 0)) {
            throw new BadMessage("JSON: half a surrogate pair");
        }
        if (Character.isHighSurrogate(c)) {
            high = c;
        } else {
            String s = high == 0 ? String.valueOf(c) : new String(new char[] {(char) high, c});
            text.writeBytes(s.getBytes(StandardCharsets.UTF_8));
            high = 0;
        }
        at = At.STRING;
    }

    private String taken() throws BadMessage {
        try {
            String s = utf8(ByteBuffer.wrap(text.toByteArray()));
            text.reset();
            return s;
        } catch (CharacterCodingException e) {
            throw new BadMessage("JSON: a string is not UTF-8");
        }
    }

    public static String utf8(ByteBuffer bytes) throws CharacterCodingException {
        return StandardCharsets.UTF_8.newDecoder().decode(bytes).toString();
    }

    private void word() throws BadMessage {
        String s = taken();
        switch (s) {
            case "true" -> done(true);
            case "false" -> done(false);
            case "null" -> done(null);
            default -> {
                if (s.length() > 40 || !NUMBER.matcher(s).matches()) {
                    throw new BadMessage("JSON: neither a number nor a word");
                }
                done(Double.valueOf(s));
            }
        }
    }

    @SuppressWarnings("unchecked")
    private void done(Object v) {
        if (open.isEmpty()) {
            value = v;
            at = At.DONE;
        } else {
            if (inside(Map.class)) {
                ((Map<String, Object>) open.peek()).put(names.pop(), v);
            } else {
                ((List<Object>) open.peek()).add(v);
            }
            at = At.COMMA_OR_END;
        }
    }

    /** The value, once its last byte has been read. */
    public Object value() throws BadMessage {
        if (at == At.WORD && open.isEmpty()) {
            word();
        }
        if (at != At.DONE) {
            throw new BadMessage("JSON: it ends too soon");
        }
        return value;
    }

    public static Object of(String text) throws BadMessage {
        JsonReader r = new JsonReader();
        r.read(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
        return r.value();
    }

    /** The text as a JSON string, with its quotes. */
    public static void quote(StringBuilder to, String text) {
        to.append('"');
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '"' || c == '\\') {
                to.append('\\').append(c);
            } else if (c < ' ') {
                to.append(String.format("\\u%04x", (int) c));
            } else {
                to.append(c);
            }
        }
        to.append('"');
    }
}

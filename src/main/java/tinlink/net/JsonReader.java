package tinlink.net;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Parses one JSON value incrementally into maps, lists, strings, doubles, booleans and null; the
 * input may be split at any byte. A name that occurs twice in one object is rejected, since two
 * parsers could interpret the object differently.
 */
public final class JsonReader {
    private static final Pattern NUMBER =
            Pattern.compile("-?(0|[1-9][0-9]*)(\\.[0-9]+)?([eE][+-]?[0-9]+)?");

    private static final int MAX_NUMBER_LENGTH = 40;
    /** Whole numbers of so many digits are exact as a double. */
    private static final int MAX_EXACT_DIGITS = 15;

    private static final int MAX_DEPTH = 16;
    private static final Object NONE = new Object();
    /** The initial capacity of the text buffer, which doubles when it is full. */
    private static final int MIN_TEXT_BYTES = 32;

    private enum State {
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

    private final ArrayDeque<Object> openContainers = new ArrayDeque<>();
    private final ArrayDeque<String> pendingNames = new ArrayDeque<>();
    private final HeapCharge heapCharge;
    /** The string or the word that is being read, in UTF-8. */
    private byte[] text = new byte[MIN_TEXT_BYTES];

    private int textLength;
    /** Whether all bytes of the text are ASCII. */
    private boolean isTextAscii = true;

    private State state = State.VALUE;
    private boolean isReadingName;
    private int codeUnit;
    private int hexDigitsLeft;
    private int highSurrogate;
    private Object value = NONE;

    /** @param heapCharge accounts for the parsed objects */
    public JsonReader(HeapCharge heapCharge) {
        this.heapCharge = heapCharge;
    }

    /** Returns whether nothing but white space has been read. */
    public boolean isEmpty() {
        return state == State.VALUE && openContainers.isEmpty() && value == NONE;
    }

    /** The value is complete; only white space may follow. */
    public boolean isComplete() {
        return state == State.DONE || (state == State.WORD && openContainers.isEmpty());
    }

    public void read(ByteBuffer bytes) throws MessageRejectedException {
        while (bytes.hasRemaining()) {
            read(bytes.get());
        }
    }

    public void read(byte b) throws MessageRejectedException {
        switch (state) {
            case STRING -> readStringByte(b);
            case ESCAPE -> readEscape(b);
            case HEX -> readHexDigit(b);
            case WORD -> {
                if (b == ',' || b == ']' || b == '}' || isWhitespace(b)) {
                    endWord();
                    read(b);
                } else {
                    appendText(b);
                }
            }
            default -> {
                if (!isWhitespace(b)) {
                    readStructural(b);
                }
            }
        }
    }

    private static boolean isWhitespace(byte b) {
        return b == ' ' || b == '\n' || b == '\r' || b == '\t';
    }

    private void readStructural(byte b) throws MessageRejectedException {
        if (state == State.COLON && b == ':') {
            state = State.VALUE;
        } else if (state == State.COMMA_OR_END && b == ',') {
            state = isInsideObject() ? State.NAME : State.VALUE;
        } else if ((b == '}'
                        && (state == State.NAME_OR_END
                                || (state == State.COMMA_OR_END && isInsideObject())))
                || (b == ']'
                        && (state == State.VALUE_OR_END
                                || (state == State.COMMA_OR_END && isInsideList())))) {
            completeValue(openContainers.pop());
        } else if (b == '"'
                && state != State.COLON
                && state != State.COMMA_OR_END
                && state != State.DONE) {
            isReadingName = state == State.NAME || state == State.NAME_OR_END;
            state = State.STRING;
        } else if ((state == State.VALUE || state == State.VALUE_OR_END) && ",:]}".indexOf(b) < 0) {
            if (b == '{' || b == '[') {
                if (openContainers.size() == MAX_DEPTH) {
                    throw new MessageRejectedException("JSON: too deep");
                }
                openContainer(b);
                state = b == '{' ? State.NAME_OR_END : State.VALUE_OR_END;
            } else {
                appendText(b);
                state = State.WORD;
            }
        } else {
            throw new MessageRejectedException(
                    "JSON: '" + (char) (b & 0xff) + "' where it may not stand");
        }
    }

    private void openContainer(byte bracket) throws MessageRejectedException {
        if (bracket == '{') {
            heapCharge.add(ObjectSizes.EMPTY_MAP);
            openContainers.push(new LinkedHashMap<String, Object>());
        } else {
            heapCharge.add(ObjectSizes.EMPTY_LIST);
            openContainers.push(new ArrayList<Object>());
        }
    }

    private boolean isInsideObject() {
        return openContainers.peek() instanceof Map;
    }

    private boolean isInsideList() {
        return openContainers.peek() instanceof List;
    }

    private void readStringByte(byte b) throws MessageRejectedException {
        if (highSurrogate != 0 && b != '\\') {
            throw new MessageRejectedException("JSON: half a surrogate pair");
        }
        if (b == '"') {
            int utf8Bytes = textLength;
            String s = takeText();
            heapCharge.add(ObjectSizes.decodedString(s, utf8Bytes));
            if (!isReadingName) {
                completeValue(s);
            } else if (((Map<?, ?>) openContainers.peek()).containsKey(s)) {
                throw new MessageRejectedException("JSON: '" + s + "' twice in one object");
            } else {
                pendingNames.push(s);
                state = State.COLON;
            }
        } else if (b == '\\') {
            state = State.ESCAPE;
        } else if (b >= 0 && b < ' ') {
            throw new MessageRejectedException("JSON: a control character in a string");
        } else {
            appendText(b);
        }
    }

    private void appendText(byte b) throws MessageRejectedException {
        if (textLength == text.length) {
            heapCharge.add(text.length);
            text = Arrays.copyOf(text, 2 * text.length);
        }
        isTextAscii &= b >= 0;
        text[textLength++] = b;
    }

    private void readEscape(byte b) throws MessageRejectedException {
        int plain = "\"\\/bfnrt".indexOf(b);
        if (b == 'u') {
            codeUnit = 0;
            hexDigitsLeft = 4;
            state = State.HEX;
        } else if (plain >= 0 && highSurrogate == 0) {
            appendText((byte) "\"\\/\b\f\n\r\t".charAt(plain));
            state = State.STRING;
        } else {
            throw new MessageRejectedException("JSON: an escape that does not exist");
        }
    }

    private void readHexDigit(byte b) throws MessageRejectedException {
        int digit = Character.digit(b, 16);
        if (digit < 0) {
            throw new MessageRejectedException("JSON: an escape that does not exist");
        }
        codeUnit = 16 * codeUnit + digit;
        if (--hexDigitsLeft > 0) {
            return;
        }
        char c = (char) codeUnit;
        if (Character.isLowSurrogate(c) != (highSurrogate != 0)) {
            throw new MessageRejectedException("JSON: half a surrogate pair");
        }
        if (Character.isHighSurrogate(c)) {
            highSurrogate = c;
        } else {
            String s = highSurrogate == 0
                    ? String.valueOf(c)
                    : new String(new char[] {(char) highSurrogate, c});
            for (byte utf8Byte : s.getBytes(StandardCharsets.UTF_8)) {
                appendText(utf8Byte);
            }
            highSurrogate = 0;
        }
        state = State.STRING;
    }

    private String takeText() throws MessageRejectedException {
        try {
            return isTextAscii
                    ? new String(text, 0, textLength, StandardCharsets.ISO_8859_1)
                    : decodeUtf8(ByteBuffer.wrap(text, 0, textLength));
        } catch (CharacterCodingException e) {
            throw new MessageRejectedException("JSON: a string is not UTF-8");
        } finally {
            textLength = 0;
            isTextAscii = true;
        }
    }

    public static String decodeUtf8(ByteBuffer bytes) throws CharacterCodingException {
        return StandardCharsets.UTF_8.newDecoder().decode(bytes).toString();
    }

    private void endWord() throws MessageRejectedException {
        String s = takeText();
        switch (s) {
            case "true" -> completeValue(true);
            case "false" -> completeValue(false);
            case "null" -> completeValue(null);
            default -> {
                heapCharge.add(ObjectSizes.NUMBER);
                completeValue(numberOf(s));
            }
        }
    }

    private static Double numberOf(String word) throws MessageRejectedException {
        if (isShortWholeNumber(word)) {
            return (double) Long.parseLong(word);
        }
        if (word.length() > MAX_NUMBER_LENGTH || !NUMBER.matcher(word).matches()) {
            throw new MessageRejectedException("JSON: neither a number nor a word");
        }
        return Double.valueOf(word);
    }

    /** Whether the word is a number of digits alone that is exact as a double; most numbers are. */
    private static boolean isShortWholeNumber(String word) {
        if (word.length() > MAX_EXACT_DIGITS || (word.charAt(0) == '0' && word.length() > 1)) {
            return false;
        }
        for (int i = 0; i < word.length(); i++) {
            if (word.charAt(i) < '0' || word.charAt(i) > '9') {
                return false;
            }
        }
        return true;
    }

    @SuppressWarnings("unchecked")
    private void completeValue(Object completed) throws MessageRejectedException {
        if (openContainers.isEmpty()) {
            value = completed;
            state = State.DONE;
        } else {
            if (openContainers.peek() instanceof Map<?, ?> map) {
                heapCharge.add(ObjectSizes.ENTRY + (map.isEmpty() ? ObjectSizes.FIRST_ENTRY : 0));
                ((Map<String, Object>) map).put(pendingNames.pop(), completed);
            } else {
                List<Object> list = (List<Object>) openContainers.peek();
                heapCharge.add(
                        ObjectSizes.ELEMENT + (list.isEmpty() ? ObjectSizes.FIRST_ELEMENT : 0));
                list.add(completed);
            }
            state = State.COMMA_OR_END;
        }
    }

    /** Returns the value once its last byte has been read. */
    public Object value() throws MessageRejectedException {
        if (state == State.WORD && openContainers.isEmpty()) {
            endWord();
        }
        if (state != State.DONE) {
            throw new MessageRejectedException("JSON: it ends too soon");
        }
        return value;
    }

    /** Parses a trusted text, such as that of a configuration file. */
    public static Object parse(String text) throws MessageRejectedException {
        JsonReader reader = new JsonReader(HeapCharge.UNLIMITED);
        reader.read(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
        return reader.value();
    }

    /** Appends the text as a JSON string, with quotes. */
    public static void appendQuoted(StringBuilder target, String text) {
        target.append('"');
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '"' || c == '\\') {
                target.append('\\').append(c);
            } else if (c < ' ') {
                target.append(String.format("\\u%04x", (int) c));
            } else {
                target.append(c);
            }
        }
        target.append('"');
    }
}

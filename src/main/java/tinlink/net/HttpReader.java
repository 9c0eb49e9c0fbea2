package tinlink.net;

import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Parses a sequence of HTTP/1.1 requests or responses incrementally; the input may be split at any
 * byte.
 */
public final class HttpReader {
    /**
     * Receives the elements of a message in order; elements without an overridden method are
     * ignored.
     */
    public interface MessageListener {
        /** Called with the three fields of the start line; the last may contain spaces. */
        default void startLine(String first, String second, String third)
                throws MessageRejectedException {}

        /** Called for each header field; the name is in lower case. */
        default void header(String name, String value) throws MessageRejectedException {}

        /** Called when all header fields have been read; a body may follow. */
        default void headersEnded() throws MessageRejectedException {}

        default void body(ByteBuffer piece) throws MessageRejectedException {}

        void messageEnded() throws MessageRejectedException;
    }

    private enum State {
        START_LINE,
        HEADERS,
        BODY,
        BODY_TO_CLOSE,
        CHUNK_SIZE,
        CHUNK_DATA,
        CHUNK_END,
        TRAILERS
    }

    /** A line buffer of a larger capacity is not kept after the message, in bytes. */
    private static final int MAX_KEPT_LINE_BYTES = 512;

    private static final Set<String> VERSIONS = Set.of("HTTP/1.0", "HTTP/1.1");
    private static final Pattern LENGTH_PATTERN = Pattern.compile("[0-9]{1,18}");
    private static final int MAX_CHUNK_SIZE_DIGITS = 8;
    private final MessageListener listener;
    private final boolean readsResponses;
    private final long maxBodyBytes;
    /** The line being read, one byte per character. */
    private StringBuilder lineBuffer = new StringBuilder();

    private State state = State.START_LINE;
    private boolean carriageReturnSeen;
    private int headBytes;
    private long length;
    private boolean lengthGiven;
    private boolean chunked;
    private long remainingBytes;
    private long chunkedBytes;
    private boolean messageEnded;

    private HttpReader(MessageListener listener, boolean readsResponses, long maxBodyBytes) {
        this.listener = listener;
        this.readsResponses = readsResponses;
        this.maxBodyBytes = maxBodyBytes;
    }

    public static HttpReader forRequests(MessageListener listener) {
        return new HttpReader(listener, false, ProtocolLimits.MAX_BODY_BYTES);
    }

    /** Creates a reader of responses whose body may be unbounded, like that of a watch. */
    public static HttpReader forResponses(MessageListener listener) {
        return new HttpReader(listener, true, Long.MAX_VALUE);
    }

    /** Returns whether no byte of the next message has been read. */
    public boolean isAtBoundary() {
        return state == State.START_LINE && lineBuffer.length() == 0;
    }

    /** Returns the heap that the buffer of the current line takes, in bytes. */
    public long bufferedBytes() {
        return ObjectSizes.byteArray(lineBuffer.capacity());
    }

    /** Parses until one message has ended or the buffer is empty. */
    public void read(RingBuffer in) throws MessageRejectedException {
        messageEnded = false;
        while (!messageEnded && in.size() > 0) {
            if (state == State.BODY || state == State.BODY_TO_CLOSE || state == State.CHUNK_DATA) {
                readBody(in);
            } else {
                readHeadByte(in.take());
            }
        }
    }

    private void readBody(RingBuffer in) throws MessageRejectedException {
        ByteBuffer piece = in.takeContiguous((int) Math.min(Integer.MAX_VALUE, remainingBytes));
        remainingBytes -= state == State.BODY_TO_CLOSE ? 0 : piece.remaining();
        listener.body(piece);
        if (remainingBytes == 0) {
            if (state == State.BODY) {
                endMessage();
            } else {
                state = State.CHUNK_END;
            }
        }
    }

    private void readHeadByte(byte b) throws MessageRejectedException {
        if (++headBytes > ProtocolLimits.MAX_HEAD_BYTES) {
            throw new MessageRejectedException(431, headLimitText());
        }
        if (b == '\n') {
            String completed = lineBuffer.toString();
            lineBuffer.setLength(0);
            carriageReturnSeen = false;
            endLine(completed);
            return;
        }
        if (carriageReturnSeen || (b < ' ' && b != '\r' && b != '\t') || b == 0x7f) {
            throw new MessageRejectedException("a control character in the head");
        }
        if (b == '\r') {
            carriageReturnSeen = true;
        } else {
            lineBuffer.append((char) (b & 0xff));
        }
    }

    private String headLimitText() {
        boolean isChunkLine = state == State.CHUNK_SIZE || state == State.CHUNK_END;
        return isChunkLine ? "the lines between the chunks are too long" : "the head is too long";
    }

    private void endLine(String text) throws MessageRejectedException {
        switch (state) {
            case START_LINE -> {
                if (!text.isEmpty()) { // Empty lines before a request are passed over.
                    readStartLine(text);
                }
            }
            case HEADERS -> {
                if (text.isEmpty()) {
                    endHeaders();
                } else {
                    readHeader(text);
                }
            }
            case CHUNK_SIZE -> readChunkSize(text);
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new MessageRejectedException("a chunk is longer than it says");
                }
                state = State.CHUNK_SIZE;
                if (readsResponses) {
                    headBytes = 0;
                }
            }
            default -> {
                if (text.isEmpty()) {
                    endMessage();
                }
            }
        }
    }

    private void readStartLine(String text) throws MessageRejectedException {
        int firstSpace = text.indexOf(' ');
        int secondSpace = firstSpace < 0 ? -1 : text.indexOf(' ', firstSpace + 1);
        String first = firstSpace < 0 ? "" : text.substring(0, firstSpace);
        String third = secondSpace < 0 ? "" : text.substring(secondSpace + 1);
        String version = readsResponses ? first : third;
        if (first.isEmpty()
                || (secondSpace < 0 && !readsResponses)
                || !VERSIONS.contains(version)) {
            throw new MessageRejectedException("the first line is not of HTTP/1.1");
        }
        state = State.HEADERS;
        length = 0;
        lengthGiven = false;
        chunked = false;
        chunkedBytes = 0;
        listener.startLine(
                first,
                secondSpace < 0
                        ? text.substring(firstSpace + 1)
                        : text.substring(firstSpace + 1, secondSpace),
                third);
    }

    private void readHeader(String text) throws MessageRejectedException {
        int colon = text.indexOf(':');
        if (colon <= 0
                || text.charAt(0) == ' '
                || text.charAt(0) == '\t'
                || text.charAt(colon - 1) == ' ') {
            throw new MessageRejectedException("a field has no name");
        }
        String name = text.substring(0, colon).toLowerCase(Locale.ROOT);
        String value = text.substring(colon + 1).strip();
        if (name.equals("content-length")) {
            if (!LENGTH_PATTERN.matcher(value).matches()
                    || (lengthGiven && length != Long.parseLong(value))) {
                throw new MessageRejectedException("Content-Length is no length");
            }
            length = Long.parseLong(value);
            lengthGiven = true;
        } else if (name.equals("transfer-encoding")) {
            if (!value.equalsIgnoreCase("chunked") || chunked) {
                throw new MessageRejectedException("Transfer-Encoding is not chunked");
            }
            chunked = true;
        }
        listener.header(name, value);
    }

    private void endHeaders() throws MessageRejectedException {
        if (chunked && lengthGiven) {
            throw new MessageRejectedException("Content-Length and Transfer-Encoding together");
        }
        if (length > maxBodyBytes) {
            throw new MessageRejectedException(413, "the body is too long");
        }
        listener.headersEnded();
        headBytes = 0;
        if (chunked) {
            state = State.CHUNK_SIZE;
        } else if (readsResponses && !lengthGiven) {
            state = State.BODY_TO_CLOSE;
            remainingBytes = Long.MAX_VALUE;
        } else if (length > 0) {
            state = State.BODY;
            remainingBytes = length;
        } else {
            endMessage();
        }
    }

    private void readChunkSize(String text) throws MessageRejectedException {
        int end = text.indexOf(';');
        String hex = (end < 0 ? text : text.substring(0, end)).strip();
        remainingBytes = parseHex(hex);
        chunkedBytes += remainingBytes;
        if (chunkedBytes > maxBodyBytes) {
            throw new MessageRejectedException(413, "the body is too long");
        }
        state = remainingBytes == 0 ? State.TRAILERS : State.CHUNK_DATA;
        if (readsResponses || state == State.TRAILERS) {
            headBytes = 0;
        }
    }

    private static long parseHex(String digits) throws MessageRejectedException {
        long number = 0;
        for (int i = 0; i < digits.length(); i++) {
            char character = digits.charAt(i);
            int digit = character < 0x80 ? Character.digit(character, 16) : -1;
            if (digit < 0 || i == MAX_CHUNK_SIZE_DIGITS) {
                throw new MessageRejectedException("a chunk has no size");
            }
            number = 16 * number + digit;
        }
        if (digits.isEmpty()) {
            throw new MessageRejectedException("a chunk has no size");
        }
        return number;
    }

    private void endMessage() throws MessageRejectedException {
        state = State.START_LINE;
        headBytes = 0;
        if (lineBuffer.capacity() > MAX_KEPT_LINE_BYTES) {
            lineBuffer = new StringBuilder();
        }
        messageEnded = true;
        listener.messageEnded();
    }
}

package tinlink.net;

import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Pattern;

/** Reads HTTP/1.1 requests or answers, cut anywhere, one after another. */
public final class HttpReader {
    /** What hears the pieces of a message, in order; what it does not take means nothing to it. */
    public interface Sink {
        /** The three words of the first line; the last may hold spaces. */
        default void first(String one, String two, String three) throws BadMessage {}

        /** The name is in lower case. */
        default void field(String name, String value) throws BadMessage {}

        /** All fields are in, a body may follow. */
        default void headOver() throws BadMessage {}

        default void body(ByteBuffer piece) throws BadMessage {}

        void over() throws BadMessage;
    }

    private enum At {
        FIRST,
        FIELDS,
        BODY,
        TO_END,
        SIZE,
        CHUNK,
        CHUNK_END,
        TRAILERS
    }

    private static final Set<String> VERSIONS = Set.of("HTTP/1.0", "HTTP/1.1");
    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");
    private static final Pattern SIZE = Pattern.compile("[0-9a-fA-F]{1,8}");
    private final Sink sink;
    private final boolean answers;
    private final long mostBody;
    private final StringBuilder line = new StringBuilder();
    private At at = At.FIRST;
    private boolean cr;
    private int head;
    private long length;
    private boolean lengthGiven;
    private boolean chunked;
    private long left;
    private long total;
    private boolean over;

    private HttpReader(Sink sink, boolean answers, long mostBody) {
        this.sink = sink;
        this.answers = answers;
        this.mostBody = mostBody;
    }

    public static HttpReader ofRequests(Sink sink) {
        return new HttpReader(sink, false, Protocol.MOST_BODY);
    }

    /** Answers whose body may go on for ever, as that of a watch does. */
    public static HttpReader ofAnswers(Sink sink) {
        return new HttpReader(sink, true, Long.MAX_VALUE);
    }

    /** Between messages: nothing of the next one has come. */
    public boolean between() {
        return at == At.FIRST && line.length() == 0;
    }

    /** Reads until one message is over or nothing is left. */
    public void read(Ring in) throws BadMessage {
        over = false;
        while (!over && in.size() > 0) {
            if (at == At.BODY || at == At.TO_END || at == At.CHUNK) {
                piece(in);
            } else {
                letter(in.take());
            }
        }
    }

    private void piece(Ring in) throws BadMessage {
        ByteBuffer run = in.takeRun((int) Math.min(Integer.MAX_VALUE, left));
        left -= at == At.TO_END ? 0 : run.remaining();
        sink.body(run);
        if (left == 0) {
            if (at == At.BODY) {
                finish();
            } else {
                at = At.CHUNK_END;
            }
        }
    }

    private void letter(byte b) throws BadMessage {
        if (++head > Protocol.MOST_HEAD) {
            throw new BadMessage(431, "the head is too long");
        }
        if (b == '\n') {
            String whole = line.toString();
            line.setLength(0);
            cr = false;
            line(whole);
            return;
        }
        if (cr || (b < ' ' && b != '\r' && b != '\t') || b == 0x7f) {
            throw new BadMessage("a control character in the head");
        }
        if (b == '\r') {
            cr = true;
        } else {
            line.append((char) (b & 0xff));
        }
    }

    private void line(String text) throws BadMessage {
        switch (at) {
            case FIRST -> {
                if (!text.isEmpty()) { // Empty lines before a request are passed over.
                    first(text);
                }
            }
            case FIELDS -> {
                if (text.isEmpty()) {
                    headOver();
                } else {
                    field(text);
                }
            }
            case SIZE -> size(text);
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new BadMessage("a chunk is longer than it says");
                }
                at = At.SIZE;
                head = 0;
            }
            default -> {
                if (text.isEmpty()) {
                    finish();
                }
            }
        }
    }

    private void first(String text) throws BadMessage {
        int one = text.indexOf(' ');
        int two = one < 0 ? -1 : text.indexOf(' ', one + 1);
        String first = one < 0 ? "" : text.substring(0, one);
        String third = two < 0 ? "" : text.substring(two + 1);
        String version = answers ? first : third;
        if (first.isEmpty() || (two < 0 && !answers) || !VERSIONS.contains(version)) {
            throw new BadMessage("the first line is not of HTTP/1.1");
        }
        at = At.FIELDS;
        length = 0;
        lengthGiven = false;
        chunked = false;
        total = 0;
        sink.first(first, two < 0 ? text.substring(one + 1) : text.substring(one + 1, two), third);
    }

    private void field(String text) throws BadMessage {
        int colon = text.indexOf(':');
        if (colon <= 0
                || text.charAt(0) == ' '
                || text.charAt(0) == '\t'
                || text.charAt(colon - 1) == ' ') {
            throw new BadMessage("a field has no name");
        }
        String name = text.substring(0, colon).toLowerCase(Locale.ROOT);
        String value = text.substring(colon + 1).strip();
        if (name.equals("content-length")) {
            if (!LENGTH.matcher(value).matches()
                    || (lengthGiven && length != Long.parseLong(value))) {
                throw new BadMessage("Content-Length is no length");
            }
            length = Long.parseLong(value);
            lengthGiven = true;
        } else if (name.equals("transfer-encoding")) {
            if (!value.equalsIgnoreCase("chunked") || chunked) {
                throw new BadMessage("Transfer-Encoding is not chunked");
            }
            chunked = true;
        }
        sink.field(name, value);
    }

    private void headOver() throws BadMessage {
        if (chunked && lengthGiven) {
            throw new BadMessage("Content-Length and Transfer-Encoding together");
        }
        if (length > mostBody) {
            throw new BadMessage(413, "the body is too long");
        }
        sink.headOver();
        head = 0;
        if (chunked) {
            at = At.SIZE;
        } else if (answers && !lengthGiven) {
            at = At.TO_END;
            left = Long.MAX_VALUE;
        } else if (length > 0) {
            at = At.BODY;
            left = length;
        } else {
            finish();
        }
    }

    private void size(String text) throws BadMessage {
        int end = text.indexOf(';');
        String hex = (end < 0 ? text : text.substring(0, end)).strip();
        if (!SIZE.matcher(hex).matches()) {
            throw new BadMessage("a chunk has no size");
        }
        left = Long.parseLong(hex, 16);
        total += left;
        if (total > mostBody) {
            throw new BadMessage(413, "the body is too long");
        }
        head = 0;
        at = left == 0 ? At.TRAILERS : At.CHUNK;
    }

    private void finish() throws BadMessage {
        at = At.FIRST;
        head = 0;
        over = true;
        sink.over();
    }
}

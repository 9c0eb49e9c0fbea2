package tinlink.net;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.regex.Pattern;

/** Reads the frames of a data node, cut anywhere. */
public final class FrameReader {
    /** What hears the frames. */
    public interface Sink {
        /** The line of an answer has come; its value may still be on the way. */
        void begins(String id) throws BadMessage;

        /**
         * The end of one part: OK, ERROR or REJECTED; its report, null where there is none; its
         * value.
         */
        void ended(String id, String end, String report, String value) throws BadMessage;

        /** The frame before could not be used. */
        void rejected(String words);
    }

    private static final Set<String> ENDS = Set.of("OK", "ERROR", "REJECTED");
    private static final Pattern SCORE = Pattern.compile("-|-?[0-9]{1,20}");
    private final Sink sink;
    private int head;
    private int length;
    private ByteBuffer frame;
    /** The line of the answer that is coming, once it is whole. */
    private String[] line;

    public FrameReader(Sink sink) {
        this.sink = sink;
    }

    /** Nothing of a next frame has come. */
    public boolean between() {
        return head == 0;
    }

    public void read(Ring in) throws BadMessage {
        while (in.size() > 0) {
            if (head < 4) {
                length = length << 8 | (in.take() & 0xff);
                head++;
                if (head == 4) {
                    if (length < 1 || length > 1 + Protocol.MOST_HEAD + Protocol.MOST_BODY) {
                        throw new BadMessage("a frame of length " + length);
                    }
                    frame = ByteBuffer.allocate(length);
                }
            } else {
                int from = frame.position();
                frame.put(in.takeRun(frame.remaining()));
                begun(from);
                if (!frame.hasRemaining()) {
                    ByteBuffer whole = frame.flip();
                    String[] words = line;
                    head = 0;
                    length = 0;
                    frame = null;
                    line = null;
                    whole(whole, words);
                }
            }
        }
    }

    /**
     * Danger: a frame that lies about its length swallows the answers behind it; what can be told
     * is told now.
     */
    private void begun(int from) throws BadMessage {
        byte letter = frame.get(0);
        if ("YNGT".indexOf(letter) < 0) {
            throw new BadMessage("a frame of unknown letter " + (letter & 0xff));
        }
        for (int at = from; letter == 'Y' && line == null && at < frame.position(); at++) {
            if (frame.get(at) == '\n') {
                // Danger: a report that can't be read spoils nothing; it may hold anything but the
                // line's end.
                String[] words = new String(frame.array(), 1, at - 1, StandardCharsets.ISO_8859_1)
                        .split(" ", 4);
                if (words.length != 4
                        || words[0].isEmpty()
                        || !ENDS.contains(words[1])
                        || !SCORE.matcher(words[2]).matches()) {
                    throw new BadMessage("a Y frame with a garbled line");
                }
                line = words;
                sink.begins(words[0]);
            } else if (at > Protocol.MOST_HEAD || at == length - 1) {
                throw new BadMessage("a Y frame without its line");
            }
        }
    }

    private void whole(ByteBuffer f, String[] words) throws BadMessage {
        switch (f.get()) {
            case 'Y' -> {
                while (f.get() != '\n') {
                    // The line has been read as it came.
                }
                if (f.remaining() > Protocol.MOST_BODY) {
                    throw new BadMessage("a value too long");
                }
                sink.ended(words[0], words[1], words[3].equals("-") ? null : words[3], utf8(f));
            }
            case 'N' -> sink.rejected(StandardCharsets.UTF_8.decode(f).toString());
            default -> {
                // Answers to probes; the module sends none, so they mean nothing here.
            }
        }
    }

    private static String utf8(ByteBuffer bytes) throws BadMessage {
        try {
            return JsonReader.utf8(bytes);
        } catch (CharacterCodingException e) {
            throw new BadMessage("a frame that is not UTF-8");
        }
    }
}

package tinlink.net;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Set;

/** Reads the frames of a data node, cut anywhere. */
public final class FrameReader {
    /** What hears the frames. */
    public interface Sink {
        /** The end of one part: OK, ERROR or REJECTED; its report, null where there is none; its value. */
        void ended(String id, String end, String report, String value) throws BadMessage;

        /** The frame before could not be used. */
        void rejected(String words);
    }

    private static final Set<String> ENDS = Set.of("OK", "ERROR", "REJECTED");
    private final Sink sink;
    private int head;
    private int length;
    private ByteBuffer frame;

    public FrameReader(Sink sink) {
        this.sink = sink;
    }

    public void read(Ring in) throws BadMessage {
        while (in.size() > 0) {
            if (head < 4) {
                length = length << 8 | in.take() & 0xff;
                head++;
                if (head == 4) {
                    if (length < 1 || length > 1 + Protocol.MOST_HEAD + Protocol.MOST_BODY) {
                        throw new BadMessage("a frame of length " + length);
                    }
                    frame = ByteBuffer.allocate(length);
                }
            } else {
                frame.put(in.takeRun(frame.remaining()));
                if (!frame.hasRemaining()) {
                    ByteBuffer whole = frame.flip();
                    head = 0;
                    length = 0;
                    frame = null;
                    whole(whole);
                }
            }
        }
    }

    private void whole(ByteBuffer f) throws BadMessage {
        byte letter = f.get();
        switch (letter) {
            case 'Y' -> {
                int lf = f.position();
                while (lf < f.limit() && f.get(lf) != '\n') {
                    lf++;
                }
                if (lf == f.limit()) {
                    throw new BadMessage("a Y frame without its line");
                }
                String[] words = utf8(f.slice(f.position(), lf - f.position())).split(" ", -1);
                if (words.length != 4 || words[0].isEmpty() || !ENDS.contains(words[1])) {
                    throw new BadMessage("a Y frame with a garbled line");
                }
                f.position(lf + 1);
                if (f.remaining() > Protocol.MOST_BODY) {
                    throw new BadMessage("a value too long");
                }
                sink.ended(words[0], words[1], words[3].equals("-") ? null : words[3], utf8(f));
            }
            case 'N' -> sink.rejected(StandardCharsets.UTF_8.decode(f).toString());
            case 'G', 'T' -> {
                // Answers to probes; the module sends none, so they mean nothing here.
            }
            default -> throw new BadMessage("a frame of unknown letter " + (letter & 0xff));
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

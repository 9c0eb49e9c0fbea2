package tinlink.net;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.regex.Pattern;

/** Parses the frames of a data node incrementally; the input may be split at any byte. */
public final class FrameReader {
    /** Receives the parsed frames in order. */
    public interface FrameListener {
        /** Called when the line of an answer is complete; its value may be incomplete. */
        void answerStarted(String partId) throws MessageRejectedException;

        /**
         * Called when the answer to a part is complete: its status (OK, ERROR or REJECTED), its
         * load report or null, and its value.
         */
        void answerReceived(String partId, String status, String loadReport, String value)
                throws MessageRejectedException;

        /** Called when the data node reports that it could not use a frame. */
        void frameRejected(String message);
    }

    private static final Set<String> STATUSES = Set.of("OK", "ERROR", "REJECTED");
    private static final Pattern SCORE = Pattern.compile("-|-?[0-9]{1,20}");
    private final FrameListener listener;
    private int prefixBytes;
    private int frameLength;
    private ByteBuffer frame;
    /** The fields of the current answer's line once the line is complete, otherwise null. */
    private String[] answerLine;

    private long completedFrames;

    public FrameReader(FrameListener listener) {
        this.listener = listener;
    }

    /** Returns whether no byte of the next frame has been read. */
    public boolean isAtBoundary() {
        return prefixBytes == 0;
    }

    /** Returns the number of frames that have been read completely. */
    public long completedFrames() {
        return completedFrames;
    }

    public void read(RingBuffer in) throws MessageRejectedException {
        while (in.size() > 0) {
            if (prefixBytes < 4) {
                frameLength = frameLength << 8 | (in.take() & 0xff);
                prefixBytes++;
                if (prefixBytes == 4) {
                    if (frameLength < 1
                            || frameLength
                                    > 1
                                            + ProtocolLimits.MAX_HEAD_BYTES
                                            + ProtocolLimits.MAX_BODY_BYTES) {
                        throw new MessageRejectedException("a frame of length " + frameLength);
                    }
                    frame = ByteBuffer.allocate(frameLength);
                }
            } else {
                int previousPosition = frame.position();
                frame.put(in.takeContiguous(frame.remaining()));
                readAnswerLine(previousPosition);
                if (!frame.hasRemaining()) {
                    ByteBuffer completed = frame.flip();
                    String[] fields = answerLine;
                    prefixBytes = 0;
                    frameLength = 0;
                    frame = null;
                    answerLine = null;
                    completedFrames++;
                    frameCompleted(completed, fields);
                }
            }
        }
    }

    /**
     * Checks the frame's letter and an answer's line as soon as they arrive. A frame with a wrong
     * length swallows the answers behind it, so everything that can be checked is checked before
     * the frame is complete.
     */
    private void readAnswerLine(int previousPosition) throws MessageRejectedException {
        byte letter = frame.get(0);
        if ("YNGT".indexOf(letter) < 0) {
            throw new MessageRejectedException("a frame of unknown letter " + (letter & 0xff));
        }
        for (int at = previousPosition;
                letter == 'Y' && answerLine == null && at < frame.position();
                at++) {
            if (frame.get(at) == '\n') {
                // The load report is not checked, since an unreadable load report must not make the
                // answer unusable. The report may contain anything but a line break.
                String[] fields = new String(frame.array(), 1, at - 1, StandardCharsets.ISO_8859_1)
                        .split(" ", 4);
                if (fields.length != 4
                        || fields[0].isEmpty()
                        || !STATUSES.contains(fields[1])
                        || !SCORE.matcher(fields[2]).matches()) {
                    throw new MessageRejectedException("a Y frame with a garbled line");
                }
                answerLine = fields;
                listener.answerStarted(fields[0]);
            } else if (at > ProtocolLimits.MAX_HEAD_BYTES || at == frameLength - 1) {
                throw new MessageRejectedException("a Y frame without its line");
            }
        }
    }

    private void frameCompleted(ByteBuffer body, String[] fields) throws MessageRejectedException {
        switch (body.get()) {
            case 'Y' -> {
                while (body.get() != '\n') {
                    // The answer's line was parsed when it arrived.
                }
                if (body.remaining() > ProtocolLimits.MAX_BODY_BYTES) {
                    throw new MessageRejectedException("a value too long");
                }
                listener.answerReceived(
                        fields[0], fields[1], fields[3].equals("-") ? null : fields[3], utf8(body));
            }
            case 'N' ->
                listener.frameRejected(StandardCharsets.UTF_8.decode(body).toString());
            default -> {
                // Answers to health checks. The decision module sends no health checks, so these
                // frames are ignored.
            }
        }
    }

    private static String utf8(ByteBuffer bytes) throws MessageRejectedException {
        try {
            return JsonReader.decodeUtf8(bytes);
        } catch (CharacterCodingException e) {
            throw new MessageRejectedException("a frame that is not UTF-8");
        }
    }
}

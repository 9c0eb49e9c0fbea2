package tinlink.router;

import tinlink.net.RingBuffer;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Writes the frames that go to data nodes; what comes back is read by {@link tinlink.net.FrameReader}. */
final class NodeFrames {
    private static final char REQUEST = 'R';
    private static final char CANCEL = 'A';

    private NodeFrames() {}

    /**
     * One frame with the attempts of a batch that have not ended, each with the time that is left for its
     * answer.
     */
    static void writeRequest(RingBuffer out, AttemptBatch batch, long nowUs) {
        List<byte[]> pieces = new ArrayList<>();
        int length = 1;
        for (SentAttempt sent : batch.sentAttempts) {
            if (!sent.isEnded) {
                Query query = sent.part().query();
                byte[] line = requestLine(sent, query, nowUs).getBytes(StandardCharsets.UTF_8);
                pieces.add(line);
                pieces.add(query.text);
                length += line.length + query.text.length;
            }
        }
        out.put(header(length, REQUEST));
        pieces.forEach(out::put);
    }

    private static String requestLine(SentAttempt sent, Query query, long nowUs) {
        long timeoutMs = Math.max(1, (sent.deadlineUs - nowUs + 999) / 1000);
        return sent.part().id + " " + sent.attempt.part.shard + " d=" + timeoutMs
                + (query.idempotencyKey == null ? "" : ",k=" + query.idempotencyKey) + " "
                + query.text.length + "\n";
    }

    /** Asks the data node to drop the part of that id. */
    static void writeCancel(RingBuffer out, String partId) {
        byte[] id = partId.getBytes(StandardCharsets.UTF_8);
        out.put(header(1 + id.length, CANCEL)).put(id);
    }

    /** @param length of what follows, the letter included */
    private static byte[] header(int length, char letter) {
        return new byte[] {
            (byte) (length >> 24),
            (byte) (length >> 16),
            (byte) (length >> 8),
            (byte) length,
            (byte) letter
        };
    }
}

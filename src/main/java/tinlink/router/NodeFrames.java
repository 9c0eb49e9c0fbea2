package tinlink.router;

import tinlink.net.RingBuffer;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Writes frames for data nodes; {@link tinlink.net.FrameReader} reads the frames that they send back. */
final class NodeFrames {
    private static final char REQUEST = 'R';
    private static final char CANCEL = 'A';

    private NodeFrames() {}

    /**
     * Writes one frame with the attempts of a batch that have not ended, each with the time until its
     * deadline.
     */
    static void writeRequest(RingBuffer out, AttemptBatch batch, long nowUs) {
        List<byte[]> buffers = new ArrayList<>();
        int length = 1;
        for (SentAttempt sent : batch.sentAttempts) {
            if (!sent.ended) {
                Query query = sent.part().query();
                byte[] line = requestLine(sent, query, nowUs).getBytes(StandardCharsets.UTF_8);
                buffers.add(line);
                buffers.add(query.text);
                length += line.length + query.text.length;
            }
        }
        out.put(header(length, REQUEST));
        buffers.forEach(out::put);
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

    /** @param length the number of bytes that follow the length field, including the frame type */
    private static byte[] header(int length, char frameType) {
        return new byte[] {
            (byte) (length >> 24),
            (byte) (length >> 16),
            (byte) (length >> 8),
            (byte) length,
            (byte) frameType
        };
    }
}

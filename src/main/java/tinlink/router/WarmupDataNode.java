package tinlink.router;

import tinlink.net.CloseReason;
import tinlink.net.Connection;
import tinlink.net.RingBuffer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * A simulated data node of the warm-up. It answers each part, a few of them with an error or a rejection.
 * Confined to the event loop's thread.
 */
final class WarmupDataNode implements Connection.Listener {
    /** Far longer than any frame that the warm-up sends. */
    private static final int MAX_FRAME_BYTES = 4096;

    private final Connection connection;
    private final String idPrefix;
    /** The length prefix of the current frame, as far as it was read. */
    private final byte[] length = new byte[4];

    private int lengthBytes;
    /** The content of the current frame. */
    private ByteBuffer frame;
    /** Parts answered on this connection; decides which of them get an error or a rejection. */
    private int parts;

    /** @param idPrefix prefix of the warm-up's part ids; a frame with another id closes the connection */
    WarmupDataNode(Connection connection, String idPrefix) {
        this.connection = connection;
        this.idPrefix = idPrefix;
    }

    @Override
    public void bytesReceived(RingBuffer in) {
        while (in.size() > 0) {
            if (lengthBytes < length.length) {
                length[lengthBytes++] = in.take();
                if (lengthBytes == length.length
                        && !startFrame(ByteBuffer.wrap(length).getInt())) {
                    return;
                }
            } else {
                frame.put(in.takeContiguous(frame.remaining()));
                if (!frame.hasRemaining()) {
                    lengthBytes = 0;
                    answer(new String(frame.array(), StandardCharsets.UTF_8));
                }
            }
        }
    }

    /** Bounds the frame length, since the sender can be any process that connects to the router. */
    private boolean startFrame(int size) {
        if (size < 0 || size > MAX_FRAME_BYTES) {
            connection.close(CloseReason.PROTOCOL_ERROR);
            return false;
        }
        frame = ByteBuffer.allocate(size);
        return true;
    }

    private void answer(String frameText) {
        for (int position = 1;
                frameText.charAt(0) == 'R' && position < frameText.length();
                parts++) {
            int lineEnd = frameText.indexOf('\n', position);
            String[] fields = lineEnd < 0
                    ? new String[0]
                    : frameText.substring(position, lineEnd).split(" ");
            if (fields.length != 4 || !fields[0].startsWith(idPrefix)) {
                connection.close(CloseReason.PROTOCOL_ERROR);
                return;
            }
            position = lineEnd + 1 + Integer.parseInt(fields[3]);
            String status = parts % 32 == 30 ? "ERROR" : parts % 32 == 14 ? "REJECTED" : "OK";
            byte[] answer = ("Y" + fields[0] + " " + status + " 1 -\n" + fields[0])
                    .getBytes(StandardCharsets.UTF_8);
            connection
                    .out()
                    .put(ByteBuffer.allocate(4).putInt(answer.length).array())
                    .put(answer);
        }
        connection.scheduleWrite();
    }

    @Override
    public void connectionClosed(CloseReason closeReason) {
        // No state outlives the connection.
    }
}

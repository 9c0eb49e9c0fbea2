package tinlink.router;

import tinlink.net.CloseReason;
import tinlink.net.Connection;
import tinlink.net.RingBuffer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * A data node of the warm-up's own: answers each part, now and then with an error or a rejection. Of the
 * event loop's thread.
 */
final class WarmupDataNode implements Connection.Listener {
    /** A frame of the warm-up's own is far shorter. */
    private static final int MAX_FRAME_BYTES = 4096;

    private final Connection connection;
    private final String idPrefix;
    private final byte[] length = new byte[4];
    private int lengthBytes;
    private ByteBuffer frame;
    private int parts;

    /** @param idPrefix begins the part ids of the warm-up's own lookups; others are not answered */
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

    /** Danger: anybody may have sent this, not only our own. */
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
        // Nothing is kept of it.
    }
}

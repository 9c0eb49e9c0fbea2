import com.twitter.hpack.Decoder;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;

/** A data node that is served over HTTP/2 (docs/protocol-http2.md) and allows few streams at a time. */
final class Http2Node extends DataNode {
    private final int maxStreams;

    private static final class Request {
        final Map<String, String> fields = new HashMap<>();
        final ByteArrayOutputStream body = new ByteArrayOutputStream();
    }

    Http2Node(String uid, int cell, String zone, ToLongFunction<String> workMs, int maxStreams)
            throws IOException {
        super(uid, cell, zone, workMs);
        this.maxStreams = maxStreams;
    }

    @Override
    void serve(Socket socket) throws Exception {
        List<Run> here = Collections.synchronizedList(new ArrayList<>());
        try {
            socket.setTcpNoDelay(true);
            DataInputStream in = new DataInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            in.readFully(new byte[24]);
            frame(out, 4, 0, 0, ByteBuffer.allocate(6).putShort((short) 3).putInt(maxStreams).array());
            Decoder decoder = new Decoder(16_384, 4096);
            Map<Integer, Request> open = new HashMap<>();
            Map<Integer, String> ids = new HashMap<>();
            while (true) {
                int length = in.readUnsignedByte() << 16 | in.readUnsignedShort();
                int type = in.readUnsignedByte();
                int flags = in.readUnsignedByte();
                int stream = in.readInt() & 0x7fffffff;
                byte[] payload = new byte[length];
                in.readFully(payload);
                if (type == 1) {
                    if ((flags & 0x2c) != 4) {
                        throw new IOException("a header block that this stand-in does not read");
                    }
                    Request request = new Request();
                    open.put(stream, request);
                    decoder.decode(
                            new ByteArrayInputStream(payload),
                            (name, value, sensitive) -> request.fields.put(
                                    new String(name, StandardCharsets.US_ASCII),
                                    new String(value, StandardCharsets.US_ASCII)));
                    decoder.endHeaderBlock();
                } else if (type == 0 && open.containsKey(stream)) {
                    open.get(stream).body.write(payload);
                } else if (type == 3 && ids.containsKey(stream)) {
                    giveUp(ids.get(stream), here);
                } else if (type == 4 && (flags & 1) == 0) {
                    frame(out, 4, 1, 0, new byte[0]);
                } else if (type == 6 && (flags & 1) == 0) {
                    frame(out, 6, 1, 0, payload);
                }
                if (type <= 1 && (flags & 1) != 0 && open.containsKey(stream)) {
                    Request request = open.remove(stream);
                    ids.put(stream, request.fields.get("x-part-id"));
                    run(request, stream, out, here);
                }
            }
        } finally {
            sockets.remove(socket);
            socket.close();
            for (Run run : List.copyOf(here)) {
                end(run, "connection ended");
            }
        }
    }

    private void run(Request request, int stream, OutputStream out, List<Run> here) {
        String id = request.fields.get("x-part-id");
        String text = request.body.toString(StandardCharsets.UTF_8);
        Run run = new Run(id, Integer.parseInt(request.fields.get(":path").substring("/parts/".length())),
                request.fields.getOrDefault("idempotency-key", "-"), Kit.nowMs());
        runs.add(run);
        here.add(run);
        Kit.record("node " + uid + ": part " + id + " arrives, wait " + request.fields.get("x-part-wait-ms"));
        Kit.thread(() -> {
            Thread.sleep(workMs.applyAsLong(text));
            synchronized (out) {
                if (end(run, "answered")) {
                    frame(out, 1, 4, stream, new byte[] {(byte) 0x88});
                    frame(out, 0, 1, stream, valueOf(id).getBytes(StandardCharsets.US_ASCII));
                }
            }
        });
    }

    private static void frame(OutputStream out, int type, int flags, int stream, byte[] payload)
            throws IOException {
        ByteBuffer frame = ByteBuffer.allocate(9 + payload.length);
        frame.put((byte) (payload.length >>> 16)).putShort((short) payload.length);
        frame.put((byte) type).put((byte) flags).putInt(stream).put(payload);
        synchronized (out) {
            out.write(frame.array());
            out.flush();
        }
    }
}

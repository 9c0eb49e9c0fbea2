import com.twitter.hpack.Decoder;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A data node that is served over HTTP/2 by docs/protocol-http2.md and RFC 9113. A request is a
 * part call once it is complete; it runs unless its idempotency key has run at any node within the
 * window. While the node hangs, its connections stay open and answer pings, but its workers read no
 * bodies, so it gives back no flow-control window.
 */
final class Http2Node {
    /** A part call that was run. */
    record Run(long atMs, String node, String id, String key) {}

    private static final int STREAM_WINDOW = 1024;

    final String uid;
    final int cell;
    private final long workMs;
    private final long windowMs;
    private final Record record;
    /** By idempotency key, when it was first run at any node within the window. */
    private final Map<String, Long> ranAtMs;

    private final List<Run> runs;
    private final ServerSocket listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    private final List<Link> links = new CopyOnWriteArrayList<>();
    private final ScheduledExecutorService work =
            Executors.newScheduledThreadPool(2, Threads::daemon);
    private volatile boolean hangs;

    Http2Node(
            String uid,
            int cell,
            long workMs,
            long windowMs,
            Record record,
            Map<String, Long> ranAtMs,
            List<Run> runs)
            throws IOException {
        this.uid = uid;
        this.cell = cell;
        this.workMs = workMs;
        this.windowMs = windowMs;
        this.record = record;
        this.ranAtMs = ranAtMs;
        this.runs = runs;
        Threads.start(this::accept);
    }

    static Map<String, Long> keys() {
        return new ConcurrentHashMap<>();
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** From now on its workers stand still, or go on. */
    void hang(boolean now) throws IOException {
        record.line("node " + uid + (now ? " hangs" : " goes on"));
        hangs = now;
        if (!now) {
            for (Link link : links) {
                link.goOn();
            }
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Link link = new Link(socket);
                links.add(link);
                Threads.start(link::serve);
            }
        } catch (IOException e) {
            // The listener is closed with the process.
        }
    }

    /** A request that has begun. */
    private static final class Request {
        final Map<String, String> fields = new HashMap<>();
        int received;
        boolean complete;
    }

    private final class Link {
        private final Socket socket;
        private final DataOutputStream out;
        private final Decoder decoder = new Decoder(16_384, 4096);
        private final Map<Integer, Request> open = new HashMap<>();
        /** Bytes of bodies that were received and not read yet, by stream. */
        private final Map<Integer, Integer> unread = new HashMap<>();

        Link(Socket socket) throws IOException {
            this.socket = socket;
            out = new DataOutputStream(socket.getOutputStream());
        }

        void serve() {
            try (socket) {
                DataInputStream in = new DataInputStream(socket.getInputStream());
                in.readFully(new byte[24]);
                frame(
                        4,
                        0,
                        0,
                        ByteBuffer.allocate(12)
                                .putShort((short) 3)
                                .putInt(100)
                                .putShort((short) 4)
                                .putInt(STREAM_WINDOW)
                                .array());
                while (true) {
                    int head = in.readInt();
                    int flags = in.readUnsignedByte();
                    int stream = in.readInt() & 0x7fffffff;
                    byte[] payload = new byte[head >>> 8];
                    in.readFully(payload);
                    received(head & 0xff, flags, stream, payload);
                }
            } catch (IOException e) {
                links.remove(this);
            }
        }

        private synchronized void received(int type, int flags, int stream, byte[] payload)
                throws IOException {
            switch (type) {
                case 0 -> {
                    Request request = open.get(stream);
                    if (request != null) {
                        request.received += payload.length;
                        request.complete = (flags & 1) != 0;
                    }
                    unread.merge(stream, payload.length, Integer::sum);
                    if (!hangs) {
                        read();
                    }
                }
                case 1 -> {
                    Request request = new Request();
                    decoder.decode(
                            new ByteArrayInputStream(payload),
                            (name, value, sensitive) -> request.fields.put(
                                    new String(name, StandardCharsets.UTF_8),
                                    new String(value, StandardCharsets.UTF_8)));
                    decoder.endHeaderBlock();
                    open.put(stream, request);
                    record.line("request begins at node=" + uid + " part="
                            + request.fields.get("x-part-id") + " bytes="
                            + request.fields.get("content-length"));
                }
                case 3 -> {
                    Request request = open.remove(stream);
                    if (request != null) {
                        record.line("reset at node=" + uid + " part="
                                + request.fields.get("x-part-id"));
                    }
                }
                case 4 -> {
                    if ((flags & 1) == 0) {
                        frame(4, 1, 0, new byte[0]);
                    }
                }
                case 6 -> {
                    if ((flags & 1) == 0) {
                        frame(6, 1, 0, payload);
                    }
                }
                default -> {} // Our answers are shorter than any window.
            }
        }

        synchronized void goOn() throws IOException {
            read();
        }

        /** Workers read what has come, which gives its window back, and run what is complete. */
        private void read() throws IOException {
            Map<Integer, Integer> bodies = new HashMap<>(unread);
            unread.clear();
            for (Map.Entry<Integer, Integer> body : bodies.entrySet()) {
                int stream = body.getKey();
                if (body.getValue() > 0) {
                    frame(8, 0, 0, number(body.getValue()));
                }
                Request request = open.get(stream);
                if (request == null) {
                    continue;
                }
                if (request.complete) {
                    open.remove(stream);
                    run(stream, request);
                } else {
                    frame(8, 0, stream, number(body.getValue()));
                }
            }
        }

        private void run(int stream, Request request) {
            String id = request.fields.get("x-part-id");
            String key = request.fields.get("idempotency-key");
            long nowMs = System.currentTimeMillis();
            Long before = key == null ? null : ranAtMs.get(key);
            if (before != null && nowMs - before <= windowMs) {
                record.line("repeat dropped at node=" + uid + " part=" + id);
            } else {
                if (key != null) {
                    ranAtMs.put(key, nowMs);
                }
                runs.add(new Run(nowMs, uid, id, key));
                record.line("run node=" + uid + " part=" + id + " key=" + key);
            }
            work.schedule(
                    () -> {
                        try {
                            answer(stream, DataNode.value(id));
                        } catch (IOException e) {
                            links.remove(this);
                        }
                    },
                    workMs,
                    TimeUnit.MILLISECONDS);
        }

        private synchronized void answer(int stream, String value) throws IOException {
            frame(1, 4, stream, new byte[] {(byte) 0x88}); // :status 200
            frame(0, 1, stream, value.getBytes(StandardCharsets.UTF_8));
        }

        private static byte[] number(int value) {
            return ByteBuffer.allocate(4).putInt(value).array();
        }

        private synchronized void frame(int type, int flags, int stream, byte[] payload)
                throws IOException {
            ByteArrayOutputStream whole = new ByteArrayOutputStream();
            whole.writeBytes(ByteBuffer.allocate(9)
                    .putInt(payload.length << 8 | type)
                    .put((byte) flags)
                    .putInt(stream)
                    .array());
            whole.writeBytes(payload);
            out.write(whole.toByteArray());
            out.flush();
        }
    }

    /** Runs of the same key, oldest first; only keys that ran more than once. */
    static Map<String, List<Run>> repeated(List<Run> runs) {
        Map<String, List<Run>> byKey = new HashMap<>();
        for (Run run : runs) {
            byKey.computeIfAbsent(run.key() + " " + run.id(), key -> new ArrayList<>())
                    .add(run);
        }
        byKey.values().removeIf(some -> some.size() < 2);
        return byKey;
    }
}

package tinlink.emulator;

import com.twitter.hpack.Decoder;
import com.twitter.hpack.Encoder;

import tinlink.net.CloseReason;
import tinlink.net.Connection;
import tinlink.net.RingBuffer;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * A router's connection to an emulated data node over HTTP/2, written apart from the router's own
 * side: what one side misreads the other must not misread with it. It serves what our requests
 * need, and breaks off when it is told to.
 */
final class Http2Caller implements EmulatedNode.Caller {
    private static final int PREFACE = 24;
    private static final int FRAME = 16_384;
    private final EmulatedNode node;
    private final Connection link;
    private final Decoder decoder = new Decoder(16_384, 4096);
    private final Encoder encoder = new Encoder(4096);
    /** Requests that have begun and not been answered, by stream. */
    private final TreeMap<Integer, Request> open = new TreeMap<>();

    private final Map<String, Integer> streams = new HashMap<>();
    private int skipped;
    private final byte[] head = new byte[9];
    private int headRead;
    private ByteBuffer payload;
    private int lastSeen;
    private int lastTaken = Integer.MAX_VALUE;
    private long clientWindow = 65_535;
    private long clientFirstWindow = 65_535;

    private static final class Request {
        private final Map<String, String> fields = new HashMap<>();
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private long window;
        private byte[] value;
        private int sent;
        private String end;
    }

    Http2Caller(EmulatedNode node, Connection link) {
        this.node = node;
        this.link = link;
        ByteBuffer s = ByteBuffer.allocate(12).putShort((short) 4).putInt(node.http2.initialWindow);
        if (node.http2.streams >= 0) {
            s.putShort((short) 3).putInt((int) node.http2.streams);
        }
        frame(4, 0, 0, java.util.Arrays.copyOf(s.array(), s.position()));
    }

    @Override
    public Connection link() {
        return link;
    }

    private void frame(int type, int flags, int stream, byte[] b) {
        link.out()
                .put(ByteBuffer.allocate(9 + b.length)
                        .putInt(b.length << 8 | type)
                        .put((byte) flags)
                        .putInt(stream)
                        .put(b)
                        .array());
        link.scheduleWrite();
    }

    private void frame(int type, int stream, int value) {
        frame(type, 0, stream, ByteBuffer.allocate(4).putInt(value).array());
    }

    /** Streams at a time from now on. */
    void streams(int n) {
        frame(4, 0, 0, ByteBuffer.allocate(6).putShort((short) 3).putInt(n).array());
    }

    /** Whoever was below what is named is served; the others were never begun. */
    void goAway(int less, boolean twice) {
        if (twice) {
            frame(
                    7,
                    0,
                    0,
                    ByteBuffer.allocate(8).putInt(Integer.MAX_VALUE).putInt(0).array());
        }
        lastTaken = Math.max(0, lastSeen - 2 * less);
        for (Map.Entry<Integer, Request> r :
                Map.copyOf(open.tailMap(lastTaken, false)).entrySet()) {
            if (r.getValue().end == null
                    && !node.hasBegun(this, r.getValue().fields.get("x-part-id"))) {
                open.remove(r.getKey());
                node.cancel(this, r.getValue().fields.get("x-part-id"));
            } else {
                lastTaken = Math.max(
                        lastTaken, r.getKey()); // It has run: it can't be said never to have.
            }
        }
        frame(7, 0, 0, ByteBuffer.allocate(8).putInt(lastTaken).putInt(0).array());
    }

    @Override
    public void bytesReceived(RingBuffer in) {
        try {
            while (in.size() > 0 && !link.isClosed()) {
                if (skipped < PREFACE) {
                    skipped += in.takeContiguous(PREFACE - skipped).remaining();
                } else if (headRead < head.length) {
                    head[headRead++] = in.take();
                    payload = headRead < head.length
                            ? null
                            : ByteBuffer.allocate((head[0] & 0xff) << 16
                                    | (head[1] & 0xff) << 8
                                    | (head[2] & 0xff));
                }
                if (payload != null) {
                    payload.put(in.takeContiguous(payload.remaining()));
                    if (!payload.hasRemaining()) {
                        ByteBuffer whole = payload.flip();
                        payload = null;
                        headRead = 0;
                        frame(head[3], head[4], ByteBuffer.wrap(head, 5, 4).getInt(), whole);
                    }
                }
            }
        } catch (IOException | RuntimeException e) {
            link.close(CloseReason.PROTOCOL_ERROR);
        }
    }

    private void frame(int type, int flags, int stream, ByteBuffer p) throws IOException {
        switch (type) {
            case 0 -> {
                Request r = open.get(stream);
                if (r != null) {
                    r.body.write(p.array(), p.arrayOffset() + p.position(), p.remaining());
                }
                if (node.http2.returnsWindow && p.hasRemaining()) {
                    frame(8, 0, p.remaining());
                    if (r != null && (flags & 1) == 0) {
                        frame(8, stream, p.remaining());
                    }
                }
                if (r != null && (flags & 1) != 0) {
                    whole(stream, r);
                }
            }
            case 1 -> {
                Request r = new Request();
                r.window = clientFirstWindow;
                lastSeen = stream;
                decoder.decode(
                        new ByteArrayInputStream(
                                p.array(), p.arrayOffset() + p.position(), p.remaining()),
                        (n, v, s) -> r.fields.put(
                                new String(n, StandardCharsets.UTF_8),
                                new String(v, StandardCharsets.UTF_8)));
                decoder.endHeaderBlock();
                if (stream > lastTaken) {
                    return; // Said never to be processed.
                }
                open.put(stream, r);
                if ((flags & 1) != 0) {
                    whole(stream, r);
                }
            }
            case 3 -> {
                Request r = open.remove(stream);
                if (r != null) {
                    node.cancel(this, r.fields.get("x-part-id"));
                }
            }
            case 4 -> {
                while ((flags & 1) == 0 && p.hasRemaining()) {
                    int key = p.getShort();
                    int value = p.getInt();
                    clientFirstWindow = key == 4 ? value : clientFirstWindow;
                }
                if ((flags & 1) == 0) {
                    frame(4, 1, 0, new byte[0]);
                }
            }
            case 6 -> {
                if ((flags & 1) == 0 && !node.isSilent()) {
                    frame(
                            6,
                            1,
                            0,
                            java.util.Arrays.copyOfRange(
                                    p.array(), p.arrayOffset(), p.arrayOffset() + 8));
                }
            }
            case 8 -> {
                if (stream == 0) {
                    clientWindow += p.getInt();
                } else if (open.containsKey(stream)) {
                    open.get(stream).window += p.getInt();
                }
                Map.copyOf(open).forEach(this::push);
            }
            default -> {
                // Nothing that we need.
            }
        }
    }

    private void whole(int stream, Request r) {
        if (node.http2.refuseNext > 0) {
            node.http2.refuseNext--;
            open.remove(stream);
            frame(3, stream, 7);
            return;
        }
        String id = r.fields.get("x-part-id");
        streams.put(id, stream);
        node.callReceived(new EmulatedNode.Job(
                this,
                id,
                r.fields.get("idempotency-key"),
                r.body.toString(StandardCharsets.UTF_8)));
    }

    @Override
    public void answer(EmulatedNode.Job j, String end, String value) {
        Integer stream = streams.remove(j.id());
        Request r = stream == null ? null : open.get(stream);
        if (r == null) {
            return;
        }
        if (node.http2.resetNext > 0) {
            node.http2.resetNext--;
            open.remove(stream);
            frame(3, stream, 2);
            return;
        }
        r.end = end;
        r.value = value.getBytes(StandardCharsets.UTF_8);
        headers(
                stream,
                4,
                ":status",
                end.equals("OK") ? "200" : end.equals("REJECTED") ? "503" : "500");
        push(stream, r);
    }

    private void headers(int stream, int flags, String name, String value) {
        try {
            ByteArrayOutputStream b = new ByteArrayOutputStream();
            encoder.encodeHeader(
                    b,
                    name.getBytes(StandardCharsets.UTF_8),
                    value.getBytes(StandardCharsets.UTF_8),
                    false);
            frame(1, flags, stream, b.toByteArray());
        } catch (IOException e) {
            throw new IllegalStateException(e); // It is written to memory.
        }
    }

    /** What the router's windows allow of an answer; a trailer ends it. */
    private void push(int stream, Request r) {
        while (r.value != null && open.containsKey(stream)) {
            int n = (int) Math.min(
                    Math.min(FRAME, r.value.length - r.sent), Math.min(r.window, clientWindow));
            if (r.sent < r.value.length && n <= 0) {
                return;
            }
            if (r.sent == r.value.length) {
                open.remove(stream);
                headers(
                        stream,
                        5,
                        "x-part-end",
                        r.end.equals("OK")
                                ? "ok"
                                : r.end.equals("REJECTED") ? "rejected" : "error");
                return;
            }
            frame(0, 0, stream, java.util.Arrays.copyOfRange(r.value, r.sent, r.sent + n));
            r.sent += n;
            r.window -= n;
            clientWindow -= n;
        }
    }

    @Override
    public void connectionClosed(CloseReason closeReason) {
        open.clear();
    }
}

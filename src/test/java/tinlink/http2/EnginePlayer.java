package tinlink.http2;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.twitter.hpack.Decoder;
import com.twitter.hpack.Encoder;

import tinlink.Scenarios;
import tinlink.net.ParserPlayer;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Plays frames of a scripted server against the client's engine; docs/scenarios.md has the
 * notation.
 */
public final class EnginePlayer implements Engine.Owner {
    private static final Map<String, Integer> KEYS = Map.of(
            "table", 1, "push", 2, "streams", 3, "window", 4, "frame", 5, "list", 6, "unknown", 99);
    private final ArrayDeque<String> said = new ArrayDeque<>();
    private final ArrayDeque<String> heard = new ArrayDeque<>();
    private final Map<String, Stream> calls = new HashMap<>();
    private final Encoder encoder = new Encoder(4096);
    private final Decoder decoder = new Decoder(1 << 16, 4096);
    private final Engine engine = new Engine(this::out, this, 4);
    private ByteArrayOutputStream block = new ByteArrayOutputStream();

    public void play(List<String> script) {
        engine.begins();
        said.clear();
        Scenarios.play(script, ";", this::line);
        assertEquals("[] []", said + " " + heard, "said and heard, and not expected");
    }

    private void line(String[] w) throws IOException {
        String rest = String.join(" ", List.of(w).subList(1, w.length));
        switch (w[0]) {
            case "<" -> assertEquals(rest, said.isEmpty() ? "nothing" : said.poll());
            case "=" -> assertEquals(rest, heard.isEmpty() ? "nothing" : heard.poll());
            case "request" -> {
                Map<String, String> f = new LinkedHashMap<>(Map.of(":method", "POST"));
                f.put("x-part-id", w[1]);
                calls.put(w[1], engine.request(w[1], f, new byte[Integer.parseInt(w[2])]));
            }
            case "cancel" -> engine.cancel(calls.get(w[1]));
            case "ping" -> engine.ping(Long.parseLong(w[1]));
            case ">" -> {
                int times = w[1].matches("x[0-9]+") ? Integer.parseInt(w[1].substring(1)) : 1;
                for (int i = 0; i < times; i++) {
                    in(bytes(
                            times > 1 || w[1].equals("x1")
                                    ? List.of(w).subList(2, w.length)
                                    : List.of(w).subList(1, w.length)));
                }
            }
            default -> throw new IllegalArgumentException(w[0]);
        }
    }

    private boolean over;

    private void in(byte[] b) {
        try {
            for (int i = 0; i < b.length && !over; i++) {
                engine.read(ParserPlayer.ring(new byte[] {b[i]}));
            }
        } catch (Broken e) {
            over = true;
            heard.add("broken " + e.code);
        }
    }

    // ---- What the server says: TYPE STREAM [FLAGS ...] [...] ----

    private byte[] bytes(List<String> w) throws IOException {
        int stream = w.size() > 1 && w.get(1).matches("[0-9]+") ? Integer.parseInt(w.get(1)) : 0;
        List<String> rest = w.subList(Math.min(w.size(), 2), w.size());
        int flags = (w.contains("end") ? 1 : 0)
                | (w.contains("ack") ? 1 : 0)
                | (w.contains("more") ? 0 : 4)
                | (w.contains("padded") ? 8 : 0)
                | (w.contains("prio") ? 32 : 0);
        ByteArrayOutputStream p = new ByteArrayOutputStream();
        switch (w.get(0)) {
            case "raw" -> {
                return HexFormat.of().parseHex(String.join("", w.subList(1, w.size())));
            }
            case "data" -> {
                for (String one : rest) {
                    if (one.matches("[0-9]+")) {
                        p.write(new byte[Integer.parseInt(one)]);
                    } else if (one.startsWith("'")) {
                        p.writeBytes(one.substring(1).getBytes(StandardCharsets.UTF_8));
                    } else if (one.startsWith("pad=")) {
                        p.write(Integer.parseInt(one.substring(4)));
                    }
                }
                return frame(0, flags & 9, stream, p.toByteArray());
            }
            case "headers", "continuation" -> {
                if ((flags & 32) != 0) {
                    p.write(new byte[5]);
                }
                for (String one : rest) {
                    int eq = one.indexOf('=');
                    if (one.matches("[0-9]+")) {
                        p.write(new byte[Integer.parseInt(one)]);
                    } else if (eq > 0) {
                        String value = one.substring(eq + 1).replace('_', ' ');
                        encoder.encodeHeader(
                                p,
                                one.substring(0, eq).getBytes(StandardCharsets.UTF_8),
                                value.matches("[*][0-9]+")
                                        ? new byte[Integer.parseInt(value.substring(1))]
                                        : value.getBytes(StandardCharsets.UTF_8),
                                one.startsWith("big"));
                    }
                }
                return frame(w.get(0).equals("headers") ? 1 : 9, flags, stream, p.toByteArray());
            }
            case "reset", "update" -> {
                return frame(
                        w.get(0).equals("reset") ? 3 : 8,
                        0,
                        stream,
                        four(Long.parseLong(rest.get(0))));
            }
            case "settings" -> {
                for (String one : w.subList(1, w.size())) {
                    int eq = one.indexOf('=');
                    if (eq > 0) {
                        p.write(new byte[] {0, (byte) (int) KEYS.get(one.substring(0, eq))});
                        p.write(four(Long.parseLong(one.substring(eq + 1))));
                    }
                }
                return frame(4, flags & 1, stream, p.toByteArray());
            }
            case "ping" -> {
                return frame(
                        6,
                        flags & 1,
                        0,
                        ByteBuffer.allocate(8)
                                .putLong(Long.parseLong(w.get(w.size() - 1)))
                                .array());
            }
            case "goaway" -> {
                return frame(
                        7,
                        0,
                        0,
                        ByteBuffer.allocate(8)
                                .putInt(Integer.parseInt(w.get(1)))
                                .array());
            }
            case "frame" -> {
                // TYPE STREAM LENGTH
                return frame(
                        Integer.parseInt(w.get(1)),
                        0,
                        Integer.parseInt(w.get(2)),
                        new byte[Integer.parseInt(w.get(3))]);
            }
            default -> throw new IllegalArgumentException(w.get(0));
        }
    }

    private static byte[] four(long v) {
        return ByteBuffer.allocate(4).putInt((int) v).array();
    }

    private static byte[] frame(int type, int flags, int stream, byte[] p) {
        return ByteBuffer.allocate(9 + p.length)
                .putInt(p.length << 8 | type)
                .put((byte) flags)
                .putInt(stream)
                .put(p)
                .array();
    }

    // ---- What the client says. ----

    private void out(byte[] b) {
        if (b[0] == 'P') {
            return;
        }
        ByteBuffer f = ByteBuffer.wrap(b);
        int length = f.getInt() >>> 8;
        f.position(3);
        int type = f.get();
        int flags = f.get();
        int stream = f.getInt();
        byte[] p = new byte[length];
        f.get(p);
        String end = (flags & 1) != 0 ? " end" : "";
        said.add(
                switch (type) {
                    case 0 -> "data " + stream + " " + length + end;
                    case 1, 9 -> "headers " + stream + " " + names(p, flags) + end;
                    case 3 ->
                        "reset " + stream + " "
                                + H2.Code.numbered(ByteBuffer.wrap(p).getInt());
                    case 4 -> (flags & 1) != 0 ? "ack" : "settings";
                    case 6 ->
                        "ping " + ByteBuffer.wrap(p).getLong() + ((flags & 1) != 0 ? " ack" : "");
                    case 7 ->
                        "goaway " + H2.Code.numbered(ByteBuffer.wrap(p, 4, 4).getInt());
                    case 8 -> "update " + stream + " " + ByteBuffer.wrap(p).getInt();
                    default -> "frame " + type;
                });
    }

    private String names(byte[] p, int flags) {
        block.writeBytes(p);
        if ((flags & 4) == 0) {
            return "more";
        }
        List<String> all = new ArrayList<>();
        try {
            decoder.decode(
                    new ByteArrayInputStream(block.toByteArray()),
                    (n, v, s) -> all.add(new String(n, StandardCharsets.UTF_8)));
            decoder.endHeaderBlock();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        block = new ByteArrayOutputStream();
        return String.join(",", all);
    }

    // ---- What comes of it. ----

    @Override
    public void settled(long streams) {
        heard.add("streams " + streams);
    }

    @Override
    public void answered(Stream s) {
        heard.add("answered " + s.call + " " + s.status + " " + s.value.size()
                + (s.trailers.isEmpty() ? "" : " " + s.trailers));
    }

    @Override
    public void reset(Stream s, boolean never, boolean ours) {
        heard.add("reset " + s.call + (never ? " never" : "") + (ours ? " ours" : ""));
    }

    @Override
    public void leaving(int lastId, List<Stream> above) {
        heard.add("leaving " + lastId
                + above.stream().map(s -> " " + s.call).reduce("", String::concat));
    }

    @Override
    public void ponged(long number) {
        heard.add("ponged " + number);
    }
}

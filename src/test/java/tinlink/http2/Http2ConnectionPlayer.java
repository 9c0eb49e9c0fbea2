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
import java.util.HashSet;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Plays the frames of a scripted server against {@link Http2Connection}. The notation is described in
 * docs/scenarios.md.
 */
public final class Http2ConnectionPlayer implements StreamListener {
    private static final Map<String, Integer> SETTING_IDS = Map.of(
            "table", 1, "push", 2, "streams", 3, "window", 4, "frame", 5, "list", 6, "unknown", 99);
    /** The frames of the client that the script has not checked yet, in the notation. */
    private final ArrayDeque<String> sent = new ArrayDeque<>();
    /** The listener's events that the script has not checked yet, in the notation. */
    private final ArrayDeque<String> events = new ArrayDeque<>();
    /** The streams by the id of their request in the script. */
    private final Map<String, Http2Stream> calls = new HashMap<>();

    /** The requests of which no more may be sent. */
    private final Set<Object> overdue = new HashSet<>();

    private final Encoder encoder = new Encoder(4096);
    private final Decoder decoder = new Decoder(1 << 16, 4096);
    private final Http2Connection connection = new Http2Connection(this::recordFrame, this, 4);
    /** The bytes of the client's header block whose end has not been sent. */
    private ByteArrayOutputStream headerBlock = new ByteArrayOutputStream();

    public void play(List<String> script) {
        connection.start();
        sent.clear();
        Scenarios.play(script, ";", this::line);
        assertEquals("[] []", sent + " " + events, "unexpected frames and events");
    }

    private void line(String[] words) throws IOException {
        String rest = String.join(" ", List.of(words).subList(1, words.length));
        switch (words[0]) {
            case "<" -> assertEquals(rest, sent.isEmpty() ? "nothing" : sent.poll());
            case "=" -> assertEquals(rest, events.isEmpty() ? "nothing" : events.poll());
            case "request" -> {
                Map<String, String> fields = new LinkedHashMap<>(Map.of(":method", "POST"));
                fields.put("x-part-id", words[1]);
                calls.put(
                        words[1],
                        connection.sendRequest(
                                words[1], fields, new byte[Integer.parseInt(words[2])]));
            }
            case "cancel" -> connection.cancel(calls.get(words[1]));
            case "withdraw" -> calls.get(words[1]).withdraw();
            case "overdue" -> overdue.add(words[1]);
            case "ping" -> connection.sendPing(Long.parseLong(words[1]));
            case ">" -> {
                int times =
                        words[1].matches("x[0-9]+") ? Integer.parseInt(words[1].substring(1)) : 1;
                for (int i = 0; i < times; i++) {
                    receive(serverBytes(
                            times > 1 || words[1].equals("x1")
                                    ? List.of(words).subList(2, words.length)
                                    : List.of(words).subList(1, words.length)));
                }
            }
            default -> throw new IllegalArgumentException(words[0]);
        }
    }

    /** Whether the connection has thrown; later bytes are not read. */
    private boolean failed;

    private void receive(byte[] bytes) {
        try {
            for (int i = 0; i < bytes.length && !failed; i++) {
                connection.read(ParserPlayer.ringBuffer(new byte[] {bytes[i]}));
            }
        } catch (Http2Exception e) {
            failed = true;
            events.add("broken " + e.code);
        }
    }

    // ---- Frames of the server: TYPE STREAM [FLAGS ...] [...] ----

    private byte[] serverBytes(List<String> words) throws IOException {
        int stream = words.size() > 1 && words.get(1).matches("[0-9]+")
                ? Integer.parseInt(words.get(1))
                : 0;
        List<String> rest = words.subList(Math.min(words.size(), 2), words.size());
        int flags = (words.contains("end") ? 1 : 0)
                | (words.contains("ack") ? 1 : 0)
                | (words.contains("more") ? 0 : 4)
                | (words.contains("padded") ? 8 : 0)
                | (words.contains("prio") ? 32 : 0);
        ByteArrayOutputStream payload = new ByteArrayOutputStream();
        switch (words.get(0)) {
            case "raw" -> {
                return HexFormat.of().parseHex(String.join("", words.subList(1, words.size())));
            }
            case "data" -> {
                for (String one : rest) {
                    if (one.matches("[0-9]+")) {
                        payload.write(new byte[Integer.parseInt(one)]);
                    } else if (one.startsWith("'")) {
                        payload.writeBytes(one.substring(1).getBytes(StandardCharsets.UTF_8));
                    } else if (one.startsWith("pad=")) {
                        payload.write(Integer.parseInt(one.substring(4)));
                    }
                }
                return frame(0, flags & 9, stream, payload.toByteArray());
            }
            case "headers", "continuation" -> {
                if ((flags & 32) != 0) {
                    payload.write(new byte[5]);
                }
                for (String one : rest) {
                    int eq = one.indexOf('=');
                    if (one.matches("[0-9]+")) {
                        payload.write(new byte[Integer.parseInt(one)]);
                    } else if (eq > 0) {
                        String value = one.substring(eq + 1).replace('_', ' ');
                        encoder.encodeHeader(
                                payload,
                                one.substring(0, eq).getBytes(StandardCharsets.UTF_8),
                                value.matches("[*][0-9]+")
                                        ? new byte[Integer.parseInt(value.substring(1))]
                                        : value.getBytes(StandardCharsets.UTF_8),
                                one.startsWith("big"));
                    }
                }
                return frame(
                        words.get(0).equals("headers") ? 1 : 9,
                        flags,
                        stream,
                        payload.toByteArray());
            }
            case "reset", "update" -> {
                return frame(
                        words.get(0).equals("reset") ? 3 : 8,
                        0,
                        stream,
                        fourBytes(Long.parseLong(rest.get(0))));
            }
            case "settings" -> {
                for (String one : words.subList(1, words.size())) {
                    int eq = one.indexOf('=');
                    if (eq > 0) {
                        payload.write(new byte[] {
                            0, (byte) (int) SETTING_IDS.get(one.substring(0, eq))
                        });
                        payload.write(fourBytes(Long.parseLong(one.substring(eq + 1))));
                    }
                }
                return frame(4, flags & 1, stream, payload.toByteArray());
            }
            case "ping" -> {
                return frame(
                        6,
                        flags & 1,
                        0,
                        ByteBuffer.allocate(8)
                                .putLong(Long.parseLong(words.get(words.size() - 1)))
                                .array());
            }
            case "goaway" -> {
                return frame(
                        7,
                        0,
                        0,
                        ByteBuffer.allocate(8)
                                .putInt(Integer.parseInt(words.get(1)))
                                .array());
            }
            case "frame" -> {
                // TYPE STREAM LENGTH
                return frame(
                        Integer.parseInt(words.get(1)),
                        0,
                        Integer.parseInt(words.get(2)),
                        new byte[Integer.parseInt(words.get(3))]);
            }
            default -> throw new IllegalArgumentException(words.get(0));
        }
    }

    private static byte[] fourBytes(long value) {
        return ByteBuffer.allocate(4).putInt((int) value).array();
    }

    private static byte[] frame(int type, int flags, int stream, byte[] payload) {
        return ByteBuffer.allocate(9 + payload.length)
                .putInt(payload.length << 8 | type)
                .put((byte) flags)
                .putInt(stream)
                .put(payload)
                .array();
    }

    // ---- Frames of the client. ----

    private void recordFrame(byte[] bytes) {
        if (bytes[0] == 'P') {
            return; // The preface is not a frame.
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        int length = buffer.getInt() >>> 8;
        buffer.position(3);
        int type = buffer.get();
        int flags = buffer.get();
        int stream = buffer.getInt();
        byte[] payload = new byte[length];
        buffer.get(payload);
        String end = (flags & 1) != 0 ? " end" : "";
        sent.add(
                switch (type) {
                    case 0 -> "data " + stream + " " + length + end;
                    case 1, 9 -> "headers " + stream + " " + headerNames(payload, flags) + end;
                    case 3 ->
                        "reset " + stream + " "
                                + Http2Constants.ErrorCode.ofNumber(
                                        ByteBuffer.wrap(payload).getInt());
                    case 4 -> (flags & 1) != 0 ? "ack" : "settings";
                    case 6 ->
                        "ping " + ByteBuffer.wrap(payload).getLong()
                                + ((flags & 1) != 0 ? " ack" : "");
                    case 7 ->
                        "goaway "
                                + Http2Constants.ErrorCode.ofNumber(
                                        ByteBuffer.wrap(payload, 4, 4).getInt());
                    case 8 ->
                        "update " + stream + " " + ByteBuffer.wrap(payload).getInt();
                    default -> "frame " + type;
                });
    }

    private String headerNames(byte[] payload, int flags) {
        headerBlock.writeBytes(payload);
        if ((flags & 4) == 0) {
            return "more";
        }
        List<String> all = new ArrayList<>();
        try {
            decoder.decode(
                    new ByteArrayInputStream(headerBlock.toByteArray()),
                    (n, v, s) -> all.add(new String(n, StandardCharsets.UTF_8)));
            decoder.endHeaderBlock();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        headerBlock = new ByteArrayOutputStream();
        return String.join(",", all);
    }

    // ---- Events of the connection. ----

    @Override
    public void onMaxStreams(long maxStreams) {
        events.add("streams " + maxStreams);
    }

    @Override
    public boolean maySend(Http2Stream stream) {
        return !overdue.contains(stream.call);
    }

    @Override
    public void onResponse(Http2Stream stream) {
        events.add(
                "answered " + stream.call + " " + stream.status + " " + stream.responseBody.size()
                        + (stream.trailers.isEmpty() ? "" : " " + stream.trailers));
    }

    @Override
    public void onStreamReset(Http2Stream stream, boolean notProcessed, boolean malformed) {
        events.add("reset " + stream.call + (notProcessed ? " never" : "")
                + (malformed ? " ours" : ""));
    }

    @Override
    public void onGoAway(int lastStreamId, List<Http2Stream> above) {
        events.add("leaving " + lastStreamId
                + above.stream().map(stream -> " " + stream.call).reduce("", String::concat));
    }

    @Override
    public void onPingAck(long number) {
        events.add("ponged " + number);
    }
}

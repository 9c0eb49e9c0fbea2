package tinlink.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Feeds one input to its parser in one piece, byte by byte, and split in two at every position. */
public final class ParserPlayer implements HttpReader.MessageListener, FrameReader.FrameListener {
    private final List<String> events = new ArrayList<>();
    private StringBuilder body = new StringBuilder();

    private ParserPlayer() {}

    /**
     * Runs one scenario; the first word of its title names the parser. docs/scenarios.md describes
     * the notation.
     */
    public static void play(String title, List<String> lines) {
        ByteArrayOutputStream in = new ByteArrayOutputStream();
        List<String> expected = new ArrayList<>();
        for (String line : lines) {
            if (line.startsWith("> ")) {
                in.writeBytes(bytes(line.substring(2)));
            } else if (line.startsWith(">frame ")) {
                byte[] rest = bytes(line.substring(7));
                in.writeBytes(ByteBuffer.allocate(4).putInt(rest.length).array());
                in.writeBytes(rest);
            } else if (line.startsWith("< ") || line.startsWith("! ")) {
                expected.add(line);
            }
        }
        byte[] input = in.toByteArray();
        String kind = title.split(":", 0)[0];
        assertEquals(expected, run(kind, input, 0, 1), "byte by byte");
        for (int cut = 0; cut <= input.length; cut++) {
            assertEquals(expected, run(kind, input, cut, Integer.MAX_VALUE), "cut at " + cut);
        }
        playCorrupted(kind, input);
    }

    /**
     * Checks that a parser accepts or rejects corrupted input without any other exception, and with
     * the same result however the input is split.
     */
    private static void playCorrupted(String kind, byte[] input) {
        SplittableRandom random = new SplittableRandom(input.length);
        for (int i = 0; i < 200 && input.length > 0; i++) {
            byte[] corrupted = input.clone();
            for (int count = random.nextInt(1, 5); count > 0; count--) {
                corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt(256);
            }
            assertEquals(
                    run(kind, corrupted, 0, 1),
                    run(kind, corrupted, random.nextInt(corrupted.length + 1), 1 << 20));
        }
    }

    /** Decodes the escaped notation of scenario files into bytes. */
    public static byte[] bytes(String escaped) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int i = 0; i < escaped.length(); i++) {
            char c = escaped.charAt(i);
            char next = c == '\\' && i + 1 < escaped.length() ? escaped.charAt(i + 1) : ' ';
            if (next == 'x') {
                out.write(Integer.parseInt(escaped.substring(i + 2, i + 4), 16));
                i += 3;
            } else if (next == 'r' || next == 'n') {
                out.write(next == 'r' ? '\r' : '\n');
                i++;
            } else if (next == '*') { // \*N,x stands for N repetitions of x
                int comma = escaped.indexOf(',', i);
                int times = Integer.parseInt(escaped.substring(i + 2, comma));
                out.writeBytes(escaped.substring(comma + 1, comma + 2)
                        .repeat(times)
                        .getBytes(StandardCharsets.UTF_8));
                i = comma + 1;
            } else {
                out.writeBytes(String.valueOf(c).getBytes(StandardCharsets.UTF_8));
            }
        }
        return out.toByteArray();
    }

    private static List<String> run(String kind, byte[] input, int cut, int step) {
        ParserPlayer player = new ParserPlayer();
        RingBuffer ring = new RingBuffer(new RingBufferPool());
        HttpReader http = kind.equals("answer")
                ? HttpReader.forResponses(player)
                : HttpReader.forRequests(player);
        FrameReader frames = new FrameReader(player);
        JsonReader json = new JsonReader(HeapCharge.UNLIMITED);
        try {
            for (int at = 0; at < input.length; ) {
                int count = Math.min(step, (at < cut ? cut : input.length) - at);
                if (kind.equals("json")) {
                    json.read(ByteBuffer.wrap(input, at, count));
                } else {
                    ring.put(input, at, count);
                    while (ring.size() > 0) {
                        if (kind.equals("frames")) {
                            frames.read(ring);
                        } else {
                            http.read(ring);
                        }
                    }
                }
                at += count;
            }
            if (kind.equals("json")) {
                player.events.add("< " + String.valueOf(json.value()).replace('\n', '␊'));
            }
            if (player.body.length() > 0) {
                player.events.add("< body " + player.body);
            }
        } catch (MessageRejectedException e) {
            player.events.add("! " + e.status + " " + e.getMessage());
        }
        return player.events;
    }

    @Override
    public void startLine(String first, String second, String third) {
        events.add("< first " + first + "|" + second + "|" + third);
    }

    @Override
    public void header(String name, String value) {
        events.add("< " + name + ": " + value);
    }

    @Override
    public void headersEnded() {
        body = new StringBuilder();
    }

    @Override
    public void body(ByteBuffer piece) {
        body.append(StandardCharsets.UTF_8.decode(piece));
    }

    @Override
    public void messageEnded() {
        events.add("< over " + (body.length() > 99 ? body.length() + " bytes" : body));
        body = new StringBuilder();
    }

    @Override
    public void answerStarted(String partId) {
        // Every answer is accepted, as if its attempt had been sent.
    }

    @Override
    public void answerReceived(String partId, String status, String loadReport, String value) {
        events.add(
                ("< " + partId + " " + status + " " + loadReport + " " + value).replace('\n', '␊'));
    }

    @Override
    public void frameRejected(String message) {
        events.add("< rejected " + message);
    }

    /** Returns a ring buffer that holds the bytes, like the input buffer of a connection. */
    public static RingBuffer ringBuffer(byte[] bytes) {
        return new RingBuffer(new RingBufferPool()).put(bytes);
    }
}

package tinlink.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Plays one input through its parser: whole, byte by byte, and cut in two at every byte. */
public final class ParserPlayer implements HttpReader.Sink, FrameReader.Sink {
    private final List<String> heard = new ArrayList<>();
    private StringBuilder body = new StringBuilder();

    private ParserPlayer() {}

    /** The first word of the title names the parser; docs/scenarios.md has the notation. */
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
        byte[] all = in.toByteArray();
        String kind = title.split(":", 0)[0];
        assertEquals(expected, run(kind, all, 0, 1), "byte by byte");
        for (int cut = 0; cut <= all.length; cut++) {
            assertEquals(expected, run(kind, all, cut, Integer.MAX_VALUE), "cut at " + cut);
        }
        garbled(kind, all);
    }

    /**
     * Whatever comes in, a parser reads it or refuses it: nothing else is thrown, however it is
     * cut.
     */
    private static void garbled(String kind, byte[] all) {
        SplittableRandom chance = new SplittableRandom(all.length);
        for (int i = 0; i < 200 && all.length > 0; i++) {
            byte[] other = all.clone();
            for (int n = chance.nextInt(1, 5); n > 0; n--) {
                other[chance.nextInt(other.length)] = (byte) chance.nextInt(256);
            }
            assertEquals(
                    run(kind, other, 0, 1),
                    run(kind, other, chance.nextInt(other.length + 1), 1 << 20));
        }
    }

    /** Bytes from their escaped form. */
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
            } else if (next == '*') { // \*N,x stands for N times x
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

    private static List<String> run(String kind, byte[] all, int cut, int step) {
        ParserPlayer p = new ParserPlayer();
        Ring ring = new Ring(new Rings());
        HttpReader http =
                kind.equals("answer") ? HttpReader.ofAnswers(p) : HttpReader.ofRequests(p);
        FrameReader frames = new FrameReader(p);
        JsonReader json = new JsonReader();
        try {
            for (int at = 0; at < all.length; ) {
                int n = Math.min(step, (at < cut ? cut : all.length) - at);
                if (kind.equals("json")) {
                    json.read(ByteBuffer.wrap(all, at, n));
                } else {
                    ring.put(all, at, n);
                    while (ring.size() > 0) {
                        if (kind.equals("frames")) {
                            frames.read(ring);
                        } else {
                            http.read(ring);
                        }
                    }
                }
                at += n;
            }
            if (kind.equals("json")) {
                p.heard.add("< " + String.valueOf(json.value()).replace('\n', '␊'));
            }
            if (p.body.length() > 0) {
                p.heard.add("< body " + p.body);
            }
        } catch (BadMessage e) {
            p.heard.add("! " + e.status + " " + e.getMessage());
        }
        return p.heard;
    }

    @Override
    public void first(String one, String two, String three) {
        heard.add("< first " + one + "|" + two + "|" + three);
    }

    @Override
    public void field(String name, String value) {
        heard.add("< " + name + ": " + value);
    }

    @Override
    public void headOver() {
        body = new StringBuilder();
    }

    @Override
    public void body(ByteBuffer piece) {
        body.append(StandardCharsets.UTF_8.decode(piece));
    }

    @Override
    public void over() {
        heard.add("< over " + (body.length() > 99 ? body.length() + " bytes" : body));
        body = new StringBuilder();
    }

    @Override
    public void begins(String id) {
        // Each answer is to a call that was sent.
    }

    @Override
    public void ended(String id, String end, String report, String value) {
        heard.add(("< " + id + " " + end + " " + report + " " + value).replace('\n', '␊'));
    }

    @Override
    public void rejected(String words) {
        heard.add("< rejected " + words);
    }

    /** Bytes as they lie in a link's ring. */
    public static Ring ring(byte[] bytes) {
        return new Ring(new Rings()).put(bytes);
    }
}

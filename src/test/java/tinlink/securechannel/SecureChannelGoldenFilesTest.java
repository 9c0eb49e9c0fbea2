package tinlink.securechannel;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import tinlink.GoldenFile;
import tinlink.net.CloseReason;
import tinlink.net.EventLoop;
import tinlink.net.EventLoopParticipant;
import tinlink.net.MessageRejectedException;
import tinlink.net.Network;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;

/** Proofs, seals and frames of links between routers, byte for byte as earlier builds made them. */
@Timeout(30)
class SecureChannelGoldenFilesTest {
    private static final byte[] SECRET = ascii("a secret that both sides know....");
    private static final int FRAMES = 3;

    private final EventLoop loop = new EventLoop();
    private Network network;

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    private static byte[] body(int number) {
        byte[] body = new byte[number * 40];
        for (int i = 0; i < body.length; i++) {
            body[i] = (byte) (number + i * 7);
        }
        return body;
    }

    private static byte type(int number) {
        return (byte) (number + 3);
    }

    @BeforeEach
    void start() throws IOException {
        network = new Network(loop);
        Thread thread = new Thread(
                () -> loop.run(new EventLoopParticipant() {
                    @Override
                    public void turnStarted(long nowUs) {}

                    @Override
                    public void turnEnding() {}
                }),
                "golden-frames");
        thread.setDaemon(true);
        thread.start();
    }

    @AfterEach
    void stop() {
        loop.execute(() -> {
            network.close();
            loop.stop();
        });
    }

    // ---- What messages are made of. ----

    private static Map<String, String> pieces() {
        Map<String, String> all = new LinkedHashMap<>();
        all.put("one-byte", made(new MessageCodec.Builder().putByte(0xfe)));
        all.put("two-bytes", made(new MessageCodec.Builder().putShort(0x0102)));
        all.put("four-bytes", made(new MessageCodec.Builder().putInt(0x01020304)));
        all.put("eight-bytes", made(new MessageCodec.Builder().putLong(0x0102030405060708L)));
        all.put("text", made(new MessageCodec.Builder().putText("router é")));
        all.put("long-text", made(new MessageCodec.Builder().putLongText("line é\twith a tab")));
        all.put("raw-bytes", made(new MessageCodec.Builder().putBytes(new byte[] {9, 8, 7})));
        all.put(
                "past-the-first-buffer",
                made(new MessageCodec.Builder().putBytes(body(3)).putLong(-2).putText("")));
        return all;
    }

    private static String made(MessageCodec.Builder out) {
        return GoldenFile.hex(out.build());
    }

    @Test
    void piecesOfMessagesAreWrittenAndReadAsTheyWere() throws Exception {
        String file = "channel-pieces.txt";
        GoldenFile.holds(file, "Pieces of messages between routers, in hex.", pieces());
        Map<String, ByteBuffer> in = new LinkedHashMap<>();
        GoldenFile.read(file).forEach((k, v) -> in.put(k, ByteBuffer.wrap(GoldenFile.bytes(v))));
        assertEquals((byte) 0xfe, in.get("one-byte").get());
        assertEquals(0x0102, in.get("two-bytes").getShort());
        assertEquals(0x01020304, in.get("four-bytes").getInt());
        assertEquals(0x0102030405060708L, in.get("eight-bytes").getLong());
        assertEquals("router é", MessageCodec.readText(in.get("text")));
        assertEquals("line é\twith a tab", MessageCodec.readLongText(in.get("long-text"), 100));
        assertArrayEquals(new byte[] {9, 8, 7}, MessageCodec.readBytes(in.get("raw-bytes"), 3));
        assertArrayEquals(body(3), MessageCodec.readBytes(in.get("past-the-first-buffer"), 120));
        assertEquals(-2, in.get("past-the-first-buffer").getLong());
        assertEquals("", MessageCodec.readText(in.get("past-the-first-buffer")));
        in.forEach((name, rest) -> assertEquals(0, rest.remaining(), name));
    }

    // ---- Proofs and seals. ----

    @Test
    void proofsAndSealsAreAsTheyWere() throws Exception {
        KeyRing keys = new KeyRing(
                Map.of("k1", ascii("0123456789abcdef"), "k2", ascii("fedcba9876543210")), "k2");
        Map<String, String> all = new LinkedHashMap<>();
        all.put("proof-of-two-pieces", GoldenFile.hex(keys.proof("k1", "label", body(1), body(2))));
        all.put(
                "proof-by-key-in-use",
                GoldenFile.hex(keys.proof(keys.activeKeyId(), "session", body(1))));
        all.put("key-of-one-direction", GoldenFile.hex(KeyRing.mac(SECRET, "to the far side")));
        FrameAuthenticator authenticator = new FrameAuthenticator(SECRET);
        for (int i = 0; i < FRAMES; i++) {
            byte[] b = body(i);
            all.put("seal-" + i, GoldenFile.hex(authenticator.nextTag(type(i), b, 0, b.length)));
        }
        GoldenFile.holds("channel-proofs.txt", "HMAC-SHA256 proofs and seals, in hex.", all);
    }

    // ---- Frames on a connection. ----

    /** One side of a connection; what it hears is written down. */
    private static final class Side extends SecureSession {
        private static final Logger LOG = Logger.getLogger("tinlink.golden");
        final CompletableFuture<Void> up = new CompletableFuture<>();
        final BlockingQueue<String> heard = new LinkedBlockingQueue<>();

        Side(EventLoop loop) {
            super(loop, 5_000_000, 1 << 10, 1 << 16);
        }

        void seals(boolean near) {
            enableAuthentication(SECRET, near);
        }

        @Override
        public void connected() {
            up.complete(null);
        }

        @Override
        protected void onMessage(byte type, ByteBuffer body, byte[] frame)
                throws MessageRejectedException {
            heard.add(shown(type, MessageCodec.readBytes(body, body.remaining())));
        }

        @Override
        protected void onClosed(CloseReason how) {
            heard.add("over");
        }

        @Override
        protected String peerName() {
            return "golden";
        }

        @Override
        protected void incrementCounter(String what) {
            heard.add(what);
        }

        @Override
        protected Logger logger() {
            return LOG;
        }
    }

    private static String shown(byte type, byte[] body) {
        return type + " " + GoldenFile.hex(body);
    }

    /** A side of the code under test, with a plain socket at its other end. */
    private final class Connection implements AutoCloseable {
        final Side side = new Side(loop);
        final Socket socket;
        final DataInputStream in;

        Connection() throws Exception {
            try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                InetSocketAddress at = (InetSocketAddress) server.getLocalSocketAddress();
                loop.execute(() -> {
                    try {
                        side.attach(network.connect(at, side), 5_000_000);
                    } catch (IOException e) {
                        side.up.completeExceptionally(e);
                    }
                });
                socket = server.accept();
                socket.setSoTimeout(5000);
            }
            in = new DataInputStream(socket.getInputStream());
            side.up.get(5, TimeUnit.SECONDS);
        }

        String frame() throws IOException {
            byte[] head = in.readNBytes(4);
            byte[] rest = in.readNBytes(ByteBuffer.wrap(head).getInt());
            return GoldenFile.hex(head) + GoldenFile.hex(rest);
        }

        String heard() throws InterruptedException {
            return side.heard.poll(5, TimeUnit.SECONDS);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private List<String> writes(boolean near) throws Exception {
        List<String> frames = new ArrayList<>();
        try (Connection c = new Connection()) {
            loop.execute(() -> {
                c.side.send(type(0), body(1));
                c.side.seals(near);
                for (int i = 0; i < FRAMES; i++) {
                    c.side.send(type(i), body(i));
                }
            });
            for (int i = 0; i < FRAMES + 1; i++) {
                frames.add(c.frame());
            }
        }
        return frames;
    }

    @Test
    void framesAreWrittenAndReadAsTheyWere() throws Exception {
        Map<String, String> all = new LinkedHashMap<>();
        for (String side : List.of("near", "far")) {
            List<String> frames = writes(side.equals("near"));
            all.put(side + "-unsealed", frames.get(0));
            for (int i = 0; i < FRAMES; i++) {
                all.put(side + "-sealed-" + i, frames.get(i + 1));
            }
        }
        String file = "channel-frames.txt";
        GoldenFile.holds(file, "Whole frames by a fixed secret, in hex.", all);
        Map<String, String> golden = GoldenFile.read(file);
        for (String side : List.of("near", "far")) {
            hears(golden, side);
        }
    }

    /** What the one side has written, the other reads; no changed byte is read as if it were none. */
    private void hears(Map<String, String> golden, String side) throws Exception {
        try (Connection c = new Connection()) {
            c.socket.getOutputStream().write(GoldenFile.bytes(golden.get(side + "-unsealed")));
            assertEquals(shown(type(0), body(1)), c.heard());
            CompletableFuture<Void> sealed = new CompletableFuture<>();
            loop.execute(() -> {
                c.side.seals(side.equals("far"));
                sealed.complete(null);
            });
            sealed.get(5, TimeUnit.SECONDS);
            for (int i = 0; i < FRAMES; i++) {
                c.socket
                        .getOutputStream()
                        .write(GoldenFile.bytes(golden.get(side + "-sealed-" + i)));
                assertEquals(shown(type(i), body(i)), c.heard());
            }
            assertTrue(c.side.heard.isEmpty());
        }
        try (Connection c = new Connection()) {
            byte[] corrupted = GoldenFile.bytes(golden.get(side + "-sealed-0"));
            corrupted[corrupted.length - 1] ^= 1;
            loop.execute(() -> c.side.seals(side.equals("far")));
            c.socket.getOutputStream().write(corrupted);
            assertEquals("malformed", c.heard());
            assertEquals("over", c.heard());
        }
    }
}

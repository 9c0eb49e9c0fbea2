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

/**
 * Compares proofs, authentication tags and frames of connections between routers byte for byte with
 * golden files that earlier builds have written.
 */
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

    // ---- Fields of messages ----

    private static Map<String, String> encodedFields() {
        Map<String, String> all = new LinkedHashMap<>();
        all.put("one-byte", encoded(new MessageCodec.Builder().putByte(0xfe)));
        all.put("two-bytes", encoded(new MessageCodec.Builder().putShort(0x0102)));
        all.put("four-bytes", encoded(new MessageCodec.Builder().putInt(0x01020304)));
        all.put("eight-bytes", encoded(new MessageCodec.Builder().putLong(0x0102030405060708L)));
        all.put("text", encoded(new MessageCodec.Builder().putText("router é")));
        all.put("long-text", encoded(new MessageCodec.Builder().putLongText("line é\twith a tab")));
        all.put("raw-bytes", encoded(new MessageCodec.Builder().putBytes(new byte[] {9, 8, 7})));
        all.put(
                "past-the-first-buffer",
                encoded(new MessageCodec.Builder().putBytes(body(3)).putLong(-2).putText("")));
        return all;
    }

    private static String encoded(MessageCodec.Builder builder) {
        return GoldenFile.hex(builder.build());
    }

    @Test
    void fieldsAreEncodedAndDecodedAsInTheGoldenFile() throws Exception {
        String file = "channel-pieces.txt";
        GoldenFile.holds(file, "Pieces of messages between routers, in hex.", encodedFields());
        Map<String, ByteBuffer> fields = new LinkedHashMap<>();
        GoldenFile.read(file)
                .forEach((name, hex) -> fields.put(name, ByteBuffer.wrap(GoldenFile.bytes(hex))));
        assertEquals((byte) 0xfe, fields.get("one-byte").get());
        assertEquals(0x0102, fields.get("two-bytes").getShort());
        assertEquals(0x01020304, fields.get("four-bytes").getInt());
        assertEquals(0x0102030405060708L, fields.get("eight-bytes").getLong());
        assertEquals("router é", MessageCodec.readText(fields.get("text")));
        assertEquals("line é\twith a tab", MessageCodec.readLongText(fields.get("long-text"), 100));
        assertArrayEquals(new byte[] {9, 8, 7}, MessageCodec.readBytes(fields.get("raw-bytes"), 3));
        assertArrayEquals(
                body(3), MessageCodec.readBytes(fields.get("past-the-first-buffer"), 120));
        assertEquals(-2, fields.get("past-the-first-buffer").getLong());
        assertEquals("", MessageCodec.readText(fields.get("past-the-first-buffer")));
        fields.forEach((name, rest) -> assertEquals(0, rest.remaining(), name));
    }

    // ---- Proofs and authentication tags ----

    @Test
    void proofsAndTagsAreAsInTheGoldenFile() throws Exception {
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
            byte[] body = body(i);
            byte[] tag = authenticator.nextTag(type(i), body, 0, body.length);
            all.put("seal-" + i, GoldenFile.hex(tag));
        }
        GoldenFile.holds("channel-proofs.txt", "HMAC-SHA256 proofs and seals, in hex.", all);
    }

    // ---- Frames on a connection ----

    /** The session under test; it records the messages and events that it receives. */
    private static final class RecordingSession extends SecureSession {
        private static final Logger LOG = Logger.getLogger("tinlink.golden");
        final CompletableFuture<Void> connected = new CompletableFuture<>();
        final BlockingQueue<String> events = new LinkedBlockingQueue<>();

        RecordingSession(EventLoop loop) {
            super(loop, 5_000_000, 1 << 10, 1 << 16);
        }

        void authenticate(boolean initiator) {
            enableAuthentication(SECRET, initiator);
        }

        @Override
        public void connected() {
            connected.complete(null);
        }

        @Override
        protected void onMessage(byte type, ByteBuffer body, byte[] frame)
                throws MessageRejectedException {
            events.add(message(type, MessageCodec.readBytes(body, body.remaining())));
        }

        @Override
        protected void onClosed(CloseReason closeReason) {
            events.add("closed");
        }

        @Override
        protected String peerName() {
            return "golden";
        }

        @Override
        protected void incrementCounter(String counter) {
            events.add(counter);
        }

        @Override
        protected Logger logger() {
            return LOG;
        }
    }

    private static String message(byte type, byte[] body) {
        return type + " " + GoldenFile.hex(body);
    }

    /** A connection between the session under test and a plain socket. */
    private final class Connection implements AutoCloseable {
        final RecordingSession session = new RecordingSession(loop);
        final Socket socket;
        final DataInputStream input;

        Connection() throws Exception {
            try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
                loop.execute(() -> {
                    try {
                        session.attach(network.connect(address, session), 5_000_000);
                    } catch (IOException e) {
                        session.connected.completeExceptionally(e);
                    }
                });
                socket = server.accept();
                socket.setSoTimeout(5000);
            }
            input = new DataInputStream(socket.getInputStream());
            session.connected.get(5, TimeUnit.SECONDS);
        }

        String readFrame() throws IOException {
            byte[] length = input.readNBytes(4);
            byte[] rest = input.readNBytes(ByteBuffer.wrap(length).getInt());
            return GoldenFile.hex(length) + GoldenFile.hex(rest);
        }

        String nextEvent() throws InterruptedException {
            return session.events.poll(5, TimeUnit.SECONDS);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private List<String> sentFrames(boolean initiator) throws Exception {
        List<String> frames = new ArrayList<>();
        try (Connection connection = new Connection()) {
            loop.execute(() -> {
                connection.session.send(type(0), body(1));
                connection.session.authenticate(initiator);
                for (int i = 0; i < FRAMES; i++) {
                    connection.session.send(type(i), body(i));
                }
            });
            for (int i = 0; i < FRAMES + 1; i++) {
                frames.add(connection.readFrame());
            }
        }
        return frames;
    }

    @Test
    void framesAreSentAndReceivedAsInTheGoldenFile() throws Exception {
        Map<String, String> all = new LinkedHashMap<>();
        for (String side : List.of("near", "far")) {
            List<String> frames = sentFrames(side.equals("near"));
            all.put(side + "-unsealed", frames.get(0));
            for (int i = 0; i < FRAMES; i++) {
                all.put(side + "-sealed-" + i, frames.get(i + 1));
            }
        }
        String file = "channel-frames.txt";
        GoldenFile.holds(file, "Whole frames by a fixed secret, in hex.", all);
        Map<String, String> golden = GoldenFile.read(file);
        for (String side : List.of("near", "far")) {
            assertFramesAreReceived(golden, side);
        }
    }

    /**
     * Checks that the other side receives the frames of one side, and that it closes the connection
     * on a frame with a corrupted tag.
     */
    private void assertFramesAreReceived(Map<String, String> golden, String side) throws Exception {
        try (Connection connection = new Connection()) {
            connection
                    .socket
                    .getOutputStream()
                    .write(GoldenFile.bytes(golden.get(side + "-unsealed")));
            assertEquals(message(type(0), body(1)), connection.nextEvent());
            CompletableFuture<Void> authenticated = new CompletableFuture<>();
            loop.execute(() -> {
                connection.session.authenticate(side.equals("far"));
                authenticated.complete(null);
            });
            authenticated.get(5, TimeUnit.SECONDS);
            for (int i = 0; i < FRAMES; i++) {
                connection
                        .socket
                        .getOutputStream()
                        .write(GoldenFile.bytes(golden.get(side + "-sealed-" + i)));
                assertEquals(message(type(i), body(i)), connection.nextEvent());
            }
            assertTrue(connection.session.events.isEmpty());
        }
        try (Connection connection = new Connection()) {
            byte[] corrupted = GoldenFile.bytes(golden.get(side + "-sealed-0"));
            corrupted[corrupted.length - 1] ^= 1;
            loop.execute(() -> connection.session.authenticate(side.equals("far")));
            connection.socket.getOutputStream().write(corrupted);
            assertEquals("malformed", connection.nextEvent());
            assertEquals("closed", connection.nextEvent());
        }
    }
}

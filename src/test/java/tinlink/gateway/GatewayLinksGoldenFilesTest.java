package tinlink.gateway;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import tinlink.GoldenFile;
import tinlink.decision.Outcome;
import tinlink.gateway.forwarding.PartStatus;
import tinlink.gateway.forwarding.RemoteRouter;
import tinlink.net.EventLoop;
import tinlink.net.Network;
import tinlink.securechannel.FrameAuthenticator;
import tinlink.securechannel.KeyRing;
import tinlink.securechannel.MessageCodec;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * Compares all messages between routers of two sites byte for byte with those of earlier builds. A gateway
 * exchanges messages with a plain socket: the forwarding and the receiving side must write the recorded
 * messages and must read the recorded messages of the other side. The socket computes and checks the tags,
 * which are not recorded.
 */
@Timeout(120)
@SuppressWarnings("EnumOrdinal") // The records contain the ordinals of constants.
class GatewayLinksGoldenFilesTest {
    private static final String FILE = "gateway-links.txt";
    private static final KeyRing KEYS =
            new KeyRing(Map.of("k1", "0123456789abcdef".getBytes(StandardCharsets.US_ASCII)), "k1");
    private static final int HELLO = 1;
    private static final int CHALLENGE = 2;
    private static final int PROOF = 3;
    private static final int FORWARD_PART = 4;
    private static final int CANCEL_PART = 5;
    private static final int STATUS_QUERY = 6;
    private static final int HEARTBEAT = 7;
    private static final int HEARTBEAT_ACK = 8;
    private static final int PART_STATUS = 9;
    private static final int CREDIT_WINDOW = 10;
    private static final int SERVED_CELLS = 11;
    private static final int GO_AWAY = 12;

    private static final int NONCE_BYTES = 32;
    private static final int PROOF_BYTES = 32;
    private static final int TAG_BYTES = 16;
    /** Offsets of the times in FORWARD_PART and PART_STATUS messages. */
    private static final int REMAINING_OFFSET = 9;

    private static final int EFFECT_REMAINING_OFFSET = 17;
    private static final int SINCE_ACK_OFFSET = 33;
    private static final int DURATION_OFFSET = 12;
    private static final long SECOND_US = 1_000_000;
    private static final long RETRY_AFTER_US = 250_000;
    private static final byte[] TEXT = "a query é".getBytes(StandardCharsets.UTF_8);
    private static final byte[] VALUE = "its value".getBytes(StandardCharsets.UTF_8);

    private final List<AutoCloseable> open = new ArrayList<>();

    @AfterEach
    void closeAll() throws Exception {
        for (int i = open.size() - 1; i >= 0; i--) {
            open.get(i).close();
        }
    }

    // ---- The code under test: the gateway of one router. ----

    private final class TestRouter implements AutoCloseable, PartHandler {
        final EventLoop loop = new EventLoop();
        final Network network = new Network(loop);
        final Gateway gateway;
        final BlockingQueue<String> ended = new LinkedBlockingQueue<>();
        final BlockingQueue<IncomingPart> started = new LinkedBlockingQueue<>();
        final BlockingQueue<IncomingPart> cancelled = new LinkedBlockingQueue<>();
        final BlockingQueue<BitSet> served = new LinkedBlockingQueue<>();
        volatile RemoteRouter remoteRouter;

        /** Creates a forwarding gateway if there is a remote address to connect to, else a receiving one. */
        TestRouter(InetSocketAddress remoteAddress) throws IOException {
            boolean forwarding = remoteAddress != null;
            gateway = new Gateway(
                    loop,
                    network,
                    new Gateway.Settings(
                            forwarding
                                    ? new Gateway.Identity(
                                            "east", "e1", 0x0102030405060708L, Set.of())
                                    : new Gateway.Identity("west", "w1", -2, Set.of("east")),
                            new Gateway.Timing(2 * SECOND_US, 5_000_000, 20_000_000, 20_000_000),
                            new Gateway.Limits(8, 16, 1 << 16, 4, 4),
                            forwarding
                                    ? List.of(new Gateway.RemoteEndpoint(
                                            "west", "w1", List.of(remoteAddress)))
                                    : List.of(),
                            1),
                    KEYS,
                    this);
            if (!forwarding) {
                gateway.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            }
            Thread thread = new Thread(() -> loop.run(gateway.turn()), forwarding ? "near" : "far");
            thread.setDaemon(true);
            thread.start();
            open.add(this);
            loop.execute(() -> {});
        }

        @Override
        public void partEnded(OutgoingPart part, Outcome outcome, long durationUs) {
            String value = part.value == null ? "" : GoldenFile.hex(part.value);
            ended.add(part.attachment + " " + outcome.ordinal() + " " + value + " "
                    + part.retryAfterUs + " " + durationUs);
        }

        @Override
        public void cellsChanged(RemoteRouter router, BitSet cells, long roundTripUs) {
            remoteRouter = router;
            served.add((BitSet) cells.clone());
        }

        @Override
        public void startPart(IncomingPart part) {
            started.add(part);
        }

        @Override
        public void cancelPart(IncomingPart part) {
            cancelled.add(part);
        }

        /** The expected end of a part, in the format of {@link #partEnded}. */
        String expectedEnd(String attachment, Outcome outcome, byte[] value, long retryAfterUs) {
            return attachment + " " + outcome.ordinal() + " "
                    + (value == null ? "" : GoldenFile.hex(value)) + " " + retryAfterUs + " "
                    + (outcome == Outcome.SATISFIED ? 1 : -1);
        }

        OutgoingPart forward(String attachment, String key, boolean clientRetry) {
            CompletableFuture<OutgoingPart> sent = new CompletableFuture<>();
            loop.execute(() -> {
                long until = loop.nowUs() + 10 * SECOND_US;
                OutgoingPart part = new OutgoingPart(
                        attachment,
                        loop.nowUs(),
                        until,
                        3,
                        false,
                        new PartContent("q1.é", "sum", 0x01020304, key, TEXT, clientRetry),
                        key == null ? Long.MAX_VALUE : until);
                gateway.forward(remoteRouter, part);
                sent.complete(part);
            });
            return sent.join();
        }

        void cancel(OutgoingPart part) {
            loop.execute(() -> gateway.cancel(remoteRouter, part));
        }

        void endPart(IncomingPart part, PartStatus status, byte[] value, long retryAfterUs) {
            loop.execute(() -> gateway.partEnded(part, status, value, retryAfterUs));
        }

        void announceCells(BitSet cells) {
            loop.execute(() -> gateway.announceCells(cells));
        }

        void startDraining() {
            loop.execute(gateway::startDraining);
        }

        int window() {
            return loop.submitAndWait(() -> remoteRouter.creditWindow());
        }

        /** The decoded fields of a part. */
        String describe(IncomingPart part) {
            PartContent content = part.content;
            return content.id() + " " + content.lookupClass() + " " + content.shard() + " "
                    + content.idempotencyKey() + " " + GoldenFile.hex(content.text()) + " "
                    + content.clientRetry();
        }

        @Override
        public void close() {
            loop.execute(() -> {
                network.close();
                loop.stop();
            });
        }
    }

    // ---- The plain sockets. ----

    private static byte[] frame(int type, byte[] body, byte[] tag) {
        return ByteBuffer.allocate(5 + body.length + tag.length)
                .putInt(1 + body.length + tag.length)
                .put((byte) type)
                .put(body)
                .put(tag)
                .array();
    }

    private static byte[] body(byte[] whole) {
        return Arrays.copyOfRange(whole, 1, whole.length);
    }

    private static byte[] without(byte[] whole, int last) {
        return Arrays.copyOf(whole, whole.length - last);
    }

    private static byte[] last(byte[] whole, int length) {
        return Arrays.copyOfRange(whole, whole.length - length, whole.length);
    }

    private static byte[] join(byte[]... parts) {
        MessageCodec.Builder out = new MessageCodec.Builder();
        for (byte[] part : parts) {
            out.putBytes(part);
        }
        return out.build();
    }

    private static byte[] fixed(int value, int length) {
        byte[] all = new byte[length];
        Arrays.fill(all, (byte) value);
        return all;
    }

    private static byte[] number(long value) {
        return ByteBuffer.allocate(8).putLong(value).array();
    }

    /** A connection of a plain socket; a message is its type followed by its body. */
    private class TestConnection implements AutoCloseable {
        final Socket socket;
        final DataInputStream in;
        FrameAuthenticator out;
        FrameAuthenticator back;

        TestConnection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setSoTimeout(20_000);
            in = new DataInputStream(socket.getInputStream());
            open.add(this);
        }

        void enableTags(byte[] secret, boolean forwarding) {
            byte[] toFar = KeyRing.mac(secret, "to the far side");
            byte[] toNear = KeyRing.mac(secret, "to the near side");
            out = new FrameAuthenticator(forwarding ? toFar : toNear);
            back = new FrameAuthenticator(forwarding ? toNear : toFar);
        }

        void send(byte[] message) throws IOException {
            byte[] body = body(message);
            byte[] tag = out == null ? new byte[0] : out.nextTag(message[0], body, 0, body.length);
            socket.getOutputStream().write(frame(message[0], body, tag));
        }

        byte[] next() throws IOException {
            byte[] whole = new byte[in.readInt()];
            in.readFully(whole);
            if (back == null) {
                return whole;
            }
            int end = whole.length - TAG_BYTES;
            assertArrayEquals(back.nextTag(whole[0], whole, 1, end - 1), last(whole, TAG_BYTES));
            return Arrays.copyOf(whole, end);
        }

        byte[] await(int type) throws IOException {
            while (true) {
                byte[] message = next();
                if (message[0] == type) {
                    return message;
                }
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private static byte[] proof(String label, byte[]... pieces) {
        return KEYS.proof("k1", label, pieces);
    }

    /** The server socket to which the forwarding gateway under test connects. */
    private final class ReceivingSocket implements AutoCloseable {
        final ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        byte[] hello;
        byte[] proof;

        ReceivingSocket() throws IOException {
            open.add(this);
        }

        InetSocketAddress at() {
            return (InetSocketAddress) server.getLocalSocketAddress();
        }

        /** @param challenge the message, with its type but without its proof */
        TestConnection accept(byte[] challenge) throws IOException {
            TestConnection connection = new TestConnection(server.accept());
            hello = connection.next();
            assertEquals(HELLO, hello[0]);
            byte[] own = proof("far proof", body(hello), body(challenge));
            connection.send(join(challenge, own));
            proof = connection.next();
            assertEquals(PROOF, proof[0]);
            byte[] claims = without(body(proof), PROOF_BYTES);
            assertArrayEquals(
                    proof("near proof", body(hello), body(challenge), claims),
                    last(proof, PROOF_BYTES));
            connection.enableTags(proof("session", body(hello), body(challenge)), false);
            return connection;
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    /** A connection to the receiving gateway under test. */
    private final class ForwardingSocket extends TestConnection {
        final byte[] challenge;

        /** @param claims the PROOF message, with its type but without its proof */
        ForwardingSocket(TestRouter receiving, byte[] hello, byte[] claims) throws IOException {
            super(new Socket(
                    receiving.gateway.address().getAddress(),
                    receiving.gateway.address().getPort()));
            send(hello);
            challenge = next();
            assertEquals(CHALLENGE, challenge[0]);
            byte[] challengeBody = without(body(challenge), PROOF_BYTES);
            assertArrayEquals(
                    proof("far proof", body(hello), challengeBody), last(challenge, PROOF_BYTES));
            byte[] own = proof("near proof", body(hello), challengeBody, body(claims));
            send(join(claims, own));
            enableTags(proof("session", body(hello), challengeBody), true);
        }
    }

    private static byte[] challengeMessage() {
        return new MessageCodec.Builder()
                .putByte(CHALLENGE)
                .putShort(1)
                .putText("west")
                .putText("w1")
                .putLong(-2)
                .putBytes(fixed(0x66, NONCE_BYTES))
                .build();
    }

    private static byte[] message(int type, MessageCodec.Builder body) {
        return join(new byte[] {(byte) type}, body.build());
    }

    private static BitSet cells() {
        BitSet cells = new BitSet();
        cells.set(0);
        cells.set(3);
        cells.set(17);
        return cells;
    }

    // ---- Writing. ----

    private static GoldenFile.Drawn piece(String name, int from, int length) {
        return new GoldenFile.Drawn(name, from, length);
    }

    /** The records of the file, with fixed bytes in place of random and measured ones. */
    private static Map<String, byte[]> records() throws IOException {
        Map<String, byte[]> fills = new TreeMap<>();
        fills.put("nonce", fixed(0x77, NONCE_BYTES));
        fills.put("left", number(8 * SECOND_US));
        fills.put("effect", number(9 * SECOND_US));
        fills.put("since", number(0));
        fills.put("took", number(1));
        fills.put("proof", new byte[0]);
        Map<String, byte[]> all = new LinkedHashMap<>();
        GoldenFile.read(FILE).forEach((name, hex) -> all.put(name, GoldenFile.bytes(hex, fills)));
        return all;
    }

    @Test
    void allMessagesMatchTheRecords() throws Exception {
        Map<String, String> all = new LinkedHashMap<>();
        writeForwardingSide(all);
        writeReceivingSide(all);
        GoldenFile.holds(FILE, "Messages between routers of two sites, type first, in hex.", all);
    }

    private static String helloRecord(byte[] hello) {
        return GoldenFile.hex(hello, piece("nonce", hello.length - NONCE_BYTES, NONCE_BYTES));
    }

    private static String proofRecord(byte[] proof) {
        return GoldenFile.hex(proof, piece("proof", proof.length - PROOF_BYTES, PROOF_BYTES));
    }

    private static String partRecord(byte[] part, boolean hasEffectDeadline) {
        ByteBuffer in = ByteBuffer.wrap(part);
        long remainingUs = in.getLong(REMAINING_OFFSET);
        assertTrue(
                remainingUs > 5 * SECOND_US && remainingUs <= 10 * SECOND_US,
                "remainingUs " + remainingUs);
        long sinceAckUs = in.getLong(SINCE_ACK_OFFSET);
        assertTrue(sinceAckUs >= 0 && sinceAckUs < 5 * SECOND_US, "sinceAckUs " + sinceAckUs);
        if (!hasEffectDeadline) {
            return GoldenFile.hex(
                    part, piece("left", REMAINING_OFFSET, 8), piece("since", SINCE_ACK_OFFSET, 8));
        }
        long effectRemainingUs = in.getLong(EFFECT_REMAINING_OFFSET);
        assertTrue(
                effectRemainingUs >= remainingUs && effectRemainingUs <= 10 * SECOND_US,
                "effectRemainingUs " + effectRemainingUs);
        return GoldenFile.hex(
                part,
                piece("left", REMAINING_OFFSET, 8),
                piece("effect", EFFECT_REMAINING_OFFSET, 8),
                piece("since", SINCE_ACK_OFFSET, 8));
    }

    private void makeTrusted(TestRouter forwarding, TestConnection connection) throws Exception {
        connection.send(message(CREDIT_WINDOW, new MessageCodec.Builder().putInt(5)));
        connection.send(
                message(SERVED_CELLS, new MessageCodec.Builder().putBytes(cells().toByteArray())));
        connection.send(message(HEARTBEAT_ACK, new MessageCodec.Builder().putLong(1)));
        assertEquals(cells(), forwarding.served.poll(20, TimeUnit.SECONDS));
    }

    private void writeForwardingSide(Map<String, String> all) throws Exception {
        ReceivingSocket receiving = new ReceivingSocket();
        TestRouter forwarding = new TestRouter(receiving.at());
        TestConnection connection = receiving.accept(challengeMessage());
        all.put("hello", helloRecord(receiving.hello));
        all.put("proof", proofRecord(receiving.proof));
        all.put("fates-of-none", GoldenFile.hex(connection.await(STATUS_QUERY)));
        all.put("ping", GoldenFile.hex(connection.await(HEARTBEAT)));
        makeTrusted(forwarding, connection);
        forwarding.forward("a", null, false);
        all.put("part", partRecord(connection.await(FORWARD_PART), false));
        forwarding.forward("b", "key é", true);
        all.put("part-with-a-key-again", partRecord(connection.await(FORWARD_PART), true));
        OutgoingPart third = forwarding.forward("c", "", false);
        all.put("part-with-an-empty-key", partRecord(connection.await(FORWARD_PART), true));
        forwarding.cancel(third);
        all.put("give-up", GoldenFile.hex(connection.await(CANCEL_PART)));
        connection.close();
        connection = receiving.accept(challengeMessage());
        all.put("proof-of-the-second-time", proofRecord(receiving.proof));
        all.put("fates-of-two", GoldenFile.hex(connection.await(STATUS_QUERY)));
    }

    private static String statusRecord(byte[] report) {
        assertTrue(ByteBuffer.wrap(report).getLong(DURATION_OFFSET) >= 0);
        return GoldenFile.hex(report, piece("took", DURATION_OFFSET, 8));
    }

    private static byte[] hello() {
        return new MessageCodec.Builder()
                .putByte(HELLO)
                .putShort(1)
                .putText("k1")
                .putText("east")
                .putText("e1")
                .putShort(0)
                .putLong(0x0102030405060708L)
                .putBytes(fixed(0x77, NONCE_BYTES))
                .build();
    }

    private static byte[] proofClaims(long connectCount, long nextNumber) {
        return message(PROOF, new MessageCodec.Builder().putLong(connectCount).putLong(nextNumber));
    }

    private static byte[] plainPart(long number) {
        return message(
                FORWARD_PART,
                new MessageCodec.Builder()
                        .putLong(number)
                        .putLong(8 * SECOND_US)
                        .putLong(Long.MAX_VALUE)
                        .putLong(1)
                        .putLong(0)
                        .putInt(7)
                        .putByte(0)
                        .putText("sum")
                        .putText("q" + number)
                        .putBytes(TEXT));
    }

    private static final List<PartStatus> ENDS = List.of(
            PartStatus.COMPLETED, PartStatus.REJECTED, PartStatus.FAILED, PartStatus.NO_ANSWER);
    private static final List<String> END_NAMES =
            List.of("done", "rejected", "failed", "no-answer");

    private void writeReceivingSide(Map<String, String> all) throws Exception {
        TestRouter receiving = new TestRouter(null);
        receiving.announceCells(cells());
        ForwardingSocket forwarding = new ForwardingSocket(receiving, hello(), proofClaims(1, 1));
        int nonce = forwarding.challenge.length - PROOF_BYTES - NONCE_BYTES;
        all.put(
                "challenge",
                GoldenFile.hex(
                        forwarding.challenge,
                        piece("nonce", nonce, NONCE_BYTES),
                        piece("proof", nonce + NONCE_BYTES, PROOF_BYTES)));
        all.put("cells", GoldenFile.hex(forwarding.await(SERVED_CELLS)));
        all.put("window", GoldenFile.hex(forwarding.await(CREDIT_WINDOW)));
        forwarding.send(message(HEARTBEAT, new MessageCodec.Builder().putLong(1).putLong(1)));
        all.put("pong", GoldenFile.hex(forwarding.await(HEARTBEAT_ACK)));
        for (int i = 0; i < ENDS.size(); i++) {
            forwarding.send(plainPart(i + 1));
            IncomingPart started = receiving.started.poll(20, TimeUnit.SECONDS);
            boolean done = ENDS.get(i) == PartStatus.COMPLETED;
            receiving.endPart(
                    started, ENDS.get(i), done ? VALUE : null, i == 1 ? RETRY_AFTER_US : 0);
            all.put("outcome-" + END_NAMES.get(i), statusRecord(forwarding.await(PART_STATUS)));
        }
        forwarding.send(plainPart(5));
        assertNotNull(receiving.started.poll(20, TimeUnit.SECONDS));
        forwarding.send(statusQuery(0, 5));
        all.put("outcome-running", statusRecord(forwarding.await(PART_STATUS)));
        forwarding.send(statusQuery(0, 6));
        all.put("outcome-never-begun", statusRecord(forwarding.await(PART_STATUS)));
        forwarding.send(statusQuery(1, 5));
        all.put("outcome-may-have-run", statusRecord(forwarding.await(PART_STATUS)));
        receiving.startDraining();
        all.put("bye", GoldenFile.hex(forwarding.await(GO_AWAY)));
    }

    private static byte[] statusQuery(int channelIndex, long number) {
        return message(
                STATUS_QUERY,
                new MessageCodec.Builder()
                        .putShort(channelIndex)
                        .putLong(1)
                        .putLong(7)
                        .putShort(1)
                        .putLong(number));
    }

    // ---- Reading. ----

    private static byte[] withNumber(byte[] message, int at, long number) {
        byte[] copy = message.clone();
        System.arraycopy(number(number), 0, copy, at, 8);
        return copy;
    }

    @Test
    void receivingSideReadsRecordedMessages() throws Exception {
        Map<String, byte[]> records = records();
        TestRouter receiving = new TestRouter(null);
        ForwardingSocket forwarding =
                new ForwardingSocket(receiving, records.get("hello"), records.get("proof"));
        forwarding.await(SERVED_CELLS);
        forwarding.send(records.get("ping"));
        assertArrayEquals(records.get("pong"), forwarding.await(HEARTBEAT_ACK));
        String fields = " sum " + 0x01020304 + " ";
        String text = " " + GoldenFile.hex(TEXT) + " ";
        forwarding.send(records.get("part"));
        IncomingPart first = receiving.started.poll(20, TimeUnit.SECONDS);
        assertEquals("q1.é" + fields + null + text + false, receiving.describe(first));
        assertTrue(first.remainingUs > 7 * SECOND_US && first.remainingUs <= 8 * SECOND_US);
        forwarding.send(records.get("part-with-a-key-again"));
        IncomingPart second = receiving.started.poll(20, TimeUnit.SECONDS);
        assertEquals("q1.é" + fields + "key é" + text + true, receiving.describe(second));
        forwarding.send(records.get("part-with-an-empty-key"));
        IncomingPart third = receiving.started.poll(20, TimeUnit.SECONDS);
        assertEquals("q1.é" + fields + "" + text + false, receiving.describe(third));
        forwarding.send(records.get("fates-of-two"));
        assertArrayEquals(runningStatus(records, 1), forwarding.await(PART_STATUS));
        assertArrayEquals(runningStatus(records, 2), forwarding.await(PART_STATUS));
        assertEquals(
                third,
                receiving.cancelled.poll(20, TimeUnit.SECONDS),
                "a part that the query omits must be cancelled");
        forwarding.close();

        checkReconnectIsRead(records);

        TestRouter other = new TestRouter(null);
        ForwardingSocket connection =
                new ForwardingSocket(other, records.get("hello"), records.get("proof"));
        connection.send(records.get("fates-of-none"));
        connection.send(records.get("ping"));
        connection.await(HEARTBEAT_ACK);
        connection.send(records.get("part-with-an-empty-key"));
        IncomingPart running = other.started.poll(20, TimeUnit.SECONDS);
        connection.send(records.get("give-up"));
        assertEquals(running, other.cancelled.poll(20, TimeUnit.SECONDS));
    }

    /** The recorded proof claims that the channel has connected twice and that its next part is number 4. */
    private void checkReconnectIsRead(Map<String, byte[]> records) throws Exception {
        TestRouter receiving = new TestRouter(null);
        ForwardingSocket forwarding = new ForwardingSocket(
                receiving, records.get("hello"), records.get("proof-of-the-second-time"));
        forwarding.send(plainPart(3));
        assertEquals(PartStatus.MAY_HAVE_RUN.ordinal(), forwarding.await(PART_STATUS)[11]);
        forwarding.send(records.get("ping"));
        forwarding.await(HEARTBEAT_ACK);
        forwarding.send(plainPart(4));
        assertEquals("q4", receiving.started.poll(20, TimeUnit.SECONDS).content.id());
        forwarding.send(statusQuery(0, 4)); // A query of the first connection, which is ignored.
        forwarding.send(records.get("ping"));
        byte[] next = forwarding.next();
        while (next[0] != HEARTBEAT_ACK) {
            assertTrue(next[0] != PART_STATUS, "answered a query from before the reconnect");
            next = forwarding.next();
        }
    }

    private static byte[] runningStatus(Map<String, byte[]> records, long number) {
        byte[] report = withNumber(records.get("outcome-running"), 3, number);
        return withNumber(report, DURATION_OFFSET, 0);
    }

    @Test
    void forwardingSideReadsRecordedMessages() throws Exception {
        Map<String, byte[]> records = records();
        ReceivingSocket receiving = new ReceivingSocket();
        TestRouter forwarding = new TestRouter(receiving.at());
        TestConnection connection = receiving.accept(records.get("challenge"));
        connection.await(HEARTBEAT);
        connection.send(records.get("window"));
        connection.send(records.get("cells"));
        connection.send(records.get("pong"));
        assertEquals(cells(), forwarding.served.poll(20, TimeUnit.SECONDS));
        assertEquals(8, forwarding.window());
        Outcome[] outcomes = {Outcome.SATISFIED, Outcome.REJECTED, Outcome.ERROR, Outcome.NO_ANSWER
        };
        for (int i = 0; i < outcomes.length; i++) {
            forwarding.forward("p" + i, null, false);
            connection.await(FORWARD_PART);
            connection.send(records.get("outcome-" + END_NAMES.get(i)));
            String want = forwarding.expectedEnd(
                    "p" + i,
                    outcomes[i],
                    i == 0 ? VALUE : new byte[0],
                    i == 1 ? RETRY_AFTER_US : 0);
            assertEquals(want, forwarding.ended.poll(20, TimeUnit.SECONDS));
        }
        forwarding.forward("runs", null, false);
        connection.await(FORWARD_PART);
        connection.send(records.get("outcome-running"));
        connection.send(withNumber(records.get("outcome-never-begun"), 3, 5));
        assertEquals(
                forwarding.expectedEnd("runs", Outcome.NOT_SENT, new byte[0], 0),
                forwarding.ended.poll(20, TimeUnit.SECONDS));
        forwarding.forward("sixth", null, false);
        connection.await(FORWARD_PART);
        byte[] about = withNumber(records.get("outcome-may-have-run"), 3, 6);
        assertEquals(1, about[2], "the recorded status is of channel 1");
        about[2] = 0;
        connection.send(about);
        assertEquals(
                forwarding.expectedEnd("sixth", Outcome.CANCELLED, new byte[0], 0),
                forwarding.ended.poll(20, TimeUnit.SECONDS));
        forwarding.forward("seventh", null, false);
        connection.await(FORWARD_PART);
        connection.send(records.get("bye"));
        assertEquals(
                forwarding.expectedEnd("seventh", Outcome.NOT_SENT, null, 0),
                forwarding.ended.poll(20, TimeUnit.SECONDS));
        BitSet served = forwarding.served.poll(20, TimeUnit.SECONDS);
        while (served != null && !served.isEmpty()) {
            served = forwarding.served.poll(20, TimeUnit.SECONDS);
        }
        assertNotNull(served, "a draining router must serve no cells");
    }
}

package tinlink.gateway;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import tinlink.decision.Outcome;
import tinlink.gateway.choice.FarRouter;
import tinlink.gateway.choice.Fate;
import tinlink.net.Loop;
import tinlink.net.Network;
import tinlink.sealed.Message;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

/** The far side of a link against peers that are not what they say, byte by byte. */
@Timeout(30)
class PeerTest {
    private static final byte[] KEY = "0123456789abcdef".getBytes(StandardCharsets.US_ASCII);
    private static final Keys KEYS = new Keys(
            Map.of("k1", KEY, "k2", "fedcba9876543210".getBytes(StandardCharsets.US_ASCII)), "k1");
    private static final int NONCE = Wire.NONCE;
    private final Loop loop = new Loop();
    private final AtomicInteger begun = new AtomicInteger();
    private Network network;
    private Gateway gateway;
    private Peer good;

    @BeforeEach
    void start() throws Exception {
        network = new Network(loop);
        gateway = new Gateway(
                loop,
                network,
                new Gateway.Names("west", "w1", 77, Set.of("east")),
                KEYS,
                new Gateway.Times(50_000, 400_000, 1_000_000, 1_000_000),
                new Gateway.Bounds(8, 16, 1 << 16, 4, 4),
                List.of(),
                1,
                new Gateway.Stages() {
                    @Override
                    public void ended(NearPart p, Outcome how, long tookUs) {
                        throw new IllegalStateException("nothing is passed on here");
                    }

                    @Override
                    public void serves(FarRouter router, BitSet cells, long lineUs) {
                        throw new IllegalStateException("nobody is far from here");
                    }

                    @Override
                    public void begin(FarPart p) {
                        begun.incrementAndGet();
                        gateway.ended(
                                p, Fate.DONE, ("v" + p.shard).getBytes(StandardCharsets.UTF_8), 0);
                    }

                    @Override
                    public void giveUp(FarPart p) {
                        // It has ended already.
                    }
                });
        gateway.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        Thread t = new Thread(() -> loop.run(gateway.turn()));
        t.setDaemon(true);
        t.start();
        good = new Peer(KEYS, "k1", "east");
        good.shakes();
    }

    /** Whatever was done: the good peer's line has stayed, and its parts are served. */
    @AfterEach
    void othersUnharmed() throws Exception {
        good.ping(99);
        good.part(50, 4, 1_000_000, 99);
        assertEquals("v4", good.value(50));
        int left = -1;
        for (int i = 0; i < 200 && left != 0; i++) {
            CompletableFuture<Integer> strangers = new CompletableFuture<>();
            loop.ready(() -> strangers.complete(gateway.strangers()));
            left = strangers.get();
            Thread.sleep(5);
        }
        assertEquals(0, left);
        loop.ready(loop::end);
        network.close();
    }

    /** A near router as far as its bytes go. */
    private final class Peer {
        final Keys keys;
        final String keyId;
        final String site;
        final Socket socket;
        final DataInputStream in;
        final byte[] nonce = new byte[NONCE];
        byte[] hello;
        byte[] challenge;
        tinlink.sealed.Keys.Seal out;
        tinlink.sealed.Keys.Seal back;
        int version = Wire.VERSION;
        long incarnation = 5;
        long ups = 1;

        Peer(Keys keys, String keyId, String site) throws IOException {
            this.keys = keys;
            this.keyId = keyId;
            this.site = site;
            socket =
                    new Socket(gateway.address().getAddress(), gateway.address().getPort());
            socket.setSoTimeout(5000);
            in = new DataInputStream(socket.getInputStream());
            new Random(keyId.hashCode()).nextBytes(nonce);
        }

        byte[] frame(byte type, byte[] body) {
            byte[] seal = out == null ? new byte[0] : out.next(type, body, 0, body.length);
            return ByteBuffer.allocate(5 + body.length + seal.length)
                    .putInt(1 + body.length + seal.length)
                    .put(type)
                    .put(body)
                    .put(seal)
                    .array();
        }

        void send(byte type, byte[] body) throws IOException {
            socket.getOutputStream().write(frame(type, body));
        }

        byte[] next() throws IOException {
            byte[] b = new byte[in.readInt()];
            in.readFully(b);
            return b;
        }

        void greets() throws IOException {
            hello = new Message.Out()
                    .two(version)
                    .text(keyId)
                    .text(site)
                    .text("e1")
                    .two(0)
                    .eight(incarnation)
                    .bytes(nonce)
                    .made();
            send(Wire.HELLO, hello);
            byte[] whole = next();
            assertEquals(Wire.CHALLENGE, whole[0]);
            challenge = Arrays.copyOfRange(whole, 1, whole.length - Wire.PROOF_BYTES);
            assertArrayEquals(
                    KEYS.proof(keyId, "far proof", hello, challenge),
                    Arrays.copyOfRange(whole, whole.length - Wire.PROOF_BYTES, whole.length));
        }

        byte[] proof() {
            byte[] next = new Message.Out().eight(ups).eight(1).made();
            return new Message.Out()
                    .bytes(next)
                    .bytes(keys.proof(keyId, "near proof", hello, challenge, next))
                    .made();
        }

        void shakes() throws IOException {
            greets();
            send(Wire.PROOF, proof());
            byte[] secret = keys.proof(keyId, "session", hello, challenge);
            out = new tinlink.sealed.Keys.Seal(Keys.mac(secret, "to the far side"));
            back = new tinlink.sealed.Keys.Seal(Keys.mac(secret, "to the near side"));
            awaits(Wire.WINDOW);
        }

        ByteBuffer awaits(byte type) throws IOException {
            while (true) {
                byte[] whole = next();
                int end = whole.length - Wire.SEAL_BYTES;
                assertArrayEquals(
                        back.next(whole[0], whole, 1, end - 1),
                        Arrays.copyOfRange(whole, end, whole.length));
                if (whole[0] == type) {
                    return ByteBuffer.wrap(whole, 1, end - 1);
                }
            }
        }

        void ping(long number) throws IOException {
            send(Wire.PING, new Message.Out().eight(number).eight(1).made());
            assertEquals(number, awaits(Wire.PONG).getLong());
        }

        byte[] partBody(long number, int shard, long leftUs, long pong) {
            return new Message.Out()
                    .eight(number)
                    .eight(leftUs)
                    .eight(Long.MAX_VALUE)
                    .eight(pong)
                    .eight(0)
                    .four(shard)
                    .byt(0)
                    .text("sum")
                    .text("q1." + shard)
                    .bytes("text".getBytes(StandardCharsets.UTF_8))
                    .made();
        }

        void part(long number, int shard, long leftUs, long pong) throws IOException {
            send(Wire.PART, partBody(number, shard, leftUs, pong));
        }

        /** The fate that comes next, which must be of that number, and its value. */
        @SuppressWarnings("EnumOrdinal") // The protocol numbers fates in their order.
        String value(long number) throws IOException {
            ByteBuffer b = awaits(Wire.SAY);
            b.getShort();
            assertEquals(number, b.getLong());
            Fate fate = Fate.values()[b.get()];
            b.getLong();
            b.getLong();
            return fate == Fate.DONE ? StandardCharsets.UTF_8.decode(b).toString() : fate.name();
        }

        /** Ended by the far side within a second, without a further message. */
        void refused() throws IOException {
            long from = System.nanoTime();
            try {
                assertEquals(-1, in.read());
            } catch (EOFException | SocketException e) {
                // Ended all the same.
            }
            assertTrue(System.nanoTime() - from < 1_000_000_000L, "late");
        }
    }

    @Test
    void wrongKeyIsRefusedAndTheRightOneIsNot() throws Exception {
        Peer p = new Peer(new Keys(Map.of("k1", new byte[16]), "k1"), "k1", "east");
        p.greets();
        p.send(Wire.PROOF, p.proof());
        p.refused();
        Peer other = new Peer(KEYS, "k2", "east"); // Any key of the ring is good.
        other.incarnation = 6;
        other.greets();
        other.socket.close();
        Peer old = new Peer(KEYS, "k0", "east");
        old.send(
                Wire.HELLO,
                new Message.Out()
                        .two(1)
                        .text("k0")
                        .text("east")
                        .text("e1")
                        .two(0)
                        .eight(5)
                        .bytes(old.nonce)
                        .made());
        old.refused();
    }

    @Test
    void unknownSiteWrongVersionAndSilenceAreRefused() throws Exception {
        for (int i = 0; i < 3; i++) {
            Peer p = new Peer(KEYS, "k1", i == 0 ? "north" : "east");
            p.version = i == 1 ? 2 : 1;
            p.hello = new Message.Out()
                    .two(p.version)
                    .text("k1")
                    .text(p.site)
                    .text("e1")
                    .two(0)
                    .eight(5)
                    .bytes(p.nonce)
                    .made();
            if (i < 2) {
                p.send(Wire.HELLO, p.hello);
            }
            p.refused();
        }
    }

    @Test
    void replayedHandshakeProvesNothing() throws Exception {
        Peer first = new Peer(KEYS, "k1", "east");
        first.incarnation = 6;
        first.greets();
        byte[] recorded = first.proof();
        Peer again = new Peer(KEYS, "k1", "east");
        again.incarnation = 6;
        again.greets();
        again.send(Wire.PROOF, recorded); // Of the connection before: its challenge was another.
        again.refused();
        first.socket.close();
    }

    @Test
    void oversizedAndRandomBytesCostTheirOwnConnection() throws Exception {
        Random random = new Random(3);
        for (int i = 0; i < 60; i++) {
            Peer p = new Peer(KEYS, "k1", "east");
            byte[] noise = new byte[1 + random.nextInt(300)];
            random.nextBytes(noise);
            if (i == 0) {
                noise = ByteBuffer.allocate(4).putInt(Integer.MAX_VALUE).array();
            }
            p.socket.getOutputStream().write(noise);
            p.socket.shutdownOutput();
            p.refused();
        }
    }

    @Test
    void theSameFrameTwiceOnOneLineOrTheNextRunsOnce() throws Exception {
        good.ping(1);
        good.part(1, 3, 1_000_000, 1);
        assertEquals("v3", good.value(1));
        good.part(1, 3, 1_000_000, 1);
        assertEquals("v3", good.value(1));
        Peer back = new Peer(
                KEYS, "k1", "east"); // The same router and incarnation, on a new connection.
        back.ups = 2;
        back.shakes();
        back.ping(1);
        back.part(1, 3, 1_000_000, 1);
        assertEquals("v3", back.value(1));
        assertEquals(1, begun.get());
        good = back;
    }

    /**
     * A message that is sent again as it was, or changed in one byte, does not have the seal of its
     * place.
     */
    @Test
    void aReplayedOrChangedMessageEndsTheLine() throws Exception {
        for (boolean changed : new boolean[] {true, false}) {
            Peer p = new Peer(KEYS, "k1", "east");
            p.incarnation = 5;
            p.ups = 3;
            p.shakes();
            p.ping(1);
            byte[] frame = p.frame(Wire.PART, p.partBody(7, 3, 1_000_000, 1));
            if (changed) {
                frame[frame.length - Wire.SEAL_BYTES - 2] ^= 1;
                p.socket.getOutputStream().write(frame);
            } else {
                p.socket.getOutputStream().write(frame);
                assertEquals("v3", p.value(7));
                p.socket.getOutputStream().write(frame);
            }
            p.refused();
        }
        assertEquals(1, begun.get());
        good = new Peer(KEYS, "k1", "east");
        good.ups = 4;
        good.shakes();
    }

    @Test
    void whatWasTooLongOnTheWayDoesNotRun() throws Exception {
        good.ping(1);
        Thread.sleep(120);
        good.part(
                1, 3, 100_000, 1); // It has had its heartbeat's answer for no time at all, it says.
        assertEquals("REFUSED", good.value(1));
        good.part(2, 3, 1_000_000, 12_345); // An answer that never was.
        assertEquals("REFUSED", good.value(2));
        assertEquals(0, begun.get());
    }

    @Test
    void manyStrangersGiveWay() throws Exception {
        Peer[] all = new Peer[40];
        for (int i = 0; i < all.length; i++) {
            all[i] = new Peer(KEYS, "k1", "east");
        }
        for (Peer p : all) {
            p.refused();
        }
    }

    @Test
    void messagesThatDoNotFitEndTheLine() throws Exception {
        ByteArrayOutputStream many = new ByteArrayOutputStream();
        many.writeBytes(new Message.Out().two(0).eight(1).eight(1).two(60_000).made());
        byte[][] bodies = {
            many.toByteArray(), new byte[3], new Message.Out().eight(-1).made()
        };
        byte[] types = {Wire.FATES, Wire.PART, (byte) 99};
        for (int i = 0; i < bodies.length; i++) {
            Peer p = new Peer(KEYS, "k1", "east");
            p.ups = 3L + i;
            p.shakes();
            p.send(types[i], bodies[i]);
            p.refused();
        }
        good = new Peer(KEYS, "k1", "east");
        good.ups = 9;
        good.shakes();
    }
}

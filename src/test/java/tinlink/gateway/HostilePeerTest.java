package tinlink.gateway;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import tinlink.decision.Outcome;
import tinlink.gateway.forwarding.PartStatus;
import tinlink.gateway.forwarding.RemoteRouter;
import tinlink.net.EventLoop;
import tinlink.net.Network;
import tinlink.securechannel.FrameAuthenticator;
import tinlink.securechannel.FrameFormat;
import tinlink.securechannel.Handshake;
import tinlink.securechannel.KeyRing;
import tinlink.securechannel.MessageCodec;

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

/** The receiving side of a gateway against peers that send forged, replayed, late or malformed messages. */
@Timeout(30)
class HostilePeerTest {
    private static final byte[] KEY = "0123456789abcdef".getBytes(StandardCharsets.US_ASCII);
    private static final KeyRing KEYS = new KeyRing(
            Map.of("k1", KEY, "k2", "fedcba9876543210".getBytes(StandardCharsets.US_ASCII)), "k1");
    private static final int NONCE = Handshake.NONCE_BYTES;
    private final EventLoop loop = new EventLoop();
    private final AtomicInteger startedParts = new AtomicInteger();
    private Network network;
    private Gateway gateway;
    private Peer wellBehavedPeer;

    @BeforeEach
    void start() throws Exception {
        network = new Network(loop);
        gateway = new Gateway(
                loop,
                network,
                new Gateway.Settings(
                        new Gateway.Identity("west", "w1", 77, Set.of("east")),
                        new Gateway.Timing(50_000, 400_000, 1_000_000, 1_000_000),
                        new Gateway.Limits(8, 16, 1 << 16, 4, 4),
                        List.of(),
                        1),
                KEYS,
                new PartHandler() {
                    @Override
                    public void partEnded(OutgoingPart part, Outcome outcome, long durationUs) {
                        throw new IllegalStateException("no part is forwarded in this test");
                    }

                    @Override
                    public void cellsChanged(RemoteRouter router, BitSet cells, long roundTripUs) {
                        throw new IllegalStateException(
                                "no remote router is configured in this test");
                    }

                    @Override
                    public void startPart(IncomingPart part) {
                        startedParts.incrementAndGet();
                        gateway.partEnded(
                                part,
                                PartStatus.COMPLETED,
                                ("v" + part.content.shard()).getBytes(StandardCharsets.UTF_8),
                                0);
                    }

                    @Override
                    public void cancelPart(IncomingPart part) {
                        // The part has ended already.
                    }
                });
        gateway.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        Thread thread = new Thread(() -> loop.run(gateway.turn()));
        thread.setDaemon(true);
        thread.start();
        wellBehavedPeer = new Peer(KEYS, "k1", "east");
        wellBehavedPeer.completeHandshake();
    }

    /** After each test, the well-behaved peer's connection is still up and its parts are still served. */
    @AfterEach
    void wellBehavedPeerIsUnharmed() throws Exception {
        wellBehavedPeer.exchangeHeartbeat(99);
        wellBehavedPeer.sendPart(50, 4, 1_000_000, 99);
        assertEquals("v4", wellBehavedPeer.awaitValue(50));
        int unauthenticated = -1;
        for (int i = 0; i < 200 && unauthenticated != 0; i++) {
            CompletableFuture<Integer> count = new CompletableFuture<>();
            loop.execute(() -> count.complete(gateway.unauthenticatedConnections()));
            unauthenticated = count.get();
            Thread.sleep(5);
        }
        assertEquals(0, unauthenticated);
        loop.execute(loop::stop);
        network.close();
    }

    /** A forwarding router that writes and reads raw bytes. */
    private final class Peer {
        final KeyRing keys;
        final String keyId;
        final String site;
        final Socket socket;
        final DataInputStream in;
        final byte[] nonce = new byte[NONCE];
        byte[] hello;
        byte[] challenge;
        FrameAuthenticator outboundTags;
        FrameAuthenticator inboundTags;
        int version = GatewayMessageCodec.VERSION;
        long incarnation = 5;
        long connectCount = 1;

        Peer(KeyRing keys, String keyId, String site) throws IOException {
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
            byte[] tag = outboundTags == null
                    ? new byte[0]
                    : outboundTags.nextTag(type, body, 0, body.length);
            return ByteBuffer.allocate(5 + body.length + tag.length)
                    .putInt(1 + body.length + tag.length)
                    .put(type)
                    .put(body)
                    .put(tag)
                    .array();
        }

        void send(byte type, byte[] body) throws IOException {
            socket.getOutputStream().write(frame(type, body));
        }

        byte[] next() throws IOException {
            byte[] message = new byte[in.readInt()];
            in.readFully(message);
            return message;
        }

        void exchangeHello() throws IOException {
            hello = new MessageCodec.Builder()
                    .putShort(version)
                    .putText(keyId)
                    .putText(site)
                    .putText("e1")
                    .putShort(0)
                    .putLong(incarnation)
                    .putBytes(nonce)
                    .build();
            send(GatewayMessage.Type.HELLO.code, hello);
            byte[] whole = next();
            assertEquals(GatewayMessage.Type.CHALLENGE.code, whole[0]);
            challenge = Arrays.copyOfRange(whole, 1, whole.length - Handshake.PROOF_BYTES);
            assertArrayEquals(
                    KEYS.proof(keyId, "far proof", hello, challenge),
                    Arrays.copyOfRange(whole, whole.length - Handshake.PROOF_BYTES, whole.length));
        }

        byte[] proof() {
            byte[] next =
                    new MessageCodec.Builder().putLong(connectCount).putLong(1).build();
            return new MessageCodec.Builder()
                    .putBytes(next)
                    .putBytes(keys.proof(keyId, "near proof", hello, challenge, next))
                    .build();
        }

        void completeHandshake() throws IOException {
            exchangeHello();
            send(GatewayMessage.Type.PROOF.code, proof());
            byte[] secret = keys.proof(keyId, "session", hello, challenge);
            outboundTags = new FrameAuthenticator(KeyRing.mac(secret, "to the far side"));
            inboundTags = new FrameAuthenticator(KeyRing.mac(secret, "to the near side"));
            awaitMessage(GatewayMessage.Type.CREDIT_WINDOW.code);
        }

        ByteBuffer awaitMessage(byte type) throws IOException {
            while (true) {
                byte[] whole = next();
                int end = whole.length - FrameFormat.TAG_BYTES;
                assertArrayEquals(
                        inboundTags.nextTag(whole[0], whole, 1, end - 1),
                        Arrays.copyOfRange(whole, end, whole.length));
                if (whole[0] == type) {
                    return ByteBuffer.wrap(whole, 1, end - 1);
                }
            }
        }

        void exchangeHeartbeat(long number) throws IOException {
            send(
                    GatewayMessage.Type.HEARTBEAT.code,
                    new MessageCodec.Builder().putLong(number).putLong(1).build());
            assertEquals(
                    number, awaitMessage(GatewayMessage.Type.HEARTBEAT_ACK.code).getLong());
        }

        byte[] partBody(long number, int shard, long remainingUs, long ackedHeartbeat) {
            return new MessageCodec.Builder()
                    .putLong(number)
                    .putLong(remainingUs)
                    .putLong(Long.MAX_VALUE)
                    .putLong(ackedHeartbeat)
                    .putLong(0)
                    .putInt(shard)
                    .putByte(0)
                    .putText("sum")
                    .putText("q1." + shard)
                    .putBytes("text".getBytes(StandardCharsets.UTF_8))
                    .build();
        }

        void sendPart(long number, int shard, long remainingUs, long ackedHeartbeat)
                throws IOException {
            send(
                    GatewayMessage.Type.FORWARD_PART.code,
                    partBody(number, shard, remainingUs, ackedHeartbeat));
        }

        /**
         * Awaits the next status, which must be of the given part.
         *
         * @return the value of a completed part, else the name of the status
         */
        @SuppressWarnings("EnumOrdinal") // The protocol numbers statuses in their order.
        String awaitValue(long number) throws IOException {
            ByteBuffer report = awaitMessage(GatewayMessage.Type.PART_STATUS.code);
            report.getShort();
            assertEquals(number, report.getLong());
            PartStatus status = PartStatus.ofCode(report.get());
            report.getLong();
            report.getLong();
            return status == PartStatus.COMPLETED
                    ? StandardCharsets.UTF_8.decode(report).toString()
                    : status.name();
        }

        /** Asserts that the gateway closes the connection within a second without sending another message. */
        void assertDisconnected() throws IOException {
            long from = System.nanoTime();
            try {
                assertEquals(-1, in.read());
            } catch (EOFException | SocketException e) {
                // A reset ends the connection as well.
            }
            assertTrue(System.nanoTime() - from < 1_000_000_000L, "closed too late");
        }
    }

    @Test
    void wrongKeyIsRejectedAndAnyKeyOfTheRingIsAccepted() throws Exception {
        Peer peer = new Peer(new KeyRing(Map.of("k1", new byte[16]), "k1"), "k1", "east");
        peer.exchangeHello();
        peer.send(GatewayMessage.Type.PROOF.code, peer.proof());
        peer.assertDisconnected();
        Peer other = new Peer(KEYS, "k2", "east"); // Any key of the ring is accepted.
        other.incarnation = 6;
        other.exchangeHello();
        other.socket.close();
        Peer old = new Peer(KEYS, "k0", "east");
        old.send(
                GatewayMessage.Type.HELLO.code,
                new MessageCodec.Builder()
                        .putShort(1)
                        .putText("k0")
                        .putText("east")
                        .putText("e1")
                        .putShort(0)
                        .putLong(5)
                        .putBytes(old.nonce)
                        .build());
        old.assertDisconnected();
    }

    @Test
    void unknownSiteWrongVersionAndSilenceAreRejected() throws Exception {
        for (int i = 0; i < 3; i++) {
            Peer peer = new Peer(KEYS, "k1", i == 0 ? "north" : "east");
            peer.version = i == 1 ? 2 : 1;
            peer.hello = new MessageCodec.Builder()
                    .putShort(peer.version)
                    .putText("k1")
                    .putText(peer.site)
                    .putText("e1")
                    .putShort(0)
                    .putLong(5)
                    .putBytes(peer.nonce)
                    .build();
            if (i < 2) {
                peer.send(GatewayMessage.Type.HELLO.code, peer.hello);
            }
            peer.assertDisconnected();
        }
    }

    @Test
    void replayedProofIsRejected() throws Exception {
        Peer first = new Peer(KEYS, "k1", "east");
        first.incarnation = 6;
        first.exchangeHello();
        byte[] recorded = first.proof();
        Peer again = new Peer(KEYS, "k1", "east");
        again.incarnation = 6;
        again.exchangeHello();
        again.send(
                GatewayMessage.Type.PROOF.code,
                recorded); // The proof of the first connection, which had another challenge.
        again.assertDisconnected();
        first.socket.close();
    }

    @Test
    void oversizedAndRandomBytesCostTheirOwnConnection() throws Exception {
        Random random = new Random(3);
        for (int i = 0; i < 60; i++) {
            Peer peer = new Peer(KEYS, "k1", "east");
            byte[] noise = new byte[1 + random.nextInt(300)];
            random.nextBytes(noise);
            if (i == 0) {
                noise = ByteBuffer.allocate(4).putInt(Integer.MAX_VALUE).array();
            }
            peer.socket.getOutputStream().write(noise);
            peer.socket.shutdownOutput();
            peer.assertDisconnected();
        }
    }

    @Test
    void duplicatePartRunsOnceAcrossConnections() throws Exception {
        wellBehavedPeer.exchangeHeartbeat(1);
        wellBehavedPeer.sendPart(1, 3, 1_000_000, 1);
        assertEquals("v3", wellBehavedPeer.awaitValue(1));
        wellBehavedPeer.sendPart(1, 3, 1_000_000, 1);
        assertEquals("v3", wellBehavedPeer.awaitValue(1));
        Peer reconnected = new Peer(
                KEYS, "k1", "east"); // The same router and incarnation, on a new connection.
        reconnected.connectCount = 2;
        reconnected.completeHandshake();
        reconnected.exchangeHeartbeat(1);
        reconnected.sendPart(1, 3, 1_000_000, 1);
        assertEquals("v3", reconnected.awaitValue(1));
        assertEquals(1, startedParts.get());
        wellBehavedPeer = reconnected;
    }

    /**
     * The tag of a replayed message, or of one that was changed in one byte, doesn't match its
     * position in the stream.
     */
    @Test
    void replayedOrAlteredMessageEndsTheConnection() throws Exception {
        for (boolean changed : new boolean[] {true, false}) {
            Peer peer = new Peer(KEYS, "k1", "east");
            peer.incarnation = 5;
            peer.connectCount = 3;
            peer.completeHandshake();
            peer.exchangeHeartbeat(1);
            byte[] frame = peer.frame(
                    GatewayMessage.Type.FORWARD_PART.code, peer.partBody(7, 3, 1_000_000, 1));
            if (changed) {
                frame[frame.length - FrameFormat.TAG_BYTES - 2] ^= 1;
                peer.socket.getOutputStream().write(frame);
            } else {
                peer.socket.getOutputStream().write(frame);
                assertEquals("v3", peer.awaitValue(7));
                peer.socket.getOutputStream().write(frame);
            }
            peer.assertDisconnected();
        }
        assertEquals(1, startedParts.get());
        wellBehavedPeer = new Peer(KEYS, "k1", "east");
        wellBehavedPeer.connectCount = 4;
        wellBehavedPeer.completeHandshake();
    }

    @Test
    void delayedPartDoesNotRun() throws Exception {
        wellBehavedPeer.exchangeHeartbeat(1);
        Thread.sleep(120);
        wellBehavedPeer.sendPart(
                1, 3, 100_000, 1); // Claims that the answer to its heartbeat arrived just now.
        assertEquals("REJECTED", wellBehavedPeer.awaitValue(1));
        wellBehavedPeer.sendPart(2, 3, 1_000_000, 12_345); // A heartbeat that was never answered.
        assertEquals("REJECTED", wellBehavedPeer.awaitValue(2));
        assertEquals(0, startedParts.get());
    }

    @Test
    void excessUnauthenticatedConnectionsAreClosed() throws Exception {
        Peer[] all = new Peer[40];
        for (int i = 0; i < all.length; i++) {
            all[i] = new Peer(KEYS, "k1", "east");
        }
        for (Peer peer : all) {
            peer.assertDisconnected();
        }
    }

    @Test
    void malformedMessagesEndTheConnection() throws Exception {
        ByteArrayOutputStream many = new ByteArrayOutputStream();
        many.writeBytes(new MessageCodec.Builder()
                .putShort(0)
                .putLong(1)
                .putLong(1)
                .putShort(60_000)
                .build());
        byte[][] bodies = {
            many.toByteArray(),
            new byte[3],
            new MessageCodec.Builder().putLong(-1).build()
        };
        byte[] types = {
            GatewayMessage.Type.STATUS_QUERY.code, GatewayMessage.Type.FORWARD_PART.code, (byte) 99
        };
        for (int i = 0; i < bodies.length; i++) {
            Peer peer = new Peer(KEYS, "k1", "east");
            peer.connectCount = 3L + i;
            peer.completeHandshake();
            peer.send(types[i], bodies[i]);
            peer.assertDisconnected();
        }
        wellBehavedPeer = new Peer(KEYS, "k1", "east");
        wellBehavedPeer.connectCount = 9;
        wellBehavedPeer.completeHandshake();
    }
}

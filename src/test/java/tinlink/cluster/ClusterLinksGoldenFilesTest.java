package tinlink.cluster;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.microraft.MembershipChangeMode;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import tinlink.GoldenFile;
import tinlink.cluster.consensus.RaftCodec;
import tinlink.cluster.consensus.ReplicatedStateMachine;
import tinlink.cluster.consensus.Voter;
import tinlink.cluster.membership.Incarnation;
import tinlink.cluster.membership.Member;
import tinlink.cluster.membership.MemberState;
import tinlink.cluster.membership.Membership;
import tinlink.cluster.membership.Rumor;
import tinlink.net.EventLoop;
import tinlink.net.Network;
import tinlink.securechannel.FrameAuthenticator;
import tinlink.securechannel.KeyRing;
import tinlink.securechannel.MessageCodec;
import tinlink.storage.DurableLog;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Guards the wire format between the routers of a cluster: if a message differed in a byte from those of
 * earlier builds, routers of different builds could not understand each other. The router under test talks to
 * plain sockets. The messages that it sends in one role are compared with the golden file, and the recorded
 * messages are sent to it in the other role. The sockets' side verifies and computes the authentication tags,
 * which are not recorded.
 */
@Timeout(120)
@SuppressWarnings(
        "FutureReturnValueIgnored") // The tests check the messages, not the results of the calls.
class ClusterLinksGoldenFilesTest {
    private static final String FILE = "cluster-links.txt";
    private static final KeyRing KEYS =
            new KeyRing(Map.of("k1", "0123456789abcdef".getBytes(StandardCharsets.US_ASCII)), "k1");
    private static final String CLUSTER = "golden";
    private static final int HELLO = 1;
    private static final int CHALLENGE = 2;
    private static final int PROOF = 3;
    private static final int MEMBERSHIP = 4;
    private static final int RAFT = 5;
    private static final int NODE = 6;
    private static final int PROBE = 1;
    private static final int ACK = 2;
    private static final int PROBE_REQUEST = 3;
    private static final int NACK = 4;
    private static final int LEARN = 1;
    private static final int LEARNED = 2;
    private static final int PROPOSE = 3;
    private static final int PROPOSED = 4;
    private static final int ADMISSION_REQUEST = 5;
    private static final int ADMISSION_RESPONSE = 6;
    private static final int REPORT = 7;
    private static final int PRESENCE = 8;
    private static final int REPLACE_VOTER = 9;
    private static final int CONFIRM_REQUEST = 10;
    private static final int CONFIRM_RESPONSE = 11;

    private static final int NONCE_BYTES = 32;
    private static final int PROOF_BYTES = 32;
    private static final int INCARNATION_NONCE_BYTES = 8;
    private static final int TAG_BYTES = 16;
    private static final long DISK_ID = 0x1234567890abcdefL;
    private static final String LINE = "life\tr1\tr1#1.é\\t";
    private static final String REPORT_LINE = "saw\tn1\ttrue";
    private static final long SEQUENCE_NUMBER = 0x0102030405060708L;

    @TempDir
    Path folder;

    private final List<AutoCloseable> openResources = new ArrayList<>();

    @AfterEach
    void closeAll() throws Exception {
        for (int i = openResources.size() - 1; i >= 0; i--) {
            openResources.get(i).close();
        }
    }

    private static byte[] bytes(int value, int length) {
        byte[] all = new byte[length];
        Arrays.fill(all, (byte) value);
        return all;
    }

    /** Returns the values to send in place of the random fields of a record. */
    private static Map<String, byte[]> drawnValues(byte[] proof) {
        Map<String, byte[]> all = new TreeMap<>();
        all.put("word", bytes(0x55, INCARNATION_NONCE_BYTES));
        all.put("nonce", bytes(0x66, NONCE_BYTES));
        if (proof != null) {
            all.put("proof", proof);
        }
        return all;
    }

    // ---- The router under test, with a method for each kind of message that it sends. ----

    /** A state machine whose state is the list of all committed lines. */
    private static final class RecordingStateMachine implements ReplicatedStateMachine {
        private final List<String> lines = new ArrayList<>();

        @Override
        public synchronized String apply(String line) {
            lines.add(line);
            return "no. " + lines.size() + " é";
        }

        @Override
        public synchronized List<String> snapshot() {
            return List.copyOf(lines);
        }

        @Override
        public synchronized void restore(List<String> snapshot) {
            lines.clear();
            lines.addAll(snapshot);
        }
    }

    private final class Router implements AutoCloseable {
        final EventLoop loop = new EventLoop();
        final RecordingStateMachine stateMachine = new RecordingStateMachine();
        final BlockingQueue<String> reports = new LinkedBlockingQueue<>();
        final Network network;
        final ClusterNode node;

        /** @param snapshotInterval lines between two snapshots, and kept one by one for learners */
        Router(String name, Set<String> voters, Map<String, String> addresses, int snapshotInterval)
                throws IOException {
            network = new Network(loop);
            Path dataFolder = folder.resolve(name + "-" + openResources.size());
            try (DurableLog self = new DurableLog(dataFolder.resolve("self"), 1 << 16)) {
                self.append(ByteBuffer.allocate(17 + name.length())
                        .putLong(4)
                        .putLong(DISK_ID)
                        .put((byte) 0)
                        .put(name.getBytes(StandardCharsets.UTF_8))
                        .array());
                self.sync();
            }
            node = new ClusterNode(
                    loop,
                    network,
                    new ClusterSettings(
                            new ClusterSettings.LocalRouter(
                                    CLUSTER,
                                    name,
                                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                                    "127.0.0.1:1"),
                            new ClusterSettings.KnownRouters(addresses, voters),
                            new ClusterSettings.Timing(400_000, 2, 100_000, 2_000_000, 20_000_000),
                            new ClusterSettings.Limits(64, 8 << 20, snapshotInterval),
                            1),
                    KEYS,
                    dataFolder,
                    stateMachine,
                    new RecordingStateMachine());
            node.setReportListener((sender, line) -> reports.add(sender + " " + line));
            Thread thread = new Thread(() -> loop.run(node), name);
            thread.setDaemon(true);
            thread.start();
            openResources.add(this);
            callOnLoop(() -> {
                node.start();
                return 0;
            });
        }

        <T> T callOnLoop(Supplier<T> task) {
            return loop.submitAndWait(task);
        }

        void waitUntil(BooleanSupplier condition) throws InterruptedException {
            for (int i = 0; i < 2000; i++) {
                if (Boolean.TRUE.equals(callOnLoop(condition::getAsBoolean))) {
                    return;
                }
                Thread.sleep(5);
            }
            throw new AssertionError("the condition did not hold within 10 s");
        }

        int port() throws IOException {
            return node.address().getPort();
        }

        /** @param recipient the recipient with the address that it advertises; the configured one is used */
        void sendMembership(int kind, String recipient, List<Rumor> rumors) {
            callOnLoop(() -> {
                Membership.Handler handler = node.membershipHandler();
                switch (kind) {
                    case PROBE -> handler.sendProbe(recipient, SEQUENCE_NUMBER, rumors);
                    case ACK -> handler.sendAck(recipient, SEQUENCE_NUMBER, rumors);
                    case PROBE_REQUEST ->
                        handler.sendProbeRequest(
                                recipient, SEQUENCE_NUMBER, "r3@127.0.0.1:3", rumors);
                    default -> handler.sendNack(recipient, SEQUENCE_NUMBER, rumors);
                }
                return 0;
            });
        }

        CompletableFuture<String> propose(String line) {
            CompletableFuture<String> result = new CompletableFuture<>();
            loop.execute(() ->
                    node.propose(line, (reply, failure) -> result.complete(reply + " " + failure)));
            return result;
        }

        CompletableFuture<Long> confirmCommitIndex() {
            CompletableFuture<Long> result = new CompletableFuture<>();
            loop.execute(() -> node.confirmCommitIndex(result::complete));
            return result;
        }

        void report(String line) {
            loop.execute(() -> node.reportToLeader(line));
        }

        void replaceVoter(String removedRouter, String addedRouter) {
            loop.execute(() -> node.replaceVoter(removedRouter, addedRouter));
        }

        String leader() {
            return node.leader();
        }

        boolean isLeader() {
            return node.isLeader();
        }

        Member member(String name) {
            return node.membership().member(name);
        }

        long learnedIndex() {
            return node.learnedIndex();
        }

        /** Returns the number of messages received, by the label of their kind. */
        long receivedCount(String kind) {
            long[] counts = node.traffic().byKind().get(kind);
            return counts == null ? 0 : counts[0];
        }

        @Override
        public void close() throws IOException {
            CompletableFuture<Void> done = new CompletableFuture<>();
            loop.execute(() -> {
                try {
                    node.close();
                } catch (IOException e) {
                    done.completeExceptionally(e);
                }
                network.close();
                loop.stop();
                done.complete(null);
            });
            done.orTimeout(20, TimeUnit.SECONDS).join();
        }
    }

    private static List<Rumor> rumors() {
        return List.of(
                new Rumor(
                        new Incarnation("r1", 5, 0x77), 1, MemberState.ALIVE, "r1@127.0.0.1:1", ""),
                new Rumor(
                        new Incarnation("r5", 2, -2),
                        9,
                        MemberState.SUSPECT,
                        "r5@127.0.0.1:5",
                        "r1"));
    }

    // ---- The plain sockets' side. ----

    private static byte[] frame(int type, byte[] body, byte[] tag) {
        return ByteBuffer.allocate(5 + body.length + tag.length)
                .putInt(1 + body.length + tag.length)
                .put((byte) type)
                .put(body)
                .put(tag)
                .array();
    }

    /** Returns type, body and tag of the next frame. */
    private static byte[] readFrame(DataInputStream input) throws IOException {
        byte[] frame = new byte[input.readInt()];
        input.readFully(frame);
        return frame;
    }

    private static byte[] body(byte[] message) {
        return Arrays.copyOfRange(message, 1, message.length);
    }

    private static byte[] proof(String label, byte[] hello, byte[] challenge) {
        return KEYS.proof("k1", label, hello, challenge);
    }

    private static byte[] join(byte[]... parts) {
        MessageCodec.Builder out = new MessageCodec.Builder();
        for (byte[] part : parts) {
            out.putBytes(part);
        }
        return out.build();
    }

    /** A peer that the router under test connects to, and that keeps the messages received. */
    private final class AcceptingPeer implements AutoCloseable {
        final ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        final BlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
        final BlockingQueue<byte[][]> handshakes = new LinkedBlockingQueue<>();
        /** The body of the challenge without the proof. */
        final byte[] challenge;

        AcceptingPeer(byte[] challenge) throws IOException {
            this.challenge = challenge;
            openResources.add(this);
            Thread thread = new Thread(this::accept, "accepting-peer");
            thread.setDaemon(true);
            thread.start();
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        private void accept() {
            while (!server.isClosed()) {
                try (Socket socket = server.accept()) {
                    serve(new DataInputStream(socket.getInputStream()), socket);
                } catch (EOFException | SocketException e) {
                    // The router has closed the connection, and may open another one.
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            }
        }

        private void serve(DataInputStream input, Socket socket) throws IOException {
            byte[] hello = readFrame(input);
            byte[] ownProof = proof("called proof", body(hello), challenge);
            byte[] challengeBody = join(challenge, ownProof);
            socket.getOutputStream().write(frame(CHALLENGE, challengeBody, new byte[0]));
            byte[] proof = readFrame(input);
            handshakes.add(new byte[][] {hello, proof});
            byte[] secret = proof("session", body(hello), challenge);
            FrameAuthenticator authenticator =
                    new FrameAuthenticator(KeyRing.mac(secret, "to the far side"));
            while (true) {
                byte[] frame = readFrame(input);
                int end = frame.length - TAG_BYTES;
                byte[] expectedTag = authenticator.nextTag(frame[0], frame, 1, end - 1);
                assertArrayEquals(expectedTag, Arrays.copyOfRange(frame, end, frame.length));
                received.add(Arrays.copyOf(frame, end));
            }
        }

        /** Drops messages up to the first that matches, and returns it. */
        byte[] await(Predicate<byte[]> condition) throws InterruptedException {
            while (true) {
                byte[] message = received.poll(20, TimeUnit.SECONDS);
                assertNotNull(message, "no matching message within 20 s");
                if (condition.test(message)) {
                    return message;
                }
            }
        }

        byte[] await(int type, int kind) throws InterruptedException {
            return await(message -> message[0] == type && message[1] == kind);
        }

        /** Awaits a membership message with that kind and sequence number. */
        byte[] awaitMembership(int kind, long sequenceNumber) throws InterruptedException {
            return await(message -> message[0] == MEMBERSHIP
                    && message[1] == kind
                    && ByteBuffer.wrap(message, 2, 8).getLong() == sequenceNumber);
        }

        RaftMessage awaitRaft(Predicate<RaftMessage> condition) throws InterruptedException {
            RaftMessage[] found = new RaftMessage[1];
            await(message -> {
                found[0] = message[0] == RAFT ? decodeRaft(message) : null;
                return found[0] != null && condition.test(found[0]);
            });
            return found[0];
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    private static RaftMessage decodeRaft(byte[] message) {
        ByteBuffer buffer = ByteBuffer.wrap(message, 1, message.length - 1);
        try {
            MessageCodec.readText(buffer); // The recipient.
            return RaftCodec.decode(buffer);
        } catch (tinlink.net.MessageRejectedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A peer that connects to the router under test with the given hello. */
    private final class ConnectingPeer implements AutoCloseable {
        final Socket socket;
        final FrameAuthenticator authenticator;
        /** The challenge of the router under test, with type and proof. */
        final byte[] challenge;

        ConnectingPeer(Router router, byte[] hello) throws IOException {
            socket = new Socket(InetAddress.getLoopbackAddress(), router.port());
            socket.setSoTimeout(10_000);
            openResources.add(this);
            DataInputStream input = new DataInputStream(socket.getInputStream());
            socket.getOutputStream().write(frame(HELLO, hello, new byte[0]));
            challenge = readFrame(input);
            assertEquals(CHALLENGE, challenge[0]);
            byte[] unproved = Arrays.copyOfRange(challenge, 1, challenge.length - PROOF_BYTES);
            assertArrayEquals(
                    proof("called proof", hello, unproved),
                    Arrays.copyOfRange(
                            challenge, challenge.length - PROOF_BYTES, challenge.length));
            byte[] proof = proof("caller proof", hello, unproved);
            socket.getOutputStream().write(frame(PROOF, proof, new byte[0]));
            byte[] secret = proof("session", hello, unproved);
            authenticator = new FrameAuthenticator(KeyRing.mac(secret, "to the far side"));
        }

        /** @param message type and body; the tag is added */
        void send(byte[] message) throws IOException {
            byte[] body = body(message);
            byte[] tag = authenticator.nextTag(message[0], body, 0, body.length);
            socket.getOutputStream().write(frame(message[0], body, tag));
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private static byte[] hello(String name) {
        return new MessageCodec.Builder()
                .putShort(1)
                .putText("k1")
                .putText(CLUSTER)
                .putText(name)
                .putLong(5)
                .putLong(0x77)
                .putBytes(bytes(0x66, NONCE_BYTES))
                .build();
    }

    private static byte[] challenge(String name) {
        return new MessageCodec.Builder()
                .putShort(1)
                .putText(CLUSTER)
                .putText(name)
                .putLong(5)
                .putLong(0x78)
                .putBytes(bytes(0x67, NONCE_BYTES))
                .build();
    }

    /** Returns type and body of a node message. */
    private static byte[] nodeMessage(int kind, String sender, MessageCodec.Builder body) {
        return new MessageCodec.Builder()
                .putByte(NODE)
                .putByte(kind)
                .putText(sender)
                .putBytes(body.build())
                .build();
    }

    // ---- Messages that the router under test sends. ----

    /** Returns the records of the golden file, with fixed values for the random fields. */
    private static Map<String, byte[]> golden() throws IOException {
        Map<String, byte[]> all = new LinkedHashMap<>();
        GoldenFile.read(FILE)
                .forEach((name, hex) -> all.put(
                        name, GoldenFile.bytes(hex, drawnValues(bytes(0x99, PROOF_BYTES)))));
        return all;
    }

    @Test
    void sentMessagesEqualTheGoldenFile() throws Exception {
        Map<String, String> all = new LinkedHashMap<>();
        Map<String, byte[]> learner = recordLearnerMessages(all);
        Map<String, byte[]> voter = recordVoterMessages(all);
        recordLeaderMessages(all, learner, voter);
        GoldenFile.holds(FILE, "Messages between routers of a cluster, type first, in hex.", all);
    }

    private static GoldenFile.Drawn drawnField(String name, int from, int length) {
        return new GoldenFile.Drawn(name, from, length);
    }

    /** Records the messages of a learner, to a voter and to the leader that the voter names. */
    private Map<String, byte[]> recordLearnerMessages(Map<String, String> all) throws Exception {
        AcceptingPeer r2 = new AcceptingPeer(challenge("r2"));
        Router r1 = new Router("r1", Set.of("r2"), Map.of("r2", r2.address()), 20);
        Map<String, byte[]> written = new LinkedHashMap<>();
        byte[][] handshake = r2.handshakes.poll(20, TimeUnit.SECONDS);
        byte[] hello = handshake[0];
        int nonce = hello.length - NONCE_BYTES;
        all.put(
                "hello",
                GoldenFile.hex(
                        hello,
                        drawnField(
                                "word", nonce - INCARNATION_NONCE_BYTES, INCARNATION_NONCE_BYTES),
                        drawnField("nonce", nonce, NONCE_BYTES)));
        assertEquals(PROOF, handshake[1][0]);
        assertArrayEquals(proof("caller proof", body(hello), r2.challenge), body(handshake[1]));
        all.put("proof", GoldenFile.hex(handshake[1], drawnField("proof", 1, PROOF_BYTES)));
        written.put("learn-first", r2.await(NODE, LEARN));
        ConnectingPeer leader = new ConnectingPeer(r1, hello("r2"));
        leader.send(nodeMessage(
                LEARNED,
                "r2",
                new MessageCodec.Builder()
                        .putText("r2")
                        .putLong(0)
                        .putByte(1)
                        .putLong(7)
                        .putLongText("a\nb")));
        r1.waitUntil(() -> r1.learnedIndex() == 7 && r1.leader().equals("r2"));
        written.put(
                "learn-more",
                r2.await(message -> message[0] == NODE
                        && message[1] == LEARN
                        && ByteBuffer.wrap(message, message.length - 8, 8).getLong() == 7));
        written.put("seat", r2.await(NODE, PRESENCE));
        r1.propose(LINE);
        written.put("propose", r2.await(NODE, PROPOSE));
        r1.confirmCommitIndex();
        written.put("confirm", r2.await(NODE, CONFIRM_REQUEST));
        r1.report(REPORT_LINE);
        written.put("news", r2.await(NODE, REPORT));
        r1.replaceVoter("r3", "r4");
        written.put("replace", r2.await(NODE, REPLACE_VOTER));
        int[] kinds = {PROBE, ACK, PROBE_REQUEST, NACK};
        String[] names = {"probe", "probe-answer", "probe-request", "probe-failure"};
        for (int i = 0; i < kinds.length; i++) {
            r1.sendMembership(kinds[i], "r2@127.0.0.1:2", rumors());
            written.put(names[i], r2.awaitMembership(kinds[i], SEQUENCE_NUMBER));
        }
        written.forEach((name, bytes) -> all.put(name, GoldenFile.hex(bytes)));
        return written;
    }

    /** Records the messages of a voter that starts: the admission request, then those of an election. */
    private Map<String, byte[]> recordVoterMessages(Map<String, String> all) throws Exception {
        AcceptingPeer r2 = new AcceptingPeer(challenge("r2"));
        AcceptingPeer r3 = new AcceptingPeer(challenge("r3"));
        Router r1 = new Router(
                "r1", Set.of("r1", "r2", "r3"), Map.of("r2", r2.address(), "r3", r3.address()), 20);
        Map<String, byte[]> written = new LinkedHashMap<>();
        written.put("may-vote", r2.await(NODE, ADMISSION_REQUEST));
        ConnectingPeer fromR2 = new ConnectingPeer(r1, hello("r2"));
        ConnectingPeer fromR3 = new ConnectingPeer(r1, hello("r3"));
        fromR2.send(nodeMessage(ADMISSION_RESPONSE, "r2", emptyAdmissionResponse()));
        fromR3.send(nodeMessage(ADMISSION_RESPONSE, "r3", emptyAdmissionResponse()));
        byte[] preVote = r2.await(
                message -> message[0] == RAFT && decodeRaft(message) instanceof PreVoteRequest);
        written.put("raft-pre-vote", preVote);
        fromR2.send(raftFrame(
                "r1/0",
                new DefaultRaftModelFactory()
                        .createPreVoteResponseBuilder()
                        .setGroupId("tinlink")
                        .setSender(new Voter("r2", 0))
                        .setTerm(decodeRaft(preVote).getTerm())
                        .setGranted(true)
                        .build()));
        written.put(
                "raft-vote",
                r2.await(message ->
                        message[0] == RAFT && decodeRaft(message) instanceof VoteRequest));
        written.forEach((name, bytes) -> all.put(name, GoldenFile.hex(bytes)));
        return written;
    }

    /** Returns the fields of an admission response of a router that knows nothing and has an empty log. */
    private static MessageCodec.Builder emptyAdmissionResponse() {
        return new MessageCodec.Builder()
                .putByte(0)
                .putByte(0)
                .putInt(0)
                .putInt(0)
                .putLong(0);
    }

    private static byte[] raftFrame(String recipient, RaftMessage message) {
        return new MessageCodec.Builder()
                .putByte(RAFT)
                .putText(recipient)
                .putBytes(RaftCodec.encode(message))
                .build();
    }

    /** Records the answers of a leader that is the only voter, to the requests recorded before. */
    private void recordLeaderMessages(
            Map<String, String> all, Map<String, byte[]> learner, Map<String, byte[]> voter)
            throws Exception {
        AcceptingPeer r1 = new AcceptingPeer(challenge("r1"));
        Router r2 = new Router("r2", Set.of("r2"), Map.of("r1", r1.address()), 4);
        r2.waitUntil(r2::isLeader);
        r2.waitUntil(() -> r2.leader().equals("r2"));
        ConnectingPeer fromR1 = new ConnectingPeer(r2, hello("r1"));
        byte[] challenge = fromR1.challenge;
        int nonce = challenge.length - PROOF_BYTES - NONCE_BYTES;
        all.put(
                "challenge",
                GoldenFile.hex(
                        challenge,
                        drawnField(
                                "word", nonce - INCARNATION_NONCE_BYTES, INCARNATION_NONCE_BYTES),
                        drawnField("nonce", nonce, NONCE_BYTES),
                        drawnField("proof", nonce + NONCE_BYTES, PROOF_BYTES)));
        Map<String, byte[]> written = new LinkedHashMap<>();
        fromR1.send(voter.get("may-vote"));
        written.put("has-heard-nothing", r1.await(NODE, ADMISSION_RESPONSE));
        fromR1.send(learner.get("probe"));
        fromR1.send(voter.get("raft-vote"));
        fromR1.send(voter.get("may-vote"));
        written.put("has-heard", r1.await(NODE, ADMISSION_RESPONSE));
        fromR1.send(learner.get("propose"));
        written.put("proposed", r1.await(NODE, PROPOSED));
        fromR1.send(learner.get("learn-first"));
        written.put("learned-lines", r1.await(NODE, LEARNED));
        fromR1.send(learner.get("confirm"));
        written.put("confirmed", r1.await(NODE, CONFIRM_RESPONSE));
        for (int i = 0; i < 6; i++) {
            r2.propose("line " + i).get(20, TimeUnit.SECONDS);
        }
        long last = r2.callOnLoop(r2::learnedIndex);
        fromR1.send(learner.get("learn-first"));
        written.put("learned-whole", r1.await(NODE, LEARNED));
        fromR1.send(nodeMessage(LEARN, "r1", new MessageCodec.Builder().putLong(last)));
        written.put("learned-nothing", r1.await(NODE, LEARNED));
        written.forEach((name, bytes) -> all.put(name, GoldenFile.hex(bytes)));

        AcceptingPeer other = new AcceptingPeer(challenge("r1"));
        Router follower = new Router("r2", Set.of("r3"), Map.of("r1", other.address()), 4);
        new ConnectingPeer(follower, hello("r1")).send(learner.get("propose"));
        all.put("not-proposed", GoldenFile.hex(other.await(NODE, PROPOSED)));
    }

    // ---- Messages that the router under test receives. ----

    @Test
    void acceptsTheRecordedHandshake() throws Exception {
        Map<String, String> golden = GoldenFile.read(FILE);
        Router r2 = new Router("r2", Set.of("r3"), Map.of(), 20);
        Map<String, byte[]> drawnValues = drawnValues(null);
        byte[] hello = GoldenFile.bytes(golden.get("hello"), drawnValues);
        assertEquals(HELLO, hello[0]);
        ConnectingPeer r1 = new ConnectingPeer(r2, body(hello));
        r1.send(golden().get("probe"));
        r2.waitUntil(() -> r2.member("r5") != null);

        String record = golden.get("challenge");
        String proofless = record.substring(0, record.indexOf("{proof}"));
        byte[] challenge = GoldenFile.bytes(proofless, drawnValues);
        assertEquals(CHALLENGE, challenge[0]);
        AcceptingPeer acceptingPeer = new AcceptingPeer(body(challenge));
        new Router("r1", Set.of("r2"), Map.of("r2", acceptingPeer.address()), 20);
        assertNotNull(acceptingPeer.await(NODE, LEARN));
    }

    @Test
    void learnerReadsTheRecordedMessagesOfALeader() throws Exception {
        Map<String, byte[]> golden = golden();
        AcceptingPeer r2 = new AcceptingPeer(challenge("r2"));
        Router r1 = new Router("r1", Set.of("r2"), Map.of("r2", r2.address()), 20);
        ConnectingPeer leader = new ConnectingPeer(r1, hello("r2"));
        leader.send(golden.get("learned-lines"));
        r1.waitUntil(() -> r1.leader().equals("r2"));
        assertEquals(List.of(LINE), r1.stateMachine.snapshot());
        assertEquals(2L, r1.callOnLoop(r1::learnedIndex));
        CompletableFuture<String> proposed = r1.propose(LINE);
        assertArrayEquals(golden.get("propose"), r2.await(NODE, PROPOSE));
        leader.send(golden.get("proposed"));
        assertEquals("no. 1 é null", proposed.get(20, TimeUnit.SECONDS));
        CompletableFuture<Long> confirmed = r1.confirmCommitIndex();
        assertArrayEquals(golden.get("confirm"), r2.await(NODE, CONFIRM_REQUEST));
        leader.send(golden.get("confirmed"));
        assertEquals(2L, confirmed.get(20, TimeUnit.SECONDS));
        leader.send(golden.get("learned-whole"));
        r1.waitUntil(() -> r1.learnedIndex() == 8);
        List<String> allLines = new ArrayList<>(List.of(LINE));
        for (int i = 0; i < 6; i++) {
            allLines.add("line " + i);
        }
        assertEquals(allLines, r1.stateMachine.snapshot());
        leader.send(golden.get("learned-nothing"));
        leader.send(golden.get("probe"));
        r1.waitUntil(() -> r1.member("r5") != null);
        assertEquals(allLines, r1.stateMachine.snapshot());

        Router again = new Router("r1", Set.of("r2"), Map.of("r2", r2.address()), 20);
        ConnectingPeer other = new ConnectingPeer(again, hello("r2"));
        other.send(golden.get("learned-lines"));
        again.waitUntil(() -> again.leader().equals("r2"));
        CompletableFuture<String> failed = again.propose(LINE);
        other.send(golden.get("not-proposed"));
        assertEquals("null it does not lead", failed.get(20, TimeUnit.SECONDS));
    }

    @Test
    void voterReadsTheRecordedAdmissionResponses() throws Exception {
        Map<String, byte[]> golden = golden();
        AcceptingPeer r2 = new AcceptingPeer(challenge("r2"));
        Router fresh = new Router("r1", Set.of("r1", "r2"), Map.of("r2", r2.address()), 20);
        assertArrayEquals(golden.get("may-vote"), r2.await(NODE, ADMISSION_REQUEST));
        ConnectingPeer fromR2 = new ConnectingPeer(fresh, hello("r2"));
        fromR2.send(golden.get("has-heard-nothing"));
        assertVotesOnlyForCompleteLog(fromR2, r2);
        AcceptingPeer again = new AcceptingPeer(challenge("r2"));
        Router stale = new Router("r1", Set.of("r1", "r2"), Map.of("r2", again.address()), 20);
        new ConnectingPeer(stale, hello("r2")).send(golden.get("has-heard"));
        stale.waitUntil(stale.node::hasStaleDisk);
    }

    /**
     * By the recorded admission response, the log of r2 ends with one entry of term 1. That binds the router
     * under test: it must reject a candidate whose log lacks that entry.
     */
    private static void assertVotesOnlyForCompleteLog(ConnectingPeer fromR2, AcceptingPeer r2)
            throws Exception {
        boolean[] granted = new boolean[2];
        for (int i = 0; i < 200 && !granted[1]; i++) {
            for (int lastIndex : new int[] {0, 1}) {
                fromR2.send(raftFrame(
                        "r1/0",
                        new DefaultRaftModelFactory()
                                .createVoteRequestBuilder()
                                .setGroupId("tinlink")
                                .setSender(new Voter("r2", 0))
                                .setTerm(2 + lastIndex)
                                .setLastLogTerm(1)
                                .setLastLogIndex(lastIndex)
                                .setSticky(false)
                                .build()));
                Thread.sleep(30);
                for (byte[] message = r2.received.poll();
                        message != null;
                        message = r2.received.poll()) {
                    if (message[0] == RAFT && decodeRaft(message) instanceof VoteResponse answer) {
                        granted[answer.getTerm() == 2 ? 0 : 1] |= answer.isGranted();
                    }
                }
            }
        }
        assertFalse(granted[0], "voted for a candidate whose log lacks the entry");
        assertTrue(granted[1], "did not vote for a candidate whose log has the entry");
    }

    @Test
    void leaderReadsTheRecordedMessagesOfOthers() throws Exception {
        Map<String, byte[]> golden = golden();
        AcceptingPeer r1 = new AcceptingPeer(challenge("r1"));
        AcceptingPeer r3 = new AcceptingPeer(challenge("r3"));
        Router r2 =
                new Router("r2", Set.of("r2"), Map.of("r1", r1.address(), "r3", r3.address()), 4);
        r2.waitUntil(() -> r2.isLeader() && r2.leader().equals("r2"));
        ConnectingPeer fromR1 = new ConnectingPeer(r2, hello("r1"));
        fromR1.send(golden.get("news"));
        assertEquals("r1 " + REPORT_LINE, r2.reports.poll(20, TimeUnit.SECONDS));
        fromR1.send(golden.get("propose"));
        assertArrayEquals(golden.get("proposed"), r1.await(NODE, PROPOSED));
        assertEquals(List.of(LINE), r2.stateMachine.snapshot());
        fromR1.send(golden.get("learn-first"));
        assertArrayEquals(golden.get("learned-lines"), r1.await(NODE, LEARNED));
        fromR1.send(golden.get("learn-more"));
        byte[] learned = r1.await(NODE, LEARNED);
        assertEquals(
                GoldenFile.hex(nodeMessage(
                        LEARNED,
                        "r2",
                        new MessageCodec.Builder().putText("r2").putLong(7).putByte(0))),
                GoldenFile.hex(learned));
        fromR1.send(golden.get("confirm"));
        assertArrayEquals(golden.get("confirmed"), r1.await(NODE, CONFIRM_RESPONSE));
        fromR1.send(golden.get("raft-pre-vote"));
        fromR1.send(golden.get("may-vote"));
        byte[] emptyResponse = r1.await(NODE, ADMISSION_RESPONSE);
        assertEquals(0, emptyResponse[5], "no known incarnation");
        assertEquals(
                0, emptyResponse[6], "no known log position: a pre-vote request is no evidence");
        fromR1.send(golden.get("raft-vote"));
        fromR1.send(golden.get("may-vote"));
        byte[] response = r1.await(NODE, ADMISSION_RESPONSE);
        assertEquals(1, response[6], "a known log position");
        assertEquals(1, ByteBuffer.wrap(response, 7, 4).getInt(), "the term of the vote request");
    }

    @Test
    void membersReadTheRecordedProbes() throws Exception {
        Map<String, byte[]> golden = golden();
        AcceptingPeer r1 = new AcceptingPeer(challenge("r1"));
        AcceptingPeer r3 = new AcceptingPeer(challenge("r3"));
        Router r2 =
                new Router("r2", Set.of("r2"), Map.of("r1", r1.address(), "r3", r3.address()), 4);
        ConnectingPeer fromR1 = new ConnectingPeer(r2, hello("r1"));
        ConnectingPeer fromR3 = new ConnectingPeer(r2, hello("r3"));
        fromR1.send(golden.get("probe"));
        byte[] answer = r1.awaitMembership(ACK, SEQUENCE_NUMBER);
        assertEquals(0, answer[10], "no target");
        Member suspect = r2.callOnLoop(() -> r2.member("r5"));
        assertEquals(new Incarnation("r5", 2, -2), suspect.incarnation());
        assertEquals(MemberState.SUSPECT, suspect.state());
        assertEquals(9, suspect.refutationCount());
        assertEquals("r5@127.0.0.1:5", suspect.address());
        assertEquals(MemberState.ALIVE, r2.callOnLoop(() -> r2.member("r1")).state());

        // A probe request for r3: the first time r3 does not answer, the second time it does.
        r3.received.clear();
        fromR1.send(golden.get("probe-request"));
        r1.awaitMembership(NACK, SEQUENCE_NUMBER);
        r3.received.clear();
        fromR1.send(golden.get("probe-request"));
        byte[] probe = r3.await(MEMBERSHIP, PROBE);
        byte[] goldenAck = golden.get("probe-answer");
        boolean[] answered = new boolean[1];
        for (int i = 0; i < 20 && !answered[0]; i++) {
            // The router's own probes go to r3 too, so each probe is answered until an
            // acknowledgement reaches r1.
            byte[] ack = goldenAck.clone();
            System.arraycopy(probe, 2, ack, 2, 8);
            fromR3.send(ack);
            byte[] message = r1.received.poll(100, TimeUnit.MILLISECONDS);
            answered[0] = message != null
                    && message[0] == MEMBERSHIP
                    && message[1] == ACK
                    && ByteBuffer.wrap(message, 2, 8).getLong() == SEQUENCE_NUMBER;
            byte[] nextProbe = r3.received.poll(10, TimeUnit.MILLISECONDS);
            probe = nextProbe != null && nextProbe[0] == MEMBERSHIP && nextProbe[1] == PROBE
                    ? nextProbe
                    : probe;
        }
        assertTrue(answered[0], "the acknowledgement of r3 was not passed on to r1");
        long failures = r2.callOnLoop(() -> r2.receivedCount("probe_failure"));
        fromR1.send(golden.get("probe-failure"));
        r2.waitUntil(() -> r2.receivedCount("probe_failure") == failures + 1);
        fromR1.send(golden.get("probe"));
        assertNotNull(r1.awaitMembership(ACK, SEQUENCE_NUMBER), "the connection is still open");
    }

    /** The router under test as leader of three voters; the followers confirm all log entries. */
    private final class Followers {
        final AcceptingPeer r1 = new AcceptingPeer(challenge("r1"));
        final AcceptingPeer r3 = new AcceptingPeer(challenge("r3"));
        final AcceptingPeer r4 = new AcceptingPeer(challenge("r4"));
        final Router r2 = new Router(
                "r2",
                Set.of("r1", "r2", "r3"),
                Map.of("r1", r1.address(), "r3", r3.address(), "r4", r4.address()),
                100);
        final ConnectingPeer fromR1 = new ConnectingPeer(r2, hello("r1"));
        final ConnectingPeer fromR3 = new ConnectingPeer(r2, hello("r3"));
        final ConnectingPeer fromR4 = new ConnectingPeer(r2, hello("r4"));

        Followers() throws Exception {
            fromR1.send(nodeMessage(ADMISSION_RESPONSE, "r1", emptyAdmissionResponse()));
            fromR3.send(nodeMessage(ADMISSION_RESPONSE, "r3", emptyAdmissionResponse()));
            RaftMessage preVote = r1.awaitRaft(message -> message instanceof PreVoteRequest);
            DefaultRaftModelFactory model = new DefaultRaftModelFactory();
            fromR1.send(raftFrame(
                    "r2/0",
                    model.createPreVoteResponseBuilder()
                            .setGroupId("tinlink")
                            .setSender(new Voter("r1", 0))
                            .setTerm(preVote.getTerm())
                            .setGranted(true)
                            .build()));
            RaftMessage vote = r1.awaitRaft(message -> message instanceof VoteRequest);
            fromR1.send(raftFrame(
                    "r2/0",
                    model.createVoteResponseBuilder()
                            .setGroupId("tinlink")
                            .setSender(new Voter("r1", 0))
                            .setTerm(vote.getTerm())
                            .setGranted(true)
                            .build()));
        }

        /** Confirms the entries received by a follower, and adds them to the log. */
        private void confirmEntries(
                AcceptingPeer router, ConnectingPeer sender, String name, List<LogEntry> log)
                throws Exception {
            for (byte[] message = router.received.poll();
                    message != null;
                    message = router.received.poll()) {
                if (message[0] == RAFT
                        && decodeRaft(message) instanceof AppendEntriesRequest append) {
                    log.addAll(append.getLogEntries());
                    int size = append.getLogEntries().size();
                    sender.send(raftFrame(
                            "r2/0",
                            new DefaultRaftModelFactory()
                                    .createAppendEntriesSuccessResponseBuilder()
                                    .setGroupId("tinlink")
                                    .setSender(new Voter(name, 0))
                                    .setTerm(append.getTerm())
                                    .setLastLogIndex(append.getPreviousLogIndex() + size)
                                    .setQuerySequenceNumber(append.getQuerySequenceNumber())
                                    .setFlowControlSequenceNumber(
                                            append.getFlowControlSequenceNumber())
                                    .build()));
                }
            }
        }

        /**
         * Returns the leader's first log entry that changes the group, while the routers keep announcing
         * their disks with these messages; null if there is none within about 6 s.
         *
         * @param presence4 null if r4 announces nothing
         */
        UpdateRaftGroupMembersOp awaitGroupChange(
                byte[] presence1, byte[] presence3, byte[] presence4) throws Exception {
            List<LogEntry> log = new ArrayList<>();
            for (int i = 0; i < 300; i++) {
                confirmEntries(r1, fromR1, "r1", log);
                confirmEntries(r3, fromR3, "r3", log);
                for (LogEntry entry : log) {
                    if (entry.getOperation() instanceof UpdateRaftGroupMembersOp change) {
                        return change;
                    }
                }
                if (i % 10 == 5) {
                    fromR1.send(presence1);
                    fromR3.send(presence3);
                    if (presence4 != null) {
                        fromR4.send(presence4);
                    }
                }
                Thread.sleep(20);
            }
            return null;
        }
    }

    private static byte[] presence(String router, String diskId) {
        return nodeMessage(PRESENCE, router, new MessageCodec.Builder().putText(diskId));
    }

    @Test
    void leaderReadsTheRecordedPresence() throws Exception {
        byte[] golden = golden().get("seat");
        assertArrayEquals(presence("r1", Long.toHexString(DISK_ID)), golden);
        Followers followers = new Followers();
        UpdateRaftGroupMembersOp change =
                followers.awaitGroupChange(golden, presence("r3", "0"), null);
        assertNotNull(change, "the voter slot of the lost disk was not given away");
        assertEquals(new Voter("r1", 0), change.getEndpoint());
        assertEquals(MembershipChangeMode.REMOVE_MEMBER, change.getMode());
    }

    @Test
    void leaderReadsTheRecordedVoterReplacement() throws Exception {
        byte[] golden = golden().get("replace");
        Followers followers = new Followers();
        followers.r2.waitUntil(followers.r2::isLeader);
        followers.fromR1.send(golden);
        UpdateRaftGroupMembersOp change = followers.awaitGroupChange(
                presence("r1", "0"), presence("r3", "0"), presence("r4", "4"));
        assertNotNull(change, "the voter slot was not given to the other router");
        assertEquals(new Voter("r3", 0), change.getEndpoint());
        assertEquals(MembershipChangeMode.REMOVE_MEMBER, change.getMode());
    }
}

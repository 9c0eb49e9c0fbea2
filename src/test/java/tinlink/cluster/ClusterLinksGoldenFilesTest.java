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
 * All that goes over the links of a cluster, byte for byte as earlier builds wrote it. A router of the code
 * under test speaks with plain sockets; what it has written as one router is read by it as another one. Seals
 * are checked and made by the sockets' side and stand in no record.
 */
@Timeout(120)
@SuppressWarnings("FutureReturnValueIgnored") // What is written is looked at, not what is answered.
class ClusterLinksGoldenFilesTest {
    private static final String FILE = "cluster-links.txt";
    private static final KeyRing KEYS =
            new KeyRing(Map.of("k1", "0123456789abcdef".getBytes(StandardCharsets.US_ASCII)), "k1");
    private static final String CLUSTER = "golden";
    private static final int HELLO = 1;
    private static final int CHALLENGE = 2;
    private static final int PROOF = 3;
    private static final int MEMBER = 4;
    private static final int RAFT = 5;
    private static final int WORD = 6;
    private static final int PROBE = 1;
    private static final int ACK = 2;
    private static final int PROBE_REQUEST = 3;
    private static final int NACK = 4;
    private static final int LEARN = 1;
    private static final int LEARNED = 2;
    private static final int PROPOSE = 3;
    private static final int PROPOSED = 4;
    private static final int MAY_VOTE = 5;
    private static final int HAS_HEARD = 6;
    private static final int NEWS = 7;
    private static final int SEAT = 8;
    private static final int REPLACE = 9;
    private static final int CONFIRM = 10;
    private static final int CONFIRMED = 11;

    private static final int NONCE_BYTES = 32;
    private static final int PROOF_BYTES = 32;
    private static final int WORD_BYTES = 8;
    private static final int SEAL_BYTES = 16;
    private static final long DISK = 0x1234567890abcdefL;
    private static final String LINE = "life\tr1\tr1#1.é\\t";
    private static final String NEWS_LINE = "saw\tn1\ttrue";
    private static final long NUMBER = 0x0102030405060708L;

    @TempDir
    Path folder;

    private final List<AutoCloseable> open = new ArrayList<>();

    @AfterEach
    void closeAll() throws Exception {
        for (int i = open.size() - 1; i >= 0; i--) {
            open.get(i).close();
        }
    }

    private static byte[] bytes(int value, int length) {
        byte[] all = new byte[length];
        Arrays.fill(all, (byte) value);
        return all;
    }

    /** What stands for what was drawn, where a record is sent. */
    private static Map<String, byte[]> drawn(byte[] proof) {
        Map<String, byte[]> all = new TreeMap<>();
        all.put("word", bytes(0x55, WORD_BYTES));
        all.put("nonce", bytes(0x66, NONCE_BYTES));
        if (proof != null) {
            all.put("proof", proof);
        }
        return all;
    }

    // ---- The code under test: a router, and one call a kind of message. ----

    /** RecordingStateMachine in the order in which they were agreed. */
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
        public synchronized void restore(List<String> from) {
            lines.clear();
            lines.addAll(from);
        }
    }

    private final class Router implements AutoCloseable {
        final EventLoop loop = new EventLoop();
        final RecordingStateMachine stateMachine = new RecordingStateMachine();
        final BlockingQueue<String> news = new LinkedBlockingQueue<>();
        final Network network;
        final ClusterNode node;

        /** @param lines between two snapshots, and those that are passed on one by one */
        Router(String name, Set<String> voters, Map<String, String> known, int lines)
                throws IOException {
            network = new Network(loop);
            Path at = folder.resolve(name + "-" + open.size());
            try (DurableLog self = new DurableLog(at.resolve("self"), 1 << 16)) {
                self.append(ByteBuffer.allocate(17 + name.length())
                        .putLong(4)
                        .putLong(DISK)
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
                            new ClusterSettings.KnownRouters(known, voters),
                            new ClusterSettings.Timing(400_000, 2, 100_000, 2_000_000, 20_000_000),
                            new ClusterSettings.Limits(64, 8 << 20, lines),
                            1),
                    KEYS,
                    at,
                    stateMachine,
                    new RecordingStateMachine());
            node.setReportListener((from, line) -> news.add(from + " " + line));
            Thread thread = new Thread(() -> loop.run(node), name);
            thread.setDaemon(true);
            thread.start();
            open.add(this);
            on(() -> {
                node.start();
                return 0;
            });
        }

        <T> T on(Supplier<T> what) {
            return loop.submitAndWait(what);
        }

        void becomes(BooleanSupplier what) throws InterruptedException {
            for (int i = 0; i < 2000; i++) {
                if (Boolean.TRUE.equals(on(what::getAsBoolean))) {
                    return;
                }
                Thread.sleep(5);
            }
            throw new AssertionError("it has not come to that");
        }

        int port() throws IOException {
            return node.address().getPort();
        }

        /** As a member's message says where it is reached: the plain sockets' addresses are known. */
        void sendsMember(int kind, String to, List<Rumor> rumors) {
            on(() -> {
                Membership.Handler members = node.membershipHandler();
                switch (kind) {
                    case PROBE -> members.sendProbe(to, NUMBER, rumors);
                    case ACK -> members.sendAck(to, NUMBER, rumors);
                    case PROBE_REQUEST ->
                        members.sendProbeRequest(to, NUMBER, "r3@127.0.0.1:3", rumors);
                    default -> members.sendNack(to, NUMBER, rumors);
                }
                return 0;
            });
        }

        CompletableFuture<String> proposes(String line) {
            CompletableFuture<String> answer = new CompletableFuture<>();
            loop.execute(
                    () -> node.propose(line, (said, why) -> answer.complete(said + " " + why)));
            return answer;
        }

        CompletableFuture<Long> confirms() {
            CompletableFuture<Long> answer = new CompletableFuture<>();
            loop.execute(() -> node.confirmCommitIndex(answer::complete));
            return answer;
        }

        void tells(String line) {
            loop.execute(() -> node.reportToLeader(line));
        }

        void replaces(String from, String to) {
            loop.execute(() -> node.replaceVoter(from, to));
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

        /** Messages of a kind that have come in. */
        long came(String kind) {
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

    // ---- The sockets' side. ----

    private static byte[] frame(int type, byte[] body, byte[] seal) {
        return ByteBuffer.allocate(5 + body.length + seal.length)
                .putInt(1 + body.length + seal.length)
                .put((byte) type)
                .put(body)
                .put(seal)
                .array();
    }

    private static byte[] next(DataInputStream in) throws IOException {
        byte[] whole = new byte[in.readInt()];
        in.readFully(whole);
        return whole;
    }

    private static byte[] body(byte[] whole) {
        return Arrays.copyOfRange(whole, 1, whole.length);
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

    /** A router that is called: what is said to it is told apart by type and kind. */
    private final class Called implements AutoCloseable {
        final ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        final BlockingQueue<byte[]> heard = new LinkedBlockingQueue<>();
        final BlockingQueue<byte[][]> handshakes = new LinkedBlockingQueue<>();
        /** The challenge's body without its proof. */
        final byte[] challenge;

        Called(byte[] challenge) throws IOException {
            this.challenge = challenge;
            open.add(this);
            Thread thread = new Thread(this::accept, "called");
            thread.setDaemon(true);
            thread.start();
        }

        String at() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        private void accept() {
            while (!server.isClosed()) {
                try (Socket socket = server.accept()) {
                    hears(new DataInputStream(socket.getInputStream()), socket);
                } catch (EOFException | SocketException e) {
                    // The router has closed it; it may call again.
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            }
        }

        private void hears(DataInputStream in, Socket socket) throws IOException {
            byte[] hello = next(in);
            byte[] own = proof("called proof", body(hello), challenge);
            socket.getOutputStream().write(frame(CHALLENGE, join(challenge, own), new byte[0]));
            byte[] proof = next(in);
            handshakes.add(new byte[][] {hello, proof});
            byte[] secret = proof("session", body(hello), challenge);
            FrameAuthenticator authenticator =
                    new FrameAuthenticator(KeyRing.mac(secret, "to the far side"));
            while (true) {
                byte[] whole = next(in);
                int end = whole.length - SEAL_BYTES;
                byte[] right = authenticator.nextTag(whole[0], whole, 1, end - 1);
                assertArrayEquals(right, Arrays.copyOfRange(whole, end, whole.length));
                heard.add(Arrays.copyOf(whole, end));
            }
        }

        byte[] awaits(Predicate<byte[]> which) throws InterruptedException {
            while (true) {
                byte[] message = heard.poll(20, TimeUnit.SECONDS);
                assertNotNull(message, "nothing of the kind has come");
                if (which.test(message)) {
                    return message;
                }
            }
        }

        byte[] awaits(int type, int kind) throws InterruptedException {
            return awaits(m -> m[0] == type && m[1] == kind);
        }

        /** One with that number, of {@link #MEMBER}. */
        byte[] awaitsMember(int kind, long number) throws InterruptedException {
            return awaits(m ->
                    m[0] == MEMBER && m[1] == kind && ByteBuffer.wrap(m, 2, 8).getLong() == number);
        }

        RaftMessage awaitsRaft(Predicate<RaftMessage> which) throws InterruptedException {
            RaftMessage[] found = new RaftMessage[1];
            awaits(m -> {
                found[0] = m[0] == RAFT ? raft(m) : null;
                return found[0] != null && which.test(found[0]);
            });
            return found[0];
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    private static RaftMessage raft(byte[] message) {
        ByteBuffer in = ByteBuffer.wrap(message, 1, message.length - 1);
        try {
            MessageCodec.readText(in);
            return RaftCodec.decode(in);
        } catch (tinlink.net.MessageRejectedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A router that calls, after a handshake by these records. */
    private final class Caller implements AutoCloseable {
        final Socket socket;
        final FrameAuthenticator authenticator;
        final byte[] challenge;

        Caller(Router to, byte[] hello) throws IOException {
            socket = new Socket(InetAddress.getLoopbackAddress(), to.port());
            socket.setSoTimeout(10_000);
            open.add(this);
            DataInputStream in = new DataInputStream(socket.getInputStream());
            socket.getOutputStream().write(frame(HELLO, hello, new byte[0]));
            challenge = next(in);
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

        /** Type and body. */
        void says(byte[] message) throws IOException {
            byte[] body = body(message);
            byte[] made = authenticator.nextTag(message[0], body, 0, body.length);
            socket.getOutputStream().write(frame(message[0], body, made));
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

    /** A word as it is said by another router. */
    private static byte[] word(int kind, String from, MessageCodec.Builder body) {
        return new MessageCodec.Builder()
                .putByte(WORD)
                .putByte(kind)
                .putText(from)
                .putBytes(body.build())
                .build();
    }

    // ---- What is written. ----

    /** Written once for all tests of a run; each reads the golden file. */
    private static Map<String, byte[]> golden() throws IOException {
        Map<String, byte[]> all = new LinkedHashMap<>();
        GoldenFile.read(FILE)
                .forEach((name, hex) ->
                        all.put(name, GoldenFile.bytes(hex, drawn(bytes(0x99, PROOF_BYTES)))));
        return all;
    }

    @Test
    void allMessagesAreWrittenAsTheyWere() throws Exception {
        Map<String, String> all = new LinkedHashMap<>();
        Map<String, byte[]> learner = learnerWrites(all);
        Map<String, byte[]> voter = voterWrites(all);
        leaderWrites(all, learner, voter);
        GoldenFile.holds(FILE, "Messages between routers of a cluster, type first, in hex.", all);
    }

    private static GoldenFile.Drawn piece(String name, int from, int length) {
        return new GoldenFile.Drawn(name, from, length);
    }

    /** A router that does not vote: it learns, and speaks to a leader that it has heard of. */
    private Map<String, byte[]> learnerWrites(Map<String, String> all) throws Exception {
        Called r2 = new Called(challenge("r2"));
        Router r1 = new Router("r1", Set.of("r2"), Map.of("r2", r2.at()), 20);
        Map<String, byte[]> made = new LinkedHashMap<>();
        byte[][] handshake = r2.handshakes.poll(20, TimeUnit.SECONDS);
        byte[] hello = handshake[0];
        int nonce = hello.length - NONCE_BYTES;
        all.put(
                "hello",
                GoldenFile.hex(
                        hello,
                        piece("word", nonce - WORD_BYTES, WORD_BYTES),
                        piece("nonce", nonce, NONCE_BYTES)));
        assertEquals(PROOF, handshake[1][0]);
        assertArrayEquals(proof("caller proof", body(hello), r2.challenge), body(handshake[1]));
        all.put("proof", GoldenFile.hex(handshake[1], piece("proof", 1, PROOF_BYTES)));
        made.put("learn-first", r2.awaits(WORD, LEARN));
        Caller leader = new Caller(r1, hello("r2"));
        leader.says(word(
                LEARNED,
                "r2",
                new MessageCodec.Builder()
                        .putText("r2")
                        .putLong(0)
                        .putByte(1)
                        .putLong(7)
                        .putLongText("a\nb")));
        r1.becomes(() -> r1.learnedIndex() == 7 && r1.leader().equals("r2"));
        made.put(
                "learn-more",
                r2.awaits(m -> m[0] == WORD
                        && m[1] == LEARN
                        && ByteBuffer.wrap(m, m.length - 8, 8).getLong() == 7));
        made.put("seat", r2.awaits(WORD, SEAT));
        r1.proposes(LINE);
        made.put("propose", r2.awaits(WORD, PROPOSE));
        r1.confirms();
        made.put("confirm", r2.awaits(WORD, CONFIRM));
        r1.tells(NEWS_LINE);
        made.put("news", r2.awaits(WORD, NEWS));
        r1.replaces("r3", "r4");
        made.put("replace", r2.awaits(WORD, REPLACE));
        int[] kinds = {PROBE, ACK, PROBE_REQUEST, NACK};
        String[] names = {"probe", "probe-answer", "probe-request", "probe-failure"};
        for (int i = 0; i < kinds.length; i++) {
            r1.sendsMember(kinds[i], "r2@127.0.0.1:2", rumors());
            made.put(names[i], r2.awaitsMember(kinds[i], NUMBER));
        }
        made.forEach((name, bytes) -> all.put(name, GoldenFile.hex(bytes)));
        return made;
    }

    /** A voter that has been started: it asks whether it may vote, then for votes. */
    private Map<String, byte[]> voterWrites(Map<String, String> all) throws Exception {
        Called r2 = new Called(challenge("r2"));
        Called r3 = new Called(challenge("r3"));
        Router r1 = new Router(
                "r1", Set.of("r1", "r2", "r3"), Map.of("r2", r2.at(), "r3", r3.at()), 20);
        Map<String, byte[]> made = new LinkedHashMap<>();
        made.put("may-vote", r2.awaits(WORD, MAY_VOTE));
        Caller from2 = new Caller(r1, hello("r2"));
        Caller from3 = new Caller(r1, hello("r3"));
        from2.says(word(HAS_HEARD, "r2", hasHeardNothing()));
        from3.says(word(HAS_HEARD, "r3", hasHeardNothing()));
        byte[] preVote = r2.awaits(m -> m[0] == RAFT && raft(m) instanceof PreVoteRequest);
        made.put("raft-pre-vote", preVote);
        from2.says(raftWord(
                "r1/0",
                new DefaultRaftModelFactory()
                        .createPreVoteResponseBuilder()
                        .setGroupId("tinlink")
                        .setSender(new Voter("r2", 0))
                        .setTerm(raft(preVote).getTerm())
                        .setGranted(true)
                        .build()));
        made.put("raft-vote", r2.awaits(m -> m[0] == RAFT && raft(m) instanceof VoteRequest));
        made.forEach((name, bytes) -> all.put(name, GoldenFile.hex(bytes)));
        return made;
    }

    private static MessageCodec.Builder hasHeardNothing() {
        return new MessageCodec.Builder()
                .putByte(0)
                .putByte(0)
                .putInt(0)
                .putInt(0)
                .putLong(0);
    }

    private static byte[] raftWord(String to, RaftMessage message) {
        return new MessageCodec.Builder()
                .putByte(RAFT)
                .putText(to)
                .putBytes(RaftCodec.encode(message))
                .build();
    }

    /** A router that isLeader alone, and answers what the other two have asked. */
    private void leaderWrites(
            Map<String, String> all, Map<String, byte[]> learner, Map<String, byte[]> voter)
            throws Exception {
        Called r1 = new Called(challenge("r1"));
        Router r2 = new Router("r2", Set.of("r2"), Map.of("r1", r1.at()), 4);
        r2.becomes(r2::isLeader);
        r2.becomes(() -> r2.leader().equals("r2"));
        Caller from1 = new Caller(r2, hello("r1"));
        byte[] challenge = from1.challenge;
        int nonce = challenge.length - PROOF_BYTES - NONCE_BYTES;
        all.put(
                "challenge",
                GoldenFile.hex(
                        challenge,
                        piece("word", nonce - WORD_BYTES, WORD_BYTES),
                        piece("nonce", nonce, NONCE_BYTES),
                        piece("proof", nonce + NONCE_BYTES, PROOF_BYTES)));
        Map<String, byte[]> made = new LinkedHashMap<>();
        from1.says(voter.get("may-vote"));
        made.put("has-heard-nothing", r1.awaits(WORD, HAS_HEARD));
        from1.says(learner.get("probe"));
        from1.says(voter.get("raft-vote"));
        from1.says(voter.get("may-vote"));
        made.put("has-heard", r1.awaits(WORD, HAS_HEARD));
        from1.says(learner.get("propose"));
        made.put("proposed", r1.awaits(WORD, PROPOSED));
        from1.says(learner.get("learn-first"));
        made.put("learned-lines", r1.awaits(WORD, LEARNED));
        from1.says(learner.get("confirm"));
        made.put("confirmed", r1.awaits(WORD, CONFIRMED));
        for (int i = 0; i < 6; i++) {
            r2.proposes("line " + i).get(20, TimeUnit.SECONDS);
        }
        long last = r2.on(r2::learnedIndex);
        from1.says(learner.get("learn-first"));
        made.put("learned-whole", r1.awaits(WORD, LEARNED));
        from1.says(word(LEARN, "r1", new MessageCodec.Builder().putLong(last)));
        made.put("learned-nothing", r1.awaits(WORD, LEARNED));
        made.forEach((name, bytes) -> all.put(name, GoldenFile.hex(bytes)));

        Called other = new Called(challenge("r1"));
        Router follower = new Router("r2", Set.of("r3"), Map.of("r1", other.at()), 4);
        new Caller(follower, hello("r1")).says(learner.get("propose"));
        all.put("not-proposed", GoldenFile.hex(other.awaits(WORD, PROPOSED)));
    }

    // ---- What is read. ----

    @Test
    void theHandshakeIsReadAsItWas() throws Exception {
        Map<String, String> golden = GoldenFile.read(FILE);
        Router r2 = new Router("r2", Set.of("r3"), Map.of(), 20);
        Map<String, byte[]> drawn = drawn(null);
        byte[] hello = GoldenFile.bytes(golden.get("hello"), drawn);
        assertEquals(HELLO, hello[0]);
        Caller r1 = new Caller(r2, body(hello));
        r1.says(golden().get("probe"));
        r2.becomes(() -> r2.member("r5") != null);

        String record = golden.get("challenge");
        String proofless = record.substring(0, record.indexOf("{proof}"));
        byte[] challenge = GoldenFile.bytes(proofless, drawn);
        assertEquals(CHALLENGE, challenge[0]);
        Called called = new Called(body(challenge));
        new Router("r1", Set.of("r2"), Map.of("r2", called.at()), 20);
        assertNotNull(called.awaits(WORD, LEARN));
    }

    @Test
    void aLearnerReadsWhatALeaderSaysAsItWas() throws Exception {
        Map<String, byte[]> golden = golden();
        Called r2 = new Called(challenge("r2"));
        Router r1 = new Router("r1", Set.of("r2"), Map.of("r2", r2.at()), 20);
        Caller leader = new Caller(r1, hello("r2"));
        leader.says(golden.get("learned-lines"));
        r1.becomes(() -> r1.leader().equals("r2"));
        assertEquals(List.of(LINE), r1.stateMachine.snapshot());
        assertEquals(2L, r1.on(r1::learnedIndex));
        CompletableFuture<String> proposed = r1.proposes(LINE);
        assertArrayEquals(golden.get("propose"), r2.awaits(WORD, PROPOSE));
        leader.says(golden.get("proposed"));
        assertEquals("no. 1 é null", proposed.get(20, TimeUnit.SECONDS));
        CompletableFuture<Long> confirmed = r1.confirms();
        assertArrayEquals(golden.get("confirm"), r2.awaits(WORD, CONFIRM));
        leader.says(golden.get("confirmed"));
        assertEquals(2L, confirmed.get(20, TimeUnit.SECONDS));
        leader.says(golden.get("learned-whole"));
        r1.becomes(() -> r1.learnedIndex() == 8);
        List<String> whole = new ArrayList<>(List.of(LINE));
        for (int i = 0; i < 6; i++) {
            whole.add("line " + i);
        }
        assertEquals(whole, r1.stateMachine.snapshot());
        leader.says(golden.get("learned-nothing"));
        leader.says(golden.get("probe"));
        r1.becomes(() -> r1.member("r5") != null);
        assertEquals(whole, r1.stateMachine.snapshot());

        Router again = new Router("r1", Set.of("r2"), Map.of("r2", r2.at()), 20);
        Caller other = new Caller(again, hello("r2"));
        other.says(golden.get("learned-lines"));
        again.becomes(() -> again.leader().equals("r2"));
        CompletableFuture<String> refused = again.proposes(LINE);
        other.says(golden.get("not-proposed"));
        assertEquals("null it does not lead", refused.get(20, TimeUnit.SECONDS));
    }

    @Test
    void aVoterReadsHowFarItHasBeenHeardAsItWas() throws Exception {
        Map<String, byte[]> golden = golden();
        Called r2 = new Called(challenge("r2"));
        Router fresh = new Router("r1", Set.of("r1", "r2"), Map.of("r2", r2.at()), 20);
        assertArrayEquals(golden.get("may-vote"), r2.awaits(WORD, MAY_VOTE));
        Caller caller = new Caller(fresh, hello("r2"));
        caller.says(golden.get("has-heard-nothing"));
        votesOnlyForWhoeverIsAsFar(caller, r2);
        Called again = new Called(challenge("r2"));
        Router old = new Router("r1", Set.of("r1", "r2"), Map.of("r2", again.at()), 20);
        new Caller(old, hello("r2")).says(golden.get("has-heard"));
        old.becomes(old.node::hasStaleDisk);
    }

    /** By what it has read, the other's disk is in term 1 and ends with one entry of that term. */
    private static void votesOnlyForWhoeverIsAsFar(Caller from2, Called r2) throws Exception {
        boolean[] granted = new boolean[2];
        for (int i = 0; i < 200 && !granted[1]; i++) {
            for (int lastIndex : new int[] {0, 1}) {
                from2.says(raftWord(
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
                for (byte[] m = r2.heard.poll(); m != null; m = r2.heard.poll()) {
                    if (m[0] == RAFT && raft(m) instanceof VoteResponse answer) {
                        granted[answer.getTerm() == 2 ? 0 : 1] |= answer.isGranted();
                    }
                }
            }
        }
        assertFalse(granted[0], "it voted for one whose log is shorter");
        assertTrue(granted[1], "it did not vote for one whose log is as long");
    }

    @Test
    void aLeaderReadsWhatOthersSayAsItWas() throws Exception {
        Map<String, byte[]> golden = golden();
        Called r1 = new Called(challenge("r1"));
        Called r3 = new Called(challenge("r3"));
        Router r2 = new Router("r2", Set.of("r2"), Map.of("r1", r1.at(), "r3", r3.at()), 4);
        r2.becomes(() -> r2.isLeader() && r2.leader().equals("r2"));
        Caller from1 = new Caller(r2, hello("r1"));
        from1.says(golden.get("news"));
        assertEquals("r1 " + NEWS_LINE, r2.news.poll(20, TimeUnit.SECONDS));
        from1.says(golden.get("propose"));
        assertArrayEquals(golden.get("proposed"), r1.awaits(WORD, PROPOSED));
        assertEquals(List.of(LINE), r2.stateMachine.snapshot());
        from1.says(golden.get("learn-first"));
        assertArrayEquals(golden.get("learned-lines"), r1.awaits(WORD, LEARNED));
        from1.says(golden.get("learn-more"));
        byte[] learned = r1.awaits(WORD, LEARNED);
        assertEquals(
                GoldenFile.hex(word(
                        LEARNED,
                        "r2",
                        new MessageCodec.Builder().putText("r2").putLong(7).putByte(0))),
                GoldenFile.hex(learned));
        from1.says(golden.get("confirm"));
        assertArrayEquals(golden.get("confirmed"), r1.awaits(WORD, CONFIRMED));
        from1.says(golden.get("raft-pre-vote"));
        from1.says(golden.get("may-vote"));
        byte[] nothing = r1.awaits(WORD, HAS_HEARD);
        assertEquals(0, nothing[5], "no member of that name");
        assertEquals(0, nothing[6], "no vote was asked for");
        from1.says(golden.get("raft-vote"));
        from1.says(golden.get("may-vote"));
        byte[] heard = r1.awaits(WORD, HAS_HEARD);
        assertEquals(1, heard[6]);
        assertEquals(1, ByteBuffer.wrap(heard, 7, 4).getInt(), "the vote's term");
    }

    @Test
    void membersReadProbesAsTheyWere() throws Exception {
        Map<String, byte[]> golden = golden();
        Called r1 = new Called(challenge("r1"));
        Called r3 = new Called(challenge("r3"));
        Router r2 = new Router("r2", Set.of("r2"), Map.of("r1", r1.at(), "r3", r3.at()), 4);
        Caller from1 = new Caller(r2, hello("r1"));
        Caller from3 = new Caller(r2, hello("r3"));
        from1.says(golden.get("probe"));
        byte[] answer = r1.awaitsMember(ACK, NUMBER);
        assertEquals(0, answer[10], "no target");
        Member suspect = r2.on(() -> r2.member("r5"));
        assertEquals(new Incarnation("r5", 2, -2), suspect.incarnation());
        assertEquals(MemberState.SUSPECT, suspect.state());
        assertEquals(9, suspect.refutationCount());
        assertEquals("r5@127.0.0.1:5", suspect.address());
        assertEquals(MemberState.ALIVE, r2.on(() -> r2.member("r1")).state());

        // Asked to probe another one: once that one is silent, once it answers.
        r3.heard.clear();
        from1.says(golden.get("probe-request"));
        r1.awaitsMember(NACK, NUMBER);
        r3.heard.clear();
        from1.says(golden.get("probe-request"));
        byte[] probe = r3.awaits(MEMBER, PROBE);
        byte[] read = golden.get("probe-answer");
        boolean[] answered = new boolean[1];
        for (int i = 0; i < 20 && !answered[0]; i++) {
            // Probes of its own go there too; whichever was for the other one is answered.
            byte[] said = read.clone();
            System.arraycopy(probe, 2, said, 2, 8);
            from3.says(said);
            byte[] then = r1.heard.poll(100, TimeUnit.MILLISECONDS);
            answered[0] = then != null
                    && then[0] == MEMBER
                    && then[1] == ACK
                    && ByteBuffer.wrap(then, 2, 8).getLong() == NUMBER;
            byte[] more = r3.heard.poll(10, TimeUnit.MILLISECONDS);
            probe = more != null && more[0] == MEMBER && more[1] == PROBE ? more : probe;
        }
        assertTrue(answered[0], "the answer was not passed on");
        long failures = r2.on(() -> r2.came("probe_failure"));
        from1.says(golden.get("probe-failure"));
        r2.becomes(() -> r2.came("probe_failure") == failures + 1);
        from1.says(golden.get("probe"));
        assertNotNull(r1.awaitsMember(ACK, NUMBER), "the link is still up");
    }

    /** A leader of three whose followers confirm all; what it does about seats goes to their logs. */
    private final class Followers {
        final Called r1 = new Called(challenge("r1"));
        final Called r3 = new Called(challenge("r3"));
        final Called r4 = new Called(challenge("r4"));
        final Router r2 = new Router(
                "r2",
                Set.of("r1", "r2", "r3"),
                Map.of("r1", r1.at(), "r3", r3.at(), "r4", r4.at()),
                100);
        final Caller from1 = new Caller(r2, hello("r1"));
        final Caller from3 = new Caller(r2, hello("r3"));
        final Caller from4 = new Caller(r2, hello("r4"));

        Followers() throws Exception {
            from1.says(word(HAS_HEARD, "r1", hasHeardNothing()));
            from3.says(word(HAS_HEARD, "r3", hasHeardNothing()));
            RaftMessage asked = r1.awaitsRaft(m -> m instanceof PreVoteRequest);
            DefaultRaftModelFactory model = new DefaultRaftModelFactory();
            from1.says(raftWord(
                    "r2/0",
                    model.createPreVoteResponseBuilder()
                            .setGroupId("tinlink")
                            .setSender(new Voter("r1", 0))
                            .setTerm(asked.getTerm())
                            .setGranted(true)
                            .build()));
            RaftMessage vote = r1.awaitsRaft(m -> m instanceof VoteRequest);
            from1.says(raftWord(
                    "r2/0",
                    model.createVoteResponseBuilder()
                            .setGroupId("tinlink")
                            .setSender(new Voter("r1", 0))
                            .setTerm(vote.getTerm())
                            .setGranted(true)
                            .build()));
        }

        /** Confirms what has come, and says with which disks they are there. */
        private void confirms(Called router, Caller from, String name, List<LogEntry> log)
                throws Exception {
            for (byte[] m = router.heard.poll(); m != null; m = router.heard.poll()) {
                if (m[0] == RAFT && raft(m) instanceof AppendEntriesRequest a) {
                    log.addAll(a.getLogEntries());
                    int size = a.getLogEntries().size();
                    from.says(raftWord(
                            "r2/0",
                            new DefaultRaftModelFactory()
                                    .createAppendEntriesSuccessResponseBuilder()
                                    .setGroupId("tinlink")
                                    .setSender(new Voter(name, 0))
                                    .setTerm(a.getTerm())
                                    .setLastLogIndex(a.getPreviousLogIndex() + size)
                                    .setQuerySequenceNumber(a.getQuerySequenceNumber())
                                    .setFlowControlSequenceNumber(a.getFlowControlSequenceNumber())
                                    .build()));
                }
            }
        }

        /** The first change of who votes that the leader puts to its log, as long as these are said. */
        UpdateRaftGroupMembersOp changes(byte[] of1, byte[] of3, byte[] of4) throws Exception {
            List<LogEntry> log = new ArrayList<>();
            for (int i = 0; i < 300; i++) {
                confirms(r1, from1, "r1", log);
                confirms(r3, from3, "r3", log);
                for (LogEntry entry : log) {
                    if (entry.getOperation() instanceof UpdateRaftGroupMembersOp change) {
                        return change;
                    }
                }
                if (i % 10 == 5) {
                    from1.says(of1);
                    from3.says(of3);
                    if (of4 != null) {
                        from4.says(of4);
                    }
                }
                Thread.sleep(20);
            }
            return null;
        }
    }

    private static byte[] seat(String router, String disk) {
        return word(SEAT, router, new MessageCodec.Builder().putText(disk));
    }

    @Test
    void aLeaderReadsWithWhichDiskAVoterIsThereAsItWas() throws Exception {
        byte[] golden = golden().get("seat");
        assertArrayEquals(seat("r1", Long.toHexString(DISK)), golden);
        Followers three = new Followers();
        UpdateRaftGroupMembersOp change = three.changes(golden, seat("r3", "0"), null);
        assertNotNull(change, "the seat of a lost disk has not been given away");
        assertEquals(new Voter("r1", 0), change.getEndpoint());
        assertEquals(MembershipChangeMode.REMOVE_MEMBER, change.getMode());
    }

    @Test
    void aLeaderReadsWhoseSeatGoesToWhomAsItWas() throws Exception {
        byte[] golden = golden().get("replace");
        Followers three = new Followers();
        three.r2.becomes(three.r2::isLeader);
        three.from1.says(golden);
        UpdateRaftGroupMembersOp change =
                three.changes(seat("r1", "0"), seat("r3", "0"), seat("r4", "4"));
        assertNotNull(change, "the seat has not been given to the other router");
        assertEquals(new Voter("r3", 0), change.getEndpoint());
        assertEquals(MembershipChangeMode.REMOVE_MEMBER, change.getMode());
    }
}

package tinlink.gateway;

import tinlink.gateway.forwarding.PartStatus;
import tinlink.net.MessageRejectedException;
import tinlink.net.ProtocolLimits;
import tinlink.securechannel.FrameFormat;
import tinlink.securechannel.Handshake;
import tinlink.securechannel.MessageCodec;

import java.nio.ByteBuffer;
import java.util.BitSet;
import java.util.HashSet;
import java.util.Set;

/**
 * Reads and writes the bodies of {@link GatewayMessage}s as docs/protocol-gateway.md specifies them. All
 * numbers are big-endian; a text is a length of one byte followed by that many bytes of UTF-8. The decoders
 * throw {@link java.nio.BufferUnderflowException} if a body is too short, and
 * {@link MessageRejectedException} if it is invalid.
 */
final class GatewayMessageCodec extends MessageCodec {
    static final int VERSION = 1;
    /** The maximum size of a message before both routers have authenticated. */
    static final int MAX_UNAUTHENTICATED_BYTES = 1 << 10;

    static final int MAX_MESSAGE_BYTES = 1
            + ProtocolLimits.MAX_HEAD_BYTES
            + ProtocolLimits.MAX_BODY_BYTES
            + FrameFormat.TAG_BYTES;
    static final int MAX_QUERIED_PARTS = 4096;
    private static final GatewayMessage.Type[] TYPES = GatewayMessage.Type.values();
    private static final int CLIENT_RETRY_FLAG = 1;
    private static final int IDEMPOTENCY_KEY_FLAG = 2;

    private GatewayMessageCodec() {}

    /** The message type with the given code. */
    static GatewayMessage.Type typeOf(byte code) throws MessageRejectedException {
        for (GatewayMessage.Type type : TYPES) {
            if (type.code == code) {
                return type;
            }
        }
        throw malformed("unknown message type " + code);
    }

    static MessageRejectedException unexpected(GatewayMessage.Type type) {
        return malformed("unexpected message " + type);
    }

    // ---- Writing. ----

    static byte[] encode(GatewayMessage message) {
        MessageCodec.Builder out = new MessageCodec.Builder();
        switch (message.type()) {
            case HELLO -> write(out, (GatewayMessage.Hello) message);
            case CHALLENGE -> write(out, (GatewayMessage.Challenge) message);
            case PROOF -> {
                GatewayMessage.Proof proof = (GatewayMessage.Proof) message;
                out.putLong(proof.connectCount()).putLong(proof.nextNumber());
            }
            case FORWARD_PART -> write(out, (GatewayMessage.ForwardPart) message);
            case CANCEL_PART -> out.putLong(((GatewayMessage.CancelPart) message).number());
            case STATUS_QUERY -> write(out, (GatewayMessage.StatusQuery) message);
            case HEARTBEAT -> {
                GatewayMessage.Heartbeat heartbeat = (GatewayMessage.Heartbeat) message;
                out.putLong(heartbeat.number()).putLong(heartbeat.lowestOpenNumber());
            }
            case HEARTBEAT_ACK -> out.putLong(((GatewayMessage.HeartbeatAck) message).number());
            case PART_STATUS -> write(out, (GatewayMessage.StatusReport) message);
            case CREDIT_WINDOW -> out.putInt(((GatewayMessage.CreditWindow) message).parts());
            case SERVED_CELLS ->
                out.putBytes(((GatewayMessage.ServedCells) message).cells().toByteArray());
            case GO_AWAY -> out.putLong(((GatewayMessage.GoAway) message).lastStarted());
        }
        return out.build();
    }

    private static void write(MessageCodec.Builder out, GatewayMessage.Hello hello) {
        out.putShort(VERSION)
                .putText(hello.keyId())
                .putText(hello.site())
                .putText(hello.router())
                .putShort(hello.channelIndex())
                .putLong(hello.incarnation())
                .putBytes(hello.nonce());
    }

    private static void write(MessageCodec.Builder out, GatewayMessage.Challenge challenge) {
        out.putShort(VERSION)
                .putText(challenge.site())
                .putText(challenge.router())
                .putLong(challenge.incarnation())
                .putBytes(challenge.nonce());
    }

    private static void write(MessageCodec.Builder out, GatewayMessage.ForwardPart part) {
        PartContent content = part.content();
        boolean hasKey = content.idempotencyKey() != null;
        out.putLong(part.number())
                .putLong(part.remainingUs())
                .putLong(part.effectRemainingUs())
                .putLong(part.ackedHeartbeat())
                .putLong(part.sinceAckUs())
                .putInt(content.shard())
                .putByte((content.clientRetry() ? CLIENT_RETRY_FLAG : 0)
                        | (hasKey ? IDEMPOTENCY_KEY_FLAG : 0))
                .putText(content.lookupClass())
                .putText(content.id());
        if (hasKey) {
            out.putText(content.idempotencyKey());
        }
        out.putBytes(content.text());
    }

    private static void write(MessageCodec.Builder out, GatewayMessage.StatusQuery query) {
        out.putShort(query.channelIndex())
                .putLong(query.connectCount())
                .putLong(query.nextNumber())
                .putShort(query.numbers().size());
        query.numbers().forEach(out::putLong);
    }

    private static void write(MessageCodec.Builder out, GatewayMessage.StatusReport report) {
        out.putShort(report.channelIndex())
                .putLong(report.number())
                .putByte(report.status().code)
                .putLong(report.durationUs())
                .putLong(report.retryAfterUs())
                .putBytes(report.value());
    }

    // ---- Reading. ----

    private static void checkVersion(ByteBuffer body) throws MessageRejectedException {
        int version = body.getShort();
        if (version != VERSION) {
            throw malformed("expected handshake version " + VERSION + ", found " + version);
        }
    }

    /** Decodes a HELLO and leaves the position at its end; the proofs cover all bytes before. */
    static GatewayMessage.Hello decodeHello(ByteBuffer body) throws MessageRejectedException {
        checkVersion(body);
        return new GatewayMessage.Hello(
                readText(body),
                readText(body),
                readText(body),
                body.getShort(),
                body.getLong(),
                readBytes(body, Handshake.NONCE_BYTES));
    }

    /**
     * Decodes a CHALLENGE and leaves the position at the responder's proof; the proofs cover all bytes
     * before it.
     */
    static GatewayMessage.Challenge decodeChallenge(ByteBuffer body)
            throws MessageRejectedException {
        checkVersion(body);
        return new GatewayMessage.Challenge(
                readText(body),
                readText(body),
                body.getLong(),
                readBytes(body, Handshake.NONCE_BYTES));
    }

    /** Decodes the claims of a PROOF and leaves the position at the initiator's proof. */
    static GatewayMessage.Proof decodeProof(ByteBuffer body) {
        return new GatewayMessage.Proof(body.getLong(), body.getLong());
    }

    /** Reads the proof at the end of a CHALLENGE or a PROOF. */
    static byte[] decodeProofBytes(ByteBuffer body) throws MessageRejectedException {
        return readBytes(body, Handshake.PROOF_BYTES);
    }

    static GatewayMessage.ForwardPart decodeForwardPart(ByteBuffer body)
            throws MessageRejectedException {
        long number = body.getLong();
        long remainingUs = body.getLong();
        long effectRemainingUs = body.getLong();
        long ackedHeartbeat = body.getLong();
        long sinceAckUs = body.getLong();
        int shard = body.getInt();
        int flags = body.get();
        String lookupClass = readText(body);
        String id = readText(body);
        String key = (flags & IDEMPOTENCY_KEY_FLAG) == 0 ? null : readText(body);
        if (number < 1 || sinceAckUs < 0) {
            throw malformed(
                    "FORWARD_PART out of range: number " + number + ", sinceAckUs " + sinceAckUs);
        }
        byte[] text = readBytes(body, body.remaining());
        boolean clientRetry = (flags & CLIENT_RETRY_FLAG) != 0;
        return new GatewayMessage.ForwardPart(
                number,
                remainingUs,
                effectRemainingUs,
                ackedHeartbeat,
                sinceAckUs,
                new PartContent(id, lookupClass, shard, key, text, clientRetry));
    }

    static GatewayMessage.CancelPart decodeCancelPart(ByteBuffer body) {
        return new GatewayMessage.CancelPart(body.getLong());
    }

    static GatewayMessage.StatusQuery decodeStatusQuery(ByteBuffer body)
            throws MessageRejectedException {
        int channelIndex = body.getShort();
        long connectCount = body.getLong();
        long nextNumber = body.getLong();
        int count = body.getShort() & 0xffff;
        if (count > MAX_QUERIED_PARTS || body.remaining() != count * Long.BYTES) {
            throw malformed("STATUS_QUERY of " + count + " parts with " + body.remaining()
                    + " bytes of numbers; at most " + MAX_QUERIED_PARTS + " parts");
        }
        Set<Long> numbers = new HashSet<>();
        for (int i = 0; i < count; i++) {
            numbers.add(body.getLong());
        }
        return new GatewayMessage.StatusQuery(channelIndex, connectCount, nextNumber, numbers);
    }

    static GatewayMessage.Heartbeat decodeHeartbeat(ByteBuffer body) {
        return new GatewayMessage.Heartbeat(body.getLong(), body.getLong());
    }

    static GatewayMessage.HeartbeatAck decodeHeartbeatAck(ByteBuffer body) {
        return new GatewayMessage.HeartbeatAck(body.getLong());
    }

    static GatewayMessage.StatusReport decodeStatusReport(ByteBuffer body)
            throws MessageRejectedException {
        int channelIndex = body.getShort();
        long number = body.getLong();
        int statusCode = body.get();
        long durationUs = body.getLong();
        long retryAfterUs = body.getLong();
        PartStatus status = PartStatus.ofCode(statusCode);
        if (status == null) {
            throw malformed("PART_STATUS with unknown status code " + statusCode);
        }
        return new GatewayMessage.StatusReport(
                channelIndex,
                number,
                status,
                durationUs,
                retryAfterUs,
                readBytes(body, body.remaining()));
    }

    static GatewayMessage.CreditWindow decodeCreditWindow(ByteBuffer body) {
        return new GatewayMessage.CreditWindow(Math.max(0, body.getInt()));
    }

    static GatewayMessage.ServedCells decodeServedCells(ByteBuffer body) {
        return new GatewayMessage.ServedCells(BitSet.valueOf(body));
    }

    static GatewayMessage.GoAway decodeGoAway(ByteBuffer body) {
        return new GatewayMessage.GoAway(body.getLong());
    }
}

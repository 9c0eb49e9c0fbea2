package tinlink.gateway;

import tinlink.gateway.forwarding.InboundChannel;
import tinlink.gateway.forwarding.PartStatus;
import tinlink.net.CloseReason;
import tinlink.net.MessageRejectedException;
import tinlink.securechannel.MessageCodec;
import tinlink.securechannel.SecureSession;

import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The far side of a line: whoever connects proves who it is, then hands parts over and asks about
 * them.
 */
final class GatewayServerSession extends SecureSession {
    private static final Logger LOG = Logger.getLogger("tinlink.gateway");
    private static final int MAX_ACKED_HEARTBEATS = 64;
    private final Gateway gateway;
    private final GatewayServer server;
    private byte[] hello;
    private byte[] challenge;
    private String keyId = "";
    private String site = "";
    private String router = "";
    private int channelIndex;
    private long incarnation;
    InboundChannel inbound;
    /** When heartbeats were answered, by number; the newest. */
    private final LinkedHashMap<Long, Long> ackedHeartbeats = new LinkedHashMap<>();

    GatewayServerSession(Gateway gateway, GatewayServer server) {
        super(
                gateway.loop,
                gateway.timing.handshakeUs(),
                GatewayProtocol.MAX_UNAUTHENTICATED_BYTES,
                GatewayProtocol.MAX_MESSAGE_BYTES);
        this.gateway = gateway;
        this.server = server;
    }

    @Override
    protected void onMessage(byte type, ByteBuffer payload, byte[] frame)
            throws MessageRejectedException {
        if (hello == null) {
            onHello(type, payload, frame);
        } else if (inbound == null) {
            onProof(type, payload);
        } else {
            switch (type) {
                case GatewayProtocol.FORWARD_PART -> onForwardPart(payload);
                case GatewayProtocol.CANCEL_PART ->
                    server.receiver.onCancelPart(inbound, payload.getLong());
                case GatewayProtocol.STATUS_QUERY -> onStatusQuery(payload);
                case GatewayProtocol.HEARTBEAT -> {
                    long number = payload.getLong();
                    server.receiver.forgetBelow(inbound, payload.getLong());
                    send(
                            GatewayProtocol.HEARTBEAT_ACK,
                            new GatewayProtocol.Builder().putLong(number).build());
                    ackedHeartbeats.put(number, gateway.loop.nowUs());
                    if (ackedHeartbeats.size() > MAX_ACKED_HEARTBEATS) {
                        ackedHeartbeats.remove(
                                ackedHeartbeats.keySet().iterator().next());
                    }
                    server.heartbeatReceived(this);
                }
                default -> throw GatewayProtocol.malformed("a message of type " + type);
            }
        }
    }

    private void onHello(byte type, ByteBuffer payload, byte[] frame)
            throws MessageRejectedException {
        if (type != GatewayProtocol.HELLO || payload.getShort() != GatewayProtocol.VERSION) {
            throw GatewayProtocol.malformed("no greeting of this version");
        }
        keyId = GatewayProtocol.readText(payload);
        site = GatewayProtocol.readText(payload);
        router = GatewayProtocol.readText(payload);
        channelIndex = payload.getShort();
        incarnation = payload.getLong();
        GatewayProtocol.readBytes(payload, GatewayProtocol.NONCE_BYTES);
        if (!gateway.keys.contains(keyId)
                || !gateway.identity.acceptedSites().contains(site)
                || channelIndex < 0
                || channelIndex >= Gateway.MAX_CHANNELS) {
            throw GatewayProtocol.malformed(
                    "a site or a key that is not known here: " + site + ", " + keyId);
        }
        hello = java.util.Arrays.copyOfRange(frame, 1, payload.position());
        challenge = new MessageCodec.Builder()
                .putShort(GatewayProtocol.VERSION)
                .putText(gateway.identity.site())
                .putText(gateway.identity.router())
                .putLong(gateway.identity.incarnation())
                .putBytes(gateway.newNonce())
                .build();
        restartHandshakeDeadline(
                gateway.timing
                        .handshakeUs()); // Its proof is a round trip away, however long the line
        // is.
        send(
                GatewayProtocol.CHALLENGE,
                new MessageCodec.Builder()
                        .putBytes(challenge)
                        .putBytes(gateway.keys.proof(keyId, "far proof", hello, challenge))
                        .build());
    }

    private void onProof(byte type, ByteBuffer payload) throws MessageRejectedException {
        if (type != GatewayProtocol.PROOF) {
            throw GatewayProtocol.malformed("no proof");
        }
        byte[] channelCounts = GatewayProtocol.readBytes(payload, 2 * Long.BYTES);
        byte[] proof = GatewayProtocol.readBytes(payload, GatewayProtocol.PROOF_BYTES);
        if (!gateway.keys.contains(keyId)
                || !GatewayKeys.constantTimeEquals(
                        proof,
                        gateway.keys.proof(keyId, "near proof", hello, challenge, channelCounts))) {
            gateway.counters.increment("far_wrong_proof");
            throw GatewayProtocol.malformed("a wrong proof");
        }
        enableAuthentication(gateway.keys.proof(keyId, "session", hello, challenge), false);
        ByteBuffer countsReader = ByteBuffer.wrap(channelCounts);
        inbound = server.receiver.onConnected(
                site + "/" + router,
                channelIndex,
                incarnation,
                countsReader.getLong(),
                countsReader.getLong(),
                this);
        if (inbound == null) {
            throw GatewayProtocol.malformed("too many routers are connected");
        }
        gateway.counters.increment("far_lines_up");
        LOG.log(Level.INFO, "event=near_up site={0} router={1} line={2}", new Object[] {
            site, router, channelIndex
        });
        server.authenticated(this);
    }

    private void onForwardPart(ByteBuffer payload) throws MessageRejectedException {
        long number = payload.getLong();
        long remainingUs = payload.getLong();
        long effectRemainingUs = payload.getLong();
        Long ackedAt = ackedHeartbeats.get(payload.getLong());
        long sinceAckUs = payload.getLong();
        int shard = payload.getInt();
        int flags = payload.get();
        String index = GatewayProtocol.readText(payload);
        String id = GatewayProtocol.readText(payload);
        String idempotencyKey = (flags & 2) == 0 ? null : GatewayProtocol.readText(payload);
        if (number < 1 || sinceAckUs < 0) {
            throw GatewayProtocol.malformed("a part out of range");
        }
        gateway.counters.increment("far_parts");
        // Danger: a line that holds a part back for long and then brings it. Its age is no more
        // than the time
        // since the answer to a heartbeat left here, less the time for which its near router has
        // had that
        // answer: a round trip, which is also what its own answer needs. An old answer can't be
        // told apart
        // and counts as too old.
        long now = gateway.loop.nowUs();
        long ageUs = ackedAt == null ? Long.MAX_VALUE / 2 : Math.max(0, now - ackedAt - sinceAckUs);
        long runnableUs = Math.min(remainingUs, effectRemainingUs) - ageUs;
        server.receiver.onForwardPart(
                inbound,
                new IncomingPart(
                        inbound,
                        number,
                        now,
                        runnableUs,
                        id,
                        index,
                        shard,
                        idempotencyKey,
                        GatewayProtocol.readBytes(payload, payload.remaining()),
                        (flags & 1) != 0),
                runnableUs > 0);
    }

    private void onStatusQuery(ByteBuffer payload) throws MessageRejectedException {
        int aboutChannel = payload.getShort();
        long connectCount = payload.getLong();
        long minAcceptedNumber = payload.getLong();
        int count = payload.getShort() & 0xffff;
        if (count > GatewayProtocol.MAX_QUERIED_PARTS
                || payload.remaining() != count * Long.BYTES) {
            throw GatewayProtocol.malformed("a list of fates that does not fit");
        }
        Set<Long> numbers = new HashSet<>();
        for (int i = 0; i < count; i++) {
            numbers.add(payload.getLong());
        }
        server.receiver.onStatusQuery(
                inbound, this, aboutChannel, connectCount, minAcceptedNumber, numbers);
    }

    @SuppressWarnings("EnumOrdinal") // The protocol numbers fates in their order.
    void sendPartStatus(int aboutChannel, long number, PartStatus status, IncomingPart part) {
        boolean hasValue = part != null && status == PartStatus.COMPLETED;
        send(
                GatewayProtocol.PART_STATUS,
                new MessageCodec.Builder()
                        .putShort(aboutChannel)
                        .putLong(number)
                        .putByte(status.ordinal())
                        .putLong(part == null ? 0 : part.durationUs)
                        .putLong(part == null ? 0 : part.retryAfterUs)
                        .putBytes(hasValue ? part.value : new byte[0])
                        .build());
    }

    @Override
    protected void onClosed(CloseReason closeReason) {
        server.sessionClosed(this);
        if (inbound != null) {
            LOG.log(
                    Level.INFO,
                    "event=near_down site={0} router={1} line={2} how={3}",
                    new Object[] {site, router, channelIndex, closeReason});
            server.receiver.onDisconnected(inbound, this);
        } else {
            gateway.counters.increment("far_refused");
        }
    }

    @Override
    protected String peerName() {
        return site + "/" + router;
    }

    @Override
    protected void incrementCounter(String what) {
        gateway.counters.increment("far_" + what);
    }

    @Override
    protected Logger logger() {
        return LOG;
    }
}

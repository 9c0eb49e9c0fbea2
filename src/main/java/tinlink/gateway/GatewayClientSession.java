package tinlink.gateway;

import tinlink.gateway.forwarding.ForwardedPart;
import tinlink.gateway.forwarding.GatewayChannel;
import tinlink.gateway.forwarding.PartStatus;
import tinlink.net.CloseReason;
import tinlink.net.MessageRejectedException;
import tinlink.securechannel.MessageCodec;
import tinlink.securechannel.SecureSession;

import java.nio.ByteBuffer;
import java.util.BitSet;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The near side of a line to a far router: calls it, proves itself, passes parts on and hears of
 * their fates.
 */
final class GatewayClientSession extends SecureSession {
    private static final Logger LOG = Logger.getLogger("tinlink.gateway");
    private final Gateway gateway;
    private final GatewayClient client;
    final GatewayChannel channel;
    private final String site;
    private String keyId;
    private byte[] hello;
    private long helloSentAt;

    GatewayClientSession(
            Gateway gateway, GatewayClient client, GatewayChannel channel, String site) {
        super(
                gateway.loop,
                gateway.timing.handshakeUs(),
                GatewayProtocol.MAX_UNAUTHENTICATED_BYTES,
                GatewayProtocol.MAX_MESSAGE_BYTES);
        this.gateway = gateway;
        this.client = client;
        this.channel = channel;
        this.site = site;
    }

    @Override
    public void connected() {
        keyId = gateway.keys.activeKeyId();
        hello = new MessageCodec.Builder()
                .putShort(GatewayProtocol.VERSION)
                .putText(keyId)
                .putText(gateway.identity.site())
                .putText(gateway.identity.router())
                .putShort(channel.index)
                .putLong(gateway.identity.incarnation())
                .putBytes(gateway.newNonce())
                .build();
        helloSentAt = gateway.loop.nowUs();
        send(GatewayProtocol.HELLO, hello);
    }

    @Override
    protected void onMessage(byte type, ByteBuffer payload, byte[] frame)
            throws MessageRejectedException {
        if (!isAuthenticated()) {
            onChallenge(type, payload, frame);
            return;
        }
        switch (type) {
            case GatewayProtocol.HEARTBEAT_ACK ->
                channel.router.onHeartbeatAck(channel, payload.getLong());
            case GatewayProtocol.CREDIT_WINDOW ->
                channel.router.onCreditWindow(Math.max(0, payload.getInt()));
            case GatewayProtocol.SERVED_CELLS ->
                channel.router.onServedCells(BitSet.valueOf(payload));
            case GatewayProtocol.GO_AWAY -> {
                LOG.log(Level.INFO, "event=far_leaves site={0} router={1}", new Object[] {
                    site, channel.router.name
                });
                channel.router.onGoAway(channel, payload.getLong());
            }
            case GatewayProtocol.PART_STATUS -> onPartStatus(payload);
            default -> throw GatewayProtocol.malformed("a message of type " + type);
        }
    }

    /** The far router says who it is, and proves it with our nonce; then we do with its own. */
    private void onChallenge(byte type, ByteBuffer payload, byte[] frame)
            throws MessageRejectedException {
        if (type != GatewayProtocol.CHALLENGE || payload.getShort() != GatewayProtocol.VERSION) {
            throw GatewayProtocol.malformed("no challenge of this version");
        }
        String remoteSite = GatewayProtocol.readText(payload);
        String remoteRouter = GatewayProtocol.readText(payload);
        long incarnation = payload.getLong();
        GatewayProtocol.readBytes(payload, GatewayProtocol.NONCE_BYTES);
        int challengeEnd = payload.position();
        byte[] proof = GatewayProtocol.readBytes(payload, GatewayProtocol.PROOF_BYTES);
        byte[] challenge = java.util.Arrays.copyOfRange(frame, 1, challengeEnd);
        if (!remoteSite.equals(site) || !remoteRouter.equals(channel.router.name)) {
            throw GatewayProtocol.malformed(
                    "it is " + remoteSite + "/" + remoteRouter + ", not who was called");
        }
        if (!gateway.keys.contains(keyId)
                || !GatewayKeys.constantTimeEquals(
                        proof, gateway.keys.proof(keyId, "far proof", hello, challenge))) {
            gateway.counters.increment("near_wrong_proof");
            throw GatewayProtocol.malformed("a wrong proof");
        }
        byte[] channelCounts = new MessageCodec.Builder()
                .putLong(channel.connectCount() + 1)
                .putLong(channel.nextPartNumber())
                .build();
        send(
                GatewayProtocol.PROOF,
                new MessageCodec.Builder()
                        .putBytes(channelCounts)
                        .putBytes(gateway.keys.proof(
                                keyId, "near proof", hello, challenge, channelCounts))
                        .build());
        enableAuthentication(gateway.keys.proof(keyId, "session", hello, challenge), true);
        gateway.counters.increment("near_lines_up");
        LOG.log(
                Level.INFO,
                "event=line_up site={0} router={1} line={2} round_trip_us={3}",
                new Object[] {
                    site,
                    remoteRouter,
                    channel.index,
                    String.valueOf(gateway.loop.nowUs() - helloSentAt)
                });
        channel.router.onConnected(channel, incarnation, gateway.loop.nowUs() - helloSentAt);
    }

    @SuppressWarnings("EnumOrdinal") // The protocol numbers fates in their order.
    private void onPartStatus(ByteBuffer payload) throws MessageRejectedException {
        int channelIndex = payload.getShort();
        long number = payload.getLong();
        int statusCode = payload.get();
        long durationUs = payload.getLong();
        long retryAfterUs = payload.getLong();
        if (channelIndex < 0
                || channelIndex >= channel.router.channels.size()
                || statusCode < 0
                || statusCode >= PartStatus.values().length) {
            throw GatewayProtocol.malformed("a fate of what was never sent");
        }
        GatewayChannel about = channel.router.channels.get(channelIndex);
        if (number < 1 || number >= about.nextPartNumber()) {
            throw GatewayProtocol.malformed("a fate of what was never sent");
        }
        ForwardedPart openPart = channel.router.findOpenPart(about, number);
        if (openPart instanceof OutgoingPart part) {
            part.value = GatewayProtocol.readBytes(payload, payload.remaining());
            part.durationUs =
                    Math.max(1, Math.min(durationUs, gateway.loop.nowUs() - part.forwardedAt));
            part.retryAfterUs = Math.max(0, retryAfterUs);
            channel.router.onPartStatus(about, number, PartStatus.values()[statusCode]);
        }
    }

    @Override
    protected void onClosed(CloseReason closeReason) {
        boolean wasUp = client.sessionClosed(this);
        LOG.log(
                wasUp ? Level.WARNING : Level.FINE,
                "event=line_down site={0} router={1} line={2} how={3} open={4}",
                new Object[] {
                    site,
                    channel.router.name,
                    channel.index,
                    closeReason,
                    channel.openParts().size()
                });
        gateway.counters.increment(
                wasUp
                        ? "near_lines_" + closeReason.name().toLowerCase(java.util.Locale.ROOT)
                        : "near_not_up");
        channel.router.onDisconnected(
                channel, part -> connection.mayHaveLeft(((OutgoingPart) part).endPosition));
    }

    @Override
    protected String peerName() {
        return site + "/" + channel.router.name;
    }

    @Override
    protected void incrementCounter(String what) {
        gateway.counters.increment("near_" + what);
    }

    @Override
    protected Logger logger() {
        return LOG;
    }
}

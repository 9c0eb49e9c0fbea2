package tinlink.gateway;

import tinlink.gateway.forwarding.PartStatus;
import tinlink.gateway.forwarding.ForwardedPart;
import tinlink.gateway.forwarding.GatewayChannel;
import tinlink.net.BadMessage;
import tinlink.net.Ending;
import tinlink.sealed.Message;
import tinlink.sealed.Session;

import java.nio.ByteBuffer;
import java.util.BitSet;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The near side of a line to a far router: calls it, proves itself, passes parts on and hears of
 * their fates.
 */
final class GatewayClientSession extends Session {
    private static final Logger LOG = Logger.getLogger("tinlink.gateway");
    private final Gateway gateway;
    private final GatewayClient client;
    final GatewayChannel channel;
    private final String site;
    private String keyId;
    private byte[] hello;
    private long helloSentAt;

    GatewayClientSession(Gateway gateway, GatewayClient client, GatewayChannel channel, String site) {
        super(gateway.loop, gateway.timing.handshakeUs(), GatewayProtocol.MAX_UNAUTHENTICATED_BYTES, GatewayProtocol.MAX_MESSAGE_BYTES);
        this.gateway = gateway;
        this.client = client;
        this.channel = channel;
        this.site = site;
    }

    @Override
    public void up() {
        keyId = gateway.keys.use();
        hello = new Message.Out()
                .two(GatewayProtocol.VERSION)
                .text(keyId)
                .text(gateway.identity.site())
                .text(gateway.identity.router())
                .two(channel.index)
                .eight(gateway.identity.incarnation())
                .bytes(gateway.newNonce())
                .made();
        helloSentAt = gateway.loop.now();
        send(GatewayProtocol.HELLO, hello);
    }

    @Override
    protected void said(byte type, ByteBuffer payload, byte[] frame) throws BadMessage {
        if (!isProved()) {
            onChallenge(type, payload, frame);
            return;
        }
        switch (type) {
            case GatewayProtocol.HEARTBEAT_ACK -> channel.router.onHeartbeatAck(channel, payload.getLong());
            case GatewayProtocol.CREDIT_WINDOW -> channel.router.creditWindow(Math.max(0, payload.getInt()));
            case GatewayProtocol.SERVED_CELLS -> channel.router.onServedCells(BitSet.valueOf(payload));
            case GatewayProtocol.GO_AWAY -> {
                LOG.log(Level.INFO, "event=far_leaves site={0} router={1}", new Object[] {
                    site, channel.router.name
                });
                channel.router.onGoAway(channel, payload.getLong());
            }
            case GatewayProtocol.PART_STATUS -> onPartStatus(payload);
            default -> throw GatewayProtocol.bad("a message of type " + type);
        }
    }

    /** The far router says who it is, and proves it with our nonce; then we do with its own. */
    private void onChallenge(byte type, ByteBuffer payload, byte[] frame) throws BadMessage {
        if (type != GatewayProtocol.CHALLENGE || payload.getShort() != GatewayProtocol.VERSION) {
            throw GatewayProtocol.bad("no challenge of this version");
        }
        String remoteSite = GatewayProtocol.text(payload);
        String remoteRouter = GatewayProtocol.text(payload);
        long incarnation = payload.getLong();
        GatewayProtocol.bytes(payload, GatewayProtocol.NONCE_BYTES);
        int challengeEnd = payload.position();
        byte[] proof = GatewayProtocol.bytes(payload, GatewayProtocol.PROOF_BYTES);
        byte[] challenge = java.util.Arrays.copyOfRange(frame, 1, challengeEnd);
        if (!remoteSite.equals(site) || !remoteRouter.equals(channel.router.name)) {
            throw GatewayProtocol.bad("it is " + remoteSite + "/" + remoteRouter + ", not who was called");
        }
        if (!gateway.keys.has(keyId)
                || !GatewayKeys.same(proof, gateway.keys.proof(keyId, "far proof", hello, challenge))) {
            gateway.counters.add("near_wrong_proof");
            throw GatewayProtocol.bad("a wrong proof");
        }
        byte[] channelCounts = new Message.Out().eight(channel.connectCount() + 1).eight(channel.nextPartNumber()).made();
        send(
                GatewayProtocol.PROOF,
                new Message.Out()
                        .bytes(channelCounts)
                        .bytes(gateway.keys.proof(keyId, "near proof", hello, challenge, channelCounts))
                        .made());
        sealed(gateway.keys.proof(keyId, "session", hello, challenge), true);
        gateway.counters.add("near_lines_up");
        LOG.log(
                Level.INFO,
                "event=line_up site={0} router={1} line={2} round_trip_us={3}",
                new Object[] {site, remoteRouter, channel.index, String.valueOf(gateway.loop.now() - helloSentAt)
                });
        channel.router.onConnected(channel, incarnation, gateway.loop.now() - helloSentAt);
    }

    @SuppressWarnings("EnumOrdinal") // The protocol numbers fates in their order.
    private void onPartStatus(ByteBuffer payload) throws BadMessage {
        int channelIndex = payload.getShort();
        long number = payload.getLong();
        int statusCode = payload.get();
        long durationUs = payload.getLong();
        long retryAfterUs = payload.getLong();
        if (channelIndex < 0
                || channelIndex >= channel.router.channels.size()
                || statusCode < 0
                || statusCode >= PartStatus.values().length) {
            throw GatewayProtocol.bad("a fate of what was never sent");
        }
        GatewayChannel about = channel.router.channels.get(channelIndex);
        if (number < 1 || number >= about.nextPartNumber()) {
            throw GatewayProtocol.bad("a fate of what was never sent");
        }
        ForwardedPart openPart = channel.router.findOpenPart(about, number);
        if (openPart instanceof OutgoingPart part) {
            part.value = GatewayProtocol.bytes(payload, payload.remaining());
            part.durationUs = Math.max(1, Math.min(durationUs, gateway.loop.now() - part.forwardedAt));
            part.retryAfterUs = Math.max(0, retryAfterUs);
            channel.router.onPartStatus(about, number, PartStatus.values()[statusCode]);
        }
    }

    @Override
    protected void over(Ending how) {
        boolean wasUp = client.sessionClosed(this);
        LOG.log(
                wasUp ? Level.WARNING : Level.FINE,
                "event=line_down site={0} router={1} line={2} how={3} open={4}",
                new Object[] {
                    site, channel.router.name, channel.index, how, channel.openParts().size()
                });
        gateway.counters.add(
                wasUp
                        ? "near_lines_" + how.name().toLowerCase(java.util.Locale.ROOT)
                        : "near_not_up");
        channel.router.onDisconnected(channel, part -> link.left(((OutgoingPart) part).endPosition));
    }

    @Override
    protected String peer() {
        return site + "/" + channel.router.name;
    }

    @Override
    protected void counted(String what) {
        gateway.counters.add("near_" + what);
    }

    @Override
    protected Logger log() {
        return LOG;
    }
}

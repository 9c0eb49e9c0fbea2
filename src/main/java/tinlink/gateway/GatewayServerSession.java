package tinlink.gateway;

import tinlink.gateway.forwarding.InboundChannel;
import tinlink.gateway.forwarding.PartStatus;
import tinlink.net.CloseReason;
import tinlink.net.MessageRejectedException;
import tinlink.securechannel.Handshake;

import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.logging.Level;

/**
 * The receiving side of a connection from a remote router, which authenticates, forwards parts and queries
 * their status. Runs on the event loop's thread.
 */
final class GatewayServerSession extends GatewaySession {
    private static final int MAX_ACKED_HEARTBEATS = 64;
    /** The age of a part that names an unknown heartbeat; large enough that the part counts as too old. */
    private static final long UNKNOWN_AGE_US = Long.MAX_VALUE / 2;

    private static final byte[] NO_VALUE = new byte[0];

    private final GatewayServer server;
    private GatewayMessage.Hello hello;
    private Handshake handshake;
    private InboundChannel channel;
    /** When the latest {@link #MAX_ACKED_HEARTBEATS} heartbeats were answered, by number. */
    private final LinkedHashMap<Long, Long> ackedHeartbeats = new LinkedHashMap<>();

    GatewayServerSession(Gateway gateway, GatewayServer server) {
        super(gateway);
        this.server = server;
    }

    /** The channel of the session; null until the remote router has authenticated. */
    InboundChannel channel() {
        return channel;
    }

    // ---- The handshake. ----

    @Override
    protected void onMessage(byte code, ByteBuffer body, byte[] frame)
            throws MessageRejectedException {
        if (hello == null) {
            requireType(GatewayMessage.Type.HELLO, code);
            onHello(body, frame);
        } else if (channel == null) {
            requireType(GatewayMessage.Type.PROOF, code);
            onProof(body, frame);
        } else {
            onAuthenticatedMessage(GatewayMessageCodec.typeOf(code), body);
        }
    }

    private void onHello(ByteBuffer body, byte[] frame) throws MessageRejectedException {
        GatewayMessage.Hello received = GatewayMessageCodec.decodeHello(body);
        int channelIndex = received.channelIndex();
        if (!gateway.keys().contains(received.keyId())
                || !gateway.settings.identity().acceptedSites().contains(received.site())
                || channelIndex < 0
                || channelIndex >= Gateway.MAX_CHANNELS) {
            throw GatewayMessageCodec.malformed("HELLO with an unknown site, key or channel: "
                    + received.site() + ", " + received.keyId() + ", " + channelIndex);
        }
        hello = received;
        Gateway.Identity identity = gateway.settings.identity();
        byte[] challenge = GatewayMessageCodec.encode(new GatewayMessage.Challenge(
                identity.site(), identity.router(), identity.incarnation(), gateway.newNonce()));
        handshake = new Handshake(
                gateway::keys, hello.keyId(), PROOF_LABELS, readSoFar(frame, body), challenge);
        // The proof arrives a round trip later, so that a slow network needs a new deadline.
        restartHandshakeDeadline(gateway.settings.timing().handshakeUs());
        sendWithProof(GatewayMessage.Type.CHALLENGE, challenge, handshake.responderProof());
    }

    private void onProof(ByteBuffer body, byte[] frame) throws MessageRejectedException {
        GatewayMessage.Proof claims = GatewayMessageCodec.decodeProof(body);
        byte[] claimBytes = readSoFar(frame, body);
        byte[] proof = GatewayMessageCodec.decodeProofBytes(body);
        if (!handshake.isInitiatorProof(proof, claimBytes)) {
            gateway.counters().increment("inbound_wrong_proof");
            throw GatewayMessageCodec.malformed("PROOF has a wrong proof");
        }
        enableAuthentication(handshake.sessionSecret(), false);
        channel = server.receiver()
                .onConnected(
                        peerName(),
                        hello.channelIndex(),
                        hello.incarnation(),
                        claims.connectCount(),
                        claims.nextNumber(),
                        this);
        if (channel == null) {
            throw GatewayMessageCodec.malformed("too many channels are connected");
        }
        gateway.counters().increment("inbound_channels_up");
        LOG.log(
                Level.INFO,
                "event=inbound_channel_up site={0} router={1} channel={2}",
                new Object[] {hello.site(), hello.router(), hello.channelIndex()});
        server.authenticated(this);
    }

    // ---- Messages of the forwarding router. ----

    private void onAuthenticatedMessage(GatewayMessage.Type type, ByteBuffer body)
            throws MessageRejectedException {
        switch (type) {
            case FORWARD_PART -> onForwardPart(GatewayMessageCodec.decodeForwardPart(body));
            case CANCEL_PART ->
                server.receiver()
                        .onCancelPart(
                                channel,
                                GatewayMessageCodec.decodeCancelPart(body).number());
            case STATUS_QUERY -> onStatusQuery(GatewayMessageCodec.decodeStatusQuery(body));
            case HEARTBEAT -> onHeartbeat(GatewayMessageCodec.decodeHeartbeat(body));
            default -> throw GatewayMessageCodec.unexpected(type);
        }
    }

    private void onHeartbeat(GatewayMessage.Heartbeat heartbeat) {
        server.receiver().forgetBelow(channel, heartbeat.lowestOpenNumber());
        send(new GatewayMessage.HeartbeatAck(heartbeat.number()));
        ackedHeartbeats.put(heartbeat.number(), gateway.loop.nowUs());
        if (ackedHeartbeats.size() > MAX_ACKED_HEARTBEATS) {
            ackedHeartbeats.remove(ackedHeartbeats.keySet().iterator().next());
        }
        server.heartbeatReceived(this);
    }

    private void onForwardPart(GatewayMessage.ForwardPart message) {
        gateway.counters().increment("inbound_parts");
        long now = gateway.loop.nowUs();
        long runnableUs =
                Math.min(message.remainingUs(), message.effectRemainingUs()) - ageUs(message, now);
        IncomingPart part =
                new IncomingPart(channel, message.number(), now, runnableUs, message.content());
        server.receiver().onForwardPart(channel, part, runnableUs > 0);
    }

    /**
     * An upper bound of the part's age, since a network can hold a part back for long before it delivers the
     * part. The bound is the time since this router answered a heartbeat, less the time for which the
     * forwarding router has had that answer. It covers a round trip, which the part's own answer needs too.
     * If the heartbeat is too old to be remembered, the part counts as too old.
     */
    private long ageUs(GatewayMessage.ForwardPart message, long now) {
        Long ackedAt = ackedHeartbeats.get(message.ackedHeartbeat());
        return ackedAt == null ? UNKNOWN_AGE_US : Math.max(0, now - ackedAt - message.sinceAckUs());
    }

    private void onStatusQuery(GatewayMessage.StatusQuery query) {
        server.receiver()
                .onStatusQuery(
                        channel,
                        this,
                        query.channelIndex(),
                        query.connectCount(),
                        query.nextNumber(),
                        query.numbers());
    }

    // ---- Messages to the forwarding router. ----

    /**
     * Sends the status of a part.
     *
     * @param part null if the part is no longer remembered
     */
    void sendPartStatus(int channelIndex, long number, PartStatus status, IncomingPart part) {
        boolean hasValue = part != null && status == PartStatus.COMPLETED;
        send(new GatewayMessage.StatusReport(
                channelIndex,
                number,
                status,
                part == null ? 0 : part.durationUs,
                part == null ? 0 : part.retryAfterUs,
                hasValue ? part.value : NO_VALUE));
    }

    // ---- Close. ----

    @Override
    protected void onClosed(CloseReason reason) {
        server.sessionClosed(this);
        if (channel == null) {
            gateway.counters().increment("inbound_unauthenticated");
            return;
        }
        LOG.log(
                Level.INFO,
                "event=inbound_channel_down site={0} router={1} channel={2} reason={3}",
                new Object[] {hello.site(), hello.router(), hello.channelIndex(), reason});
        server.receiver().onDisconnected(channel, this);
    }

    @Override
    protected String peerName() {
        return hello == null ? "/" : hello.site() + "/" + hello.router();
    }

    @Override
    protected void incrementCounter(String counter) {
        gateway.counters().increment("inbound_" + counter);
    }
}

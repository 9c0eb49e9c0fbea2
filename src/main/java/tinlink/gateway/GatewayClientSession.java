package tinlink.gateway;

import tinlink.gateway.forwarding.ForwardedPart;
import tinlink.gateway.forwarding.GatewayChannel;
import tinlink.net.CloseReason;
import tinlink.net.MessageRejectedException;
import tinlink.securechannel.Handshake;

import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.logging.Level;

/**
 * The forwarding side of a connection to a remote router: connects, authenticates, sends parts and receives
 * their status. Runs on the event loop's thread.
 */
final class GatewayClientSession extends GatewaySession {
    private final GatewayClient client;
    final GatewayChannel channel;
    private final String site;
    private String keyId;
    private byte[] hello;
    private long helloSentAt;

    GatewayClientSession(
            Gateway gateway, GatewayClient client, GatewayChannel channel, String site) {
        super(gateway);
        this.client = client;
        this.channel = channel;
        this.site = site;
    }

    // ---- The handshake. ----

    @Override
    public void connected() {
        keyId = gateway.keys().activeKeyId();
        Gateway.Identity identity = gateway.settings.identity();
        hello = GatewayMessageCodec.encode(new GatewayMessage.Hello(
                keyId,
                identity.site(),
                identity.router(),
                channel.index,
                identity.incarnation(),
                gateway.newNonce()));
        helloSentAt = gateway.loop.nowUs();
        send(GatewayMessage.Type.HELLO.code, hello);
    }

    /** Checks the remote router's proof over this router's nonce, and answers with this router's proof. */
    private void onChallenge(byte type, ByteBuffer body, byte[] frame)
            throws MessageRejectedException {
        requireType(GatewayMessage.Type.CHALLENGE, type);
        GatewayMessage.Challenge challenge = GatewayMessageCodec.decodeChallenge(body);
        Handshake handshake =
                new Handshake(gateway::keys, keyId, PROOF_LABELS, hello, readSoFar(frame, body));
        byte[] proof = GatewayMessageCodec.decodeProofBytes(body);
        if (!challenge.site().equals(site) || !challenge.router().equals(channel.router.name)) {
            throw GatewayMessageCodec.malformed("expected router " + peerName() + ", but "
                    + challenge.site() + "/" + challenge.router() + " answered");
        }
        if (!handshake.isResponderProof(proof)) {
            gateway.counters().increment("outbound_wrong_proof");
            throw GatewayMessageCodec.malformed("CHALLENGE has a wrong proof");
        }
        byte[] claims = GatewayMessageCodec.encode(
                new GatewayMessage.Proof(channel.connectCount() + 1, channel.nextPartNumber()));
        sendWithProof(GatewayMessage.Type.PROOF, claims, handshake.initiatorProof(claims));
        enableAuthentication(handshake.sessionSecret(), true);
        onAuthenticated(challenge.incarnation());
    }

    private void onAuthenticated(long remoteIncarnation) {
        long roundTripUs = gateway.loop.nowUs() - helloSentAt;
        gateway.counters().increment("outbound_channels_up");
        LOG.log(
                Level.INFO,
                "event=channel_up site={0} router={1} channel={2} round_trip_us={3}",
                new Object[] {site, channel.router.name, channel.index, String.valueOf(roundTripUs)
                });
        channel.router.onConnected(channel, remoteIncarnation, roundTripUs);
    }

    // ---- Messages of the remote router. ----

    @Override
    protected void onMessage(byte code, ByteBuffer body, byte[] frame)
            throws MessageRejectedException {
        if (!isAuthenticated()) {
            onChallenge(code, body, frame);
            return;
        }
        GatewayMessage.Type type = GatewayMessageCodec.typeOf(code);
        switch (type) {
            case HEARTBEAT_ACK ->
                channel.router.onHeartbeatAck(
                        channel, GatewayMessageCodec.decodeHeartbeatAck(body).number());
            case CREDIT_WINDOW ->
                channel.router.onCreditWindow(
                        GatewayMessageCodec.decodeCreditWindow(body).parts());
            case SERVED_CELLS ->
                channel.router.onServedCells(
                        GatewayMessageCodec.decodeServedCells(body).cells());
            case GO_AWAY -> onGoAway(GatewayMessageCodec.decodeGoAway(body));
            case PART_STATUS -> onPartStatus(GatewayMessageCodec.decodeStatusReport(body));
            default -> throw GatewayMessageCodec.unexpected(type);
        }
    }

    private void onGoAway(GatewayMessage.GoAway goAway) {
        LOG.log(Level.INFO, "event=remote_router_draining site={0} router={1}", new Object[] {
            site, channel.router.name
        });
        channel.router.onGoAway(channel, goAway.lastStarted());
    }

    private void onPartStatus(GatewayMessage.StatusReport report) throws MessageRejectedException {
        int index = report.channelIndex();
        if (index < 0 || index >= channel.router.channels.size()) {
            throw GatewayMessageCodec.malformed("PART_STATUS of unknown channel " + index);
        }
        GatewayChannel about = channel.router.channels.get(index);
        if (report.number() < 1 || report.number() >= about.nextPartNumber()) {
            throw GatewayMessageCodec.malformed("PART_STATUS of part " + report.number()
                    + ", which was never sent on channel " + index);
        }
        ForwardedPart openPart = channel.router.findOpenPart(about, report.number());
        if (openPart instanceof OutgoingPart part) {
            long sinceForwardedUs = gateway.loop.nowUs() - part.forwardedAt;
            part.value = report.value();
            part.durationUs = Math.max(1, Math.min(report.durationUs(), sinceForwardedUs));
            part.retryAfterUs = Math.max(0, report.retryAfterUs());
            channel.router.onPartStatus(about, report.number(), report.status());
        }
    }

    // ---- Close. ----

    @Override
    protected void onClosed(CloseReason reason) {
        boolean wasUp = client.sessionClosed(this);
        LOG.log(
                wasUp ? Level.WARNING : Level.FINE,
                "event=channel_down site={0} router={1} channel={2} reason={3} open_parts={4}",
                new Object[] {
                    site,
                    channel.router.name,
                    channel.index,
                    reason,
                    channel.openParts().size()
                });
        String reasonName = reason.name().toLowerCase(Locale.ROOT);
        gateway.counters()
                .increment(wasUp ? "outbound_channels_" + reasonName : "outbound_not_connected");
        channel.router.onDisconnected(
                channel, part -> connection.mayHaveLeft(((OutgoingPart) part).endPosition));
    }

    @Override
    protected String peerName() {
        return site + "/" + channel.router.name;
    }

    @Override
    protected void incrementCounter(String counter) {
        gateway.counters().increment("outbound_" + counter);
    }
}

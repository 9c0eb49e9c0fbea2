package tinlink.gateway;

import tinlink.gateway.forwarding.ForwardedPart;
import tinlink.gateway.forwarding.ForwardingHandler;
import tinlink.gateway.forwarding.GatewayChannel;
import tinlink.gateway.forwarding.PartStatus;
import tinlink.gateway.forwarding.RemoteRouter;
import tinlink.net.CloseReason;

import java.io.IOException;
import java.util.BitSet;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The near side of a gateway: carries out what each {@link RemoteRouter} decides about the parts that this
 * router passes on to other sites. Runs on the loop's thread.
 */
final class GatewayClient implements ForwardingHandler {
    private static final Logger LOG = Logger.getLogger("tinlink.gateway");
    private static final int CLIENT_RETRY_FLAG = 1;
    private static final int IDEMPOTENCY_KEY_FLAG = 2;

    private final Gateway gateway;
    /** Those of the file; none comes or goes in service. */
    private final Map<RemoteRouter, Gateway.RemoteEndpoint> remoteRouters = new LinkedHashMap<>();
    /** One for each line that is up or being connected. */
    private final Map<GatewayChannel, GatewayClientSession> sessions = new IdentityHashMap<>();

    GatewayClient(
            Gateway gateway,
            List<Gateway.RemoteEndpoint> endpoints,
            int maxQueuedParts,
            long seed) {
        this.gateway = gateway;
        SplittableRandom random = new SplittableRandom(seed);
        RemoteRouter.Settings settings = new RemoteRouter.Settings(
                gateway.timing.heartbeatUs(), maxQueuedParts, gateway.timing.recoveryUs());
        for (Gateway.RemoteEndpoint each : endpoints) {
            remoteRouters.put(
                    new RemoteRouter(
                            each.router(),
                            each.addresses().size(),
                            settings,
                            this::hasAlternative,
                            random.split()),
                    each);
        }
    }

    private boolean hasAlternative(int cell, RemoteRouter other) {
        return remoteRouters.keySet().stream()
                .anyMatch(router -> router != other && router.canServe(cell));
    }

    void advanceClock(long nowUs) {
        remoteRouters.keySet().forEach(router -> router.advanceClock(nowUs));
    }

    /** Carries out all decisions that are due. */
    void decide() {
        remoteRouters
                .keySet()
                .forEach(router -> Gateway.runAllDecisions(() -> router.decide(this)));
    }

    String siteOf(RemoteRouter router) {
        return remoteRouters.get(router).site();
    }

    /** The session has ended. @return whether it had been up */
    boolean sessionClosed(GatewayClientSession session) {
        sessions.remove(session.channel, session);
        return session.wasAuthenticated();
    }

    // ---- Decisions of a far router's. ----

    @Override
    public void connect(GatewayChannel channel) {
        Gateway.RemoteEndpoint endpoint = remoteRouters.get(channel.router);
        GatewayClientSession session =
                new GatewayClientSession(gateway, this, channel, endpoint.site());
        try {
            sessions.put(channel, session);
            session.attach(
                    gateway.network.connect(endpoint.addresses().get(channel.index), session),
                    gateway.timing.handshakeUs() + gateway.timing.maxRequestUs() / 4);
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.WARNING, "event=no_connection site=" + endpoint.site(), e);
            sessions.remove(channel);
            channel.router.onDisconnected(channel, part -> false);
        }
    }

    @Override
    public void disconnect(GatewayChannel channel) {
        GatewayClientSession session = sessions.get(channel);
        if (session != null) {
            session.close(CloseReason.UNRESPONSIVE);
        }
    }

    @Override
    public void sendHeartbeat(GatewayChannel channel, long number, long lowest) {
        sessions.get(channel)
                .send(
                        GatewayProtocol.HEARTBEAT,
                        new GatewayProtocol.Builder()
                                .putLong(number)
                                .putLong(lowest)
                                .build());
    }

    @Override
    public void sendPart(ForwardedPart forwarded) {
        OutgoingPart part = (OutgoingPart) forwarded;
        long now = gateway.loop.nowUs();
        GatewayChannel channel = part.channel();
        int flags = (part.clientRetry ? CLIENT_RETRY_FLAG : 0)
                | (part.idempotencyKey == null ? 0 : IDEMPOTENCY_KEY_FLAG);
        GatewayProtocol.Builder message = new GatewayProtocol.Builder()
                .putLong(part.number())
                .putLong(part.deadline - now - channel.marginUs())
                .putLong(
                        part.effectDeadline == Long.MAX_VALUE
                                ? Long.MAX_VALUE
                                : part.effectDeadline - now)
                .putLong(channel.lastAckedHeartbeat())
                .putLong(channel.sinceAckUs(now))
                .putInt(part.shard)
                .putByte(flags)
                .putText(part.index)
                .putText(part.id);
        if (part.idempotencyKey != null) {
            message.putText(part.idempotencyKey);
        }
        gateway.counters.increment("near_parts");
        part.endPosition = sessions.get(channel)
                .send(GatewayProtocol.FORWARD_PART, message.putBytes(part.text).build());
    }

    @Override
    public void sendCancel(ForwardedPart part) {
        GatewayClientSession session = sessions.get(part.channel());
        if (session != null && session.isAuthenticated()) {
            session.send(
                    GatewayProtocol.CANCEL_PART,
                    new GatewayProtocol.Builder().putLong(part.number()).build());
        }
    }

    @Override
    public void sendStatusQuery(GatewayChannel via, GatewayChannel about) {
        Set<Long> numbers = about.openParts().keySet();
        GatewayProtocol.Builder message = new GatewayProtocol.Builder()
                .putShort(about.index)
                .putLong(about.connectCount())
                .putLong(about.nextPartNumber())
                .putShort(numbers.size());
        numbers.forEach(message::putLong);
        gateway.counters.increment("near_fates_asked");
        sessions.get(via).send(GatewayProtocol.STATUS_QUERY, message.build());
    }

    @Override
    public void partEnded(ForwardedPart forwarded, PartStatus status) {
        OutgoingPart part = (OutgoingPart) forwarded;
        String statusName = status.name().toLowerCase(Locale.ROOT);
        gateway.counters.increment("near_" + statusName);
        if (part.wasUnresolved() && !part.idempotent) {
            gateway.counters.increment(
                    "near_unsure_" + (part.routerRestarted() ? "died" : statusName));
        }
        gateway.partHandler.partEnded(
                part, status.outcome, status == PartStatus.COMPLETED ? part.durationUs : -1);
    }

    @Override
    public void cellsChanged(RemoteRouter router, BitSet cells, long roundTripUs) {
        LOG.log(
                Level.FINE,
                "event=far_serves site={0} router={1} cells={2} line_us={3}",
                new Object[] {
                    siteOf(router), router.name, cells.cardinality(), String.valueOf(roundTripUs)
                });
        gateway.partHandler.cellsChanged(router, cells, roundTripUs);
    }

    @Override
    public void wakeAt(RemoteRouter router, long at) {
        gateway.wakeAt(at);
    }
}

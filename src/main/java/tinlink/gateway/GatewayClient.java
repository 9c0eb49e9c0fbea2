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
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The forwarding side of a gateway: carries out the decisions of each {@link RemoteRouter} about the parts
 * that this router forwards to other sites. Runs on the event loop's thread.
 */
final class GatewayClient implements ForwardingHandler {
    private static final Logger LOG = Logger.getLogger("tinlink.gateway");

    private final Gateway gateway;
    /** The remote routers of the configuration; the set is fixed while the router runs. */
    private final Map<RemoteRouter, Gateway.RemoteEndpoint> remoteRouters = new LinkedHashMap<>();
    /** The session of each channel that is up or connecting. */
    private final IdentityHashMap<GatewayChannel, GatewayClientSession> sessions =
            new IdentityHashMap<>();

    GatewayClient(Gateway gateway) {
        this.gateway = gateway;
        Gateway.Timing timing = gateway.settings.timing();
        RemoteRouter.Settings settings = new RemoteRouter.Settings(
                timing.heartbeatUs(),
                gateway.settings.limits().maxQueuedParts(),
                timing.recoveryUs());
        SplittableRandom random = new SplittableRandom(gateway.settings.seed());
        for (Gateway.RemoteEndpoint endpoint : gateway.settings.endpoints()) {
            RemoteRouter router = new RemoteRouter(
                    endpoint.router(),
                    endpoint.addresses().size(),
                    settings,
                    this::hasAlternative,
                    random.split());
            remoteRouters.put(router, endpoint);
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

    /** Removes a session that has ended. @return whether it had authenticated */
    boolean sessionClosed(GatewayClientSession session) {
        sessions.remove(session.channel, session);
        return session.wasAuthenticated();
    }

    // ---- Decisions of a RemoteRouter. ----

    @Override
    public void connect(GatewayChannel channel) {
        Gateway.RemoteEndpoint endpoint = remoteRouters.get(channel.router);
        Gateway.Timing timing = gateway.settings.timing();
        GatewayClientSession session =
                new GatewayClientSession(gateway, this, channel, endpoint.site());
        try {
            sessions.put(channel, session);
            session.attach(
                    gateway.network.connect(endpoint.addresses().get(channel.index), session),
                    timing.handshakeUs() + timing.maxRequestUs() / 4);
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.WARNING, "event=connect_failed site=" + endpoint.site(), e);
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
    public void sendHeartbeat(GatewayChannel channel, long number, long lowestOpenNumber) {
        sessions.get(channel).send(new GatewayMessage.Heartbeat(number, lowestOpenNumber));
    }

    @Override
    public void sendPart(ForwardedPart forwarded) {
        OutgoingPart part = (OutgoingPart) forwarded;
        GatewayChannel channel = part.channel();
        long now = gateway.loop.nowUs();
        boolean hasEffectDeadline = part.effectDeadline != Long.MAX_VALUE;
        gateway.counters().increment("outbound_parts");
        part.endPosition = sessions.get(channel)
                .send(new GatewayMessage.ForwardPart(
                        part.number(),
                        part.deadline - now - channel.marginUs(),
                        hasEffectDeadline ? part.effectDeadline - now : Long.MAX_VALUE,
                        channel.lastAckedHeartbeat(),
                        channel.sinceAckUs(now),
                        part.content));
    }

    @Override
    public void sendCancel(ForwardedPart part) {
        GatewayClientSession session = sessions.get(part.channel());
        if (session != null && session.isAuthenticated()) {
            session.send(new GatewayMessage.CancelPart(part.number()));
        }
    }

    @Override
    public void sendStatusQuery(GatewayChannel via, GatewayChannel about) {
        gateway.counters().increment("outbound_status_queries");
        sessions.get(via)
                .send(new GatewayMessage.StatusQuery(
                        about.index,
                        about.connectCount(),
                        about.nextPartNumber(),
                        about.openParts().keySet()));
    }

    @Override
    public void partEnded(ForwardedPart forwarded, PartStatus status) {
        OutgoingPart part = (OutgoingPart) forwarded;
        String statusName = status.name().toLowerCase(Locale.ROOT);
        gateway.counters().increment("outbound_" + statusName);
        if (part.wasUnresolved() && !part.idempotent) {
            gateway.counters()
                    .increment("outbound_unresolved_"
                            + (part.routerRestarted() ? "router_restarted" : statusName));
        }
        long durationUs = status == PartStatus.COMPLETED ? part.durationUs : -1;
        gateway.partHandler.partEnded(part, status.outcome, durationUs);
    }

    @Override
    public void cellsChanged(RemoteRouter router, BitSet cells, long roundTripUs) {
        LOG.log(
                Level.FINE,
                "event=remote_cells_changed site={0} router={1} cells={2} round_trip_us={3}",
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

package tinlink.gateway;

import tinlink.gateway.forwarding.ExecutionHandler;
import tinlink.gateway.forwarding.ForwardedPartReceiver;
import tinlink.gateway.forwarding.PartStatus;
import tinlink.gateway.forwarding.ReceivedPart;
import tinlink.net.CloseReason;
import tinlink.net.Connection;
import tinlink.net.EventLoop;
import tinlink.net.Network;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The far side of a gateway: takes connections from routers of other sites and carries out what {@link
 * ForwardedPartReceiver} decides about the parts that they pass on. Runs on the loop's thread.
 */
final class GatewayServer implements ExecutionHandler, Network.AcceptHandler {
    private static final Logger LOG = Logger.getLogger("tinlink.gateway");
    /** Connections that may be here without having proved themselves. */
    private static final int MAX_UNAUTHENTICATED = 16;
    /** A near router that has said nothing for so many heartbeats is gone. */
    private static final int MAX_SILENT_HEARTBEATS = 12;

    final ForwardedPartReceiver receiver;
    private final Gateway gateway;
    private Network.ListeningSocket listening;
    /** Connections that have not proved themselves; each leaves as it does, or ends. */
    private final Set<GatewayServerSession> unauthenticated = new LinkedHashSet<>();
    /** Connections of near routers, with the time by which they have to speak; each leaves as it ends. */
    private final Map<GatewayServerSession, EventLoop.Timer> authenticated = new HashMap<>();
    /** Which cells this router reaches at its own site. */
    private BitSet reachableCells = new BitSet();

    private boolean draining;

    GatewayServer(Gateway gateway, Gateway.Limits limits) {
        this.gateway = gateway;
        receiver = new ForwardedPartReceiver(new ForwardedPartReceiver.Limits(
                limits.maxRunningParts(),
                limits.maxEndedParts(),
                limits.maxEndedBytes(),
                limits.maxInboundChannels(),
                2 * gateway.timing.maxRequestUs(),
                gateway.timing.heartbeatUs()));
    }

    void advanceClock(long nowUs) {
        receiver.advanceClock(nowUs);
    }

    /** Carries out all decisions that are due. */
    void decide() {
        Gateway.runAllDecisions(() -> receiver.decide(this));
    }

    void reachableCells(BitSet updatedCells) {
        if (!updatedCells.equals(reachableCells)) {
            reachableCells = updatedCells;
            authenticated.keySet().forEach(this::sendCells);
        }
    }

    private void sendCells(GatewayServerSession session) {
        session.send(GatewayProtocol.SERVED_CELLS, reachableCells.toByteArray());
    }

    /** Tells each near router which part was the last; what is in hand is finished. */
    void startDraining() {
        draining = true;
        receiver.startDraining();
        new ArrayList<>(authenticated.keySet()).forEach(this::sendGoAway);
    }

    private void sendGoAway(GatewayServerSession session) {
        session.send(
                GatewayProtocol.GO_AWAY,
                new GatewayProtocol.Builder()
                        .putLong(receiver.lastStarted(session.inbound))
                        .build());
    }

    // ---- Connections. ----

    void listen(InetSocketAddress at) throws IOException {
        listening = gateway.network.listenAt(at);
        listening.accept(this);
    }

    InetSocketAddress address() throws IOException {
        return listening.address();
    }

    @Override
    public Connection.Listener newListener() {
        return new GatewayServerSession(gateway, this);
    }

    /** Danger: connections that never prove themselves would hold all room; the oldest gives way. */
    @Override
    public void accepted(Connection link, Connection.Listener owner) {
        GatewayServerSession session = (GatewayServerSession) owner;
        session.attach(link, gateway.timing.handshakeUs());
        unauthenticated.add(session);
        if (unauthenticated.size() > MAX_UNAUTHENTICATED) {
            unauthenticated.iterator().next().close(CloseReason.COMPLETED);
        }
    }

    @Override
    public boolean canAccept() {
        return true;
    }

    @Override
    public void acceptFailed(Throwable why) {
        LOG.log(Level.WARNING, "event=accept_failed", why);
        gateway.loop.schedule(
                gateway.loop.nowUs() + gateway.timing.heartbeatUs(), () -> listening.accept(this));
    }

    /** How many connections have not proved themselves. */
    int unauthenticated() {
        return unauthenticated.size();
    }

    /** The session has proved itself. */
    void authenticated(GatewayServerSession session) {
        unauthenticated.remove(session);
        authenticated.put(session, null);
        heartbeatReceived(session);
        sendCells(session);
        if (draining) {
            sendGoAway(session);
        }
    }

    /** The session has sent a heartbeat. */
    void heartbeatReceived(GatewayServerSession session) {
        if (authenticated.containsKey(session)) {
            long silenceAt =
                    gateway.loop.nowUs() + MAX_SILENT_HEARTBEATS * gateway.timing.heartbeatUs();
            EventLoop.Timer silenceTimer =
                    gateway.loop.schedule(silenceAt, () -> session.close(CloseReason.UNRESPONSIVE));
            gateway.loop.cancel(authenticated.put(session, silenceTimer));
        }
    }

    /** The session has ended. */
    void sessionClosed(GatewayServerSession session) {
        unauthenticated.remove(session);
        gateway.loop.cancel(authenticated.remove(session));
    }

    // ---- Parts. ----

    /**
     * A part that was begun has ended here.
     *
     * @param value of one that is done, else null
     * @param retryAfterUs of a refused one, 0 for no advice
     */
    void partEnded(IncomingPart part, PartStatus status, byte[] value, long retryAfterUs) {
        part.durationUs = gateway.loop.nowUs() - part.arrivedAt;
        part.retryAfterUs = retryAfterUs;
        part.value = value == null ? part.value : value;
        gateway.counters.increment("far_" + status.name().toLowerCase(Locale.ROOT));
        receiver.onPartEnded(part, status, part.value.length);
    }

    @Override
    public void startPart(ReceivedPart part) {
        gateway.partHandler.startPart((IncomingPart) part);
    }

    @Override
    public void cancelPart(ReceivedPart part) {
        gateway.counters.increment("far_given_up");
        gateway.partHandler.cancelPart((IncomingPart) part);
    }

    @Override
    public void sendPartStatus(
            Object session, int channelIndex, long number, PartStatus status, ReceivedPart part) {
        GatewayServerSession target = (GatewayServerSession) session;
        if (target.isAuthenticated()) {
            target.sendPartStatus(channelIndex, number, status, (IncomingPart) part);
        }
    }

    @Override
    public void sendCreditWindow(Object session, int parts) {
        GatewayServerSession target = (GatewayServerSession) session;
        if (target.isAuthenticated()) {
            target.send(
                    GatewayProtocol.CREDIT_WINDOW,
                    new GatewayProtocol.Builder().putInt(parts).build());
        }
    }

    @Override
    public void closeSession(Object session) {
        ((GatewayServerSession) session).close(CloseReason.ENDPOINT_REMOVED);
    }

    @Override
    public void wakeAt(long at) {
        gateway.wakeAt(at);
    }
}

package tinlink.gateway;

import tinlink.gateway.forwarding.ExecutionHandler;
import tinlink.gateway.forwarding.ForwardedPartReceiver;
import tinlink.gateway.forwarding.PartStatus;
import tinlink.gateway.forwarding.ReceivedPart;
import tinlink.net.CloseReason;
import tinlink.net.Connection;
import tinlink.net.EventLoop;
import tinlink.net.Network;
import tinlink.securechannel.UnauthenticatedSessions;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The receiving side of a gateway: accepts connections from routers of other sites and carries out the
 * decisions of {@link ForwardedPartReceiver} about the parts that these routers forward. Runs on the event
 * loop's thread.
 */
final class GatewayServer implements ExecutionHandler, Network.AcceptHandler {
    private static final Logger LOG = Logger.getLogger("tinlink.gateway");
    private static final int MAX_UNAUTHENTICATED = 16;
    /** A session that receives no heartbeat for this many heartbeat intervals is closed. */
    private static final int MAX_SILENT_HEARTBEATS = 12;

    private final ForwardedPartReceiver receiver;
    private final Gateway gateway;
    private Network.ListeningSocket listeningSocket;
    private final UnauthenticatedSessions unauthenticated =
            new UnauthenticatedSessions(MAX_UNAUTHENTICATED);
    /** The authenticated sessions with their heartbeat timeouts; each is removed when it is closed. */
    private final Map<GatewayServerSession, EventLoop.Timer> authenticated = new HashMap<>();
    /** The cells that this router reaches at its own site. */
    private BitSet reachableCells = new BitSet();

    private boolean draining;
    /** Whether no cells are announced, whichever this router reaches. */
    private boolean withdrawn;

    GatewayServer(Gateway gateway) {
        this.gateway = gateway;
        Gateway.Limits limits = gateway.settings.limits();
        Gateway.Timing timing = gateway.settings.timing();
        receiver = new ForwardedPartReceiver(new ForwardedPartReceiver.Limits(
                limits.maxRunningParts(),
                limits.maxEndedParts(),
                limits.maxEndedBytes(),
                limits.maxInboundChannels(),
                2 * timing.maxRequestUs(),
                timing.heartbeatUs()));
    }

    ForwardedPartReceiver receiver() {
        return receiver;
    }

    void advanceClock(long nowUs) {
        receiver.advanceClock(nowUs);
    }

    /** Carries out all decisions that are due. */
    void decide() {
        Gateway.runAllDecisions(() -> receiver.decide(this));
    }

    void announceCells(BitSet cells) {
        if (!cells.equals(reachableCells)) {
            reachableCells = cells;
            sendCellsToAll();
        }
    }

    private void sendCellsToAll() {
        authenticated.keySet().forEach(this::sendCells);
    }

    private void sendCells(GatewayServerSession session) {
        session.send(new GatewayMessage.ServedCells(withdrawn ? new BitSet() : reachableCells));
    }

    /**
     * Announces that no cells are served, until {@link #resume}. A go-away can't be taken back, so it would
     * keep the forwarding routers away after the drain has ended.
     */
    void withdrawCells() {
        withdrawn = true;
        sendCellsToAll();
    }

    /** Answers further parts as not started, until {@link #resume}; running parts continue. */
    void pause() {
        receiver.startDraining();
    }

    /** Starts parts and announces the reachable cells again. */
    void resume() {
        receiver.resume();
        withdrawn = false;
        sendCellsToAll();
    }

    /** Sends each forwarding router a go-away with its last started part; running parts continue. */
    void startDraining() {
        draining = true;
        receiver.startDraining();
        new ArrayList<>(authenticated.keySet()).forEach(this::sendGoAway);
    }

    private void sendGoAway(GatewayServerSession session) {
        session.send(new GatewayMessage.GoAway(receiver.lastStarted(session.channel())));
    }

    /**
     * Whether no part is running, and all answers have left. Answers that are forgotten because they are too
     * many may still be buffered.
     */
    boolean isIdle() {
        return receiver.isIdle()
                && authenticated.keySet().stream()
                        .allMatch(session -> session.outboundBacklogBytes() == 0);
    }

    // ---- Connections. ----

    void listen(InetSocketAddress address) throws IOException {
        listeningSocket = gateway.network.listenAt(address);
        listeningSocket.accept(this);
    }

    InetSocketAddress address() throws IOException {
        return listeningSocket.address();
    }

    @Override
    public Connection.Listener newListener() {
        return new GatewayServerSession(gateway, this);
    }

    @Override
    public void accepted(Connection connection, Connection.Listener listener) {
        GatewayServerSession session = (GatewayServerSession) listener;
        session.attach(connection, gateway.settings.timing().handshakeUs());
        unauthenticated.add(session);
    }

    @Override
    public boolean canAccept() {
        return true;
    }

    @Override
    public void acceptFailed(Throwable cause) {
        LOG.log(Level.WARNING, "event=accept_failed", cause);
        long retryAt = gateway.loop.nowUs() + gateway.settings.timing().heartbeatUs();
        gateway.loop.schedule(retryAt, () -> listeningSocket.accept(this));
    }

    int unauthenticatedConnections() {
        return unauthenticated.size();
    }

    /** Registers a session that has authenticated. */
    void authenticated(GatewayServerSession session) {
        unauthenticated.remove(session);
        authenticated.put(session, null);
        heartbeatReceived(session);
        sendCells(session);
        if (draining) {
            sendGoAway(session);
        }
    }

    /** Restarts the heartbeat timeout of an authenticated session. */
    void heartbeatReceived(GatewayServerSession session) {
        if (authenticated.containsKey(session)) {
            long timeoutUs = MAX_SILENT_HEARTBEATS * gateway.settings.timing().heartbeatUs();
            EventLoop.Timer timeout = gateway.loop.schedule(
                    gateway.loop.nowUs() + timeoutUs,
                    () -> session.close(CloseReason.UNRESPONSIVE));
            gateway.loop.cancel(authenticated.put(session, timeout));
        }
    }

    void sessionClosed(GatewayServerSession session) {
        unauthenticated.remove(session);
        gateway.loop.cancel(authenticated.remove(session));
    }

    // ---- Parts. ----

    /**
     * Records that a started part has ended on this router.
     *
     * @param value the value of a completed part, else null
     * @param retryAfterUs when a rejected part may be tried again, in microseconds; 0 for no advice
     */
    void partEnded(IncomingPart part, PartStatus status, byte[] value, long retryAfterUs) {
        part.durationUs = gateway.loop.nowUs() - part.arrivedAt;
        part.retryAfterUs = retryAfterUs;
        part.value = value == null ? part.value : value;
        gateway.counters().increment("inbound_" + status.name().toLowerCase(Locale.ROOT));
        receiver.onPartEnded(part, status, part.value.length);
    }

    @Override
    public void startPart(ReceivedPart part) {
        gateway.partHandler.startPart((IncomingPart) part);
    }

    @Override
    public void cancelPart(ReceivedPart part) {
        gateway.counters().increment("inbound_cancelled");
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
            target.send(new GatewayMessage.CreditWindow(parts));
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

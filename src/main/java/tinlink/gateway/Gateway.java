package tinlink.gateway;

import tinlink.gateway.forwarding.PartStatus;
import tinlink.gateway.forwarding.RemoteRouter;
import tinlink.net.Counters;
import tinlink.net.EventLoop;
import tinlink.net.EventLoopParticipant;
import tinlink.net.Network;
import tinlink.securechannel.Handshake;
import tinlink.securechannel.KeyRing;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.BitSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Connects one router with the routers of other sites in both directions: {@link GatewayClient} forwards
 * parts, {@link GatewayServer} receives them, and this class holds what the two share. Runs on the event
 * loop's thread; decisions are made at the end of each turn of the loop.
 */
public final class Gateway {
    /** The maximum number of channels from one router to another. */
    static final int MAX_CHANNELS = 16;

    private static final Logger LOG = Logger.getLogger("tinlink.gateway");
    private static final long COUNTER_LOG_INTERVAL_US = 60_000_000;

    /** The names of this router and the sites whose routers may forward parts to it. */
    public record Identity(
            String site, String router, long incarnation, Set<String> acceptedSites) {}

    /**
     * Intervals and timeouts, in microseconds.
     *
     * @param recoveryUs how long to wait for the status of a part after a cut; 0 for not at all
     * @param maxRequestUs the longest time that any client waits
     */
    public record Timing(long heartbeatUs, long handshakeUs, long recoveryUs, long maxRequestUs) {}

    /**
     * The limits on parts of other sites, and on parts that wait for a credit of another site.
     *
     * @param maxRunningParts how many parts of other sites may run on this router at a time
     * @param maxEndedParts how many ended parts of other sites are remembered
     * @param maxEndedBytes the total size of the values of these ended parts, in bytes
     * @param maxInboundChannels how many channels from other sites' routers are known at a time
     * @param maxQueuedParts how many parts of this router may wait for a credit of one remote router
     */
    public record Limits(
            int maxRunningParts,
            int maxEndedParts,
            long maxEndedBytes,
            int maxInboundChannels,
            int maxQueuedParts) {}

    /** A router of another site, with one address per channel; all addresses lead to the same process. */
    public record RemoteEndpoint(String site, String router, List<InetSocketAddress> addresses) {}

    /**
     * The settings that stay fixed while the router runs.
     *
     * @param seed the seed of the reconnect jitter
     */
    public record Settings(
            Identity identity,
            Timing timing,
            Limits limits,
            List<RemoteEndpoint> endpoints,
            long seed) {}

    final EventLoop loop;
    final Network network;
    final Settings settings;
    final PartHandler partHandler;
    private final Counters counters = new Counters();
    private final SecureRandom secureRandom = new SecureRandom();
    private final GatewayClient client;
    private final GatewayServer server;
    private final EventLoopParticipant participant = new EventLoopParticipant() {
        @Override
        public void turnStarted(long nowUs) {
            client.advanceClock(nowUs);
            server.advanceClock(nowUs);
        }

        @Override
        public void turnEnding() {
            client.decide();
            server.decide();
        }
    };
    private KeyRing keys;
    private String loggedCounters = "";

    public Gateway(
            EventLoop loop,
            Network network,
            Settings settings,
            KeyRing keys,
            PartHandler partHandler) {
        this.loop = loop;
        this.network = network;
        this.settings = settings;
        this.keys = keys;
        this.partHandler = partHandler;
        client = new GatewayClient(this);
        server = new GatewayServer(this);
    }

    /** The gateway's work at the start and the end of each turn of the event loop. */
    public EventLoopParticipant turn() {
        return participant;
    }

    /** Calls {@code decide}, which carries out one decision, until it returns false. */
    static void runAllDecisions(BooleanSupplier decide) {
        while (decide.getAsBoolean()) {
            // Each call carries out one decision.
        }
    }

    /** Schedules a turn of the event loop, which ends with decisions, at the given time. */
    void wakeAt(long at) {
        loop.schedule(at, () -> {});
    }

    /** Logs the counters now and then once a minute, each time only if a counter has changed. */
    public void logCounters() {
        String current = counters.toString();
        if (!current.equals(loggedCounters)) {
            loggedCounters = current;
            LOG.log(Level.INFO, "event=gateway_counters {0}", current);
        }
        loop.schedule(loop.nowUs() + COUNTER_LOG_INTERVAL_US, this::logCounters);
    }

    public Counters counters() {
        return counters;
    }

    /** Replaces the keys for new connections; established connections stay. */
    public void replaceKeys(KeyRing replacement) {
        keys = replacement;
    }

    KeyRing keys() {
        return keys;
    }

    byte[] newNonce() {
        return Handshake.newNonce(secureRandom);
    }

    // ---- Outgoing parts. ----

    /** The name of the remote router's site. */
    public String siteOf(RemoteRouter router) {
        return client.siteOf(router);
    }

    public void forward(RemoteRouter router, OutgoingPart part) {
        router.forward(part);
    }

    /** Cancels a part whose outcome is known already. */
    public void cancel(RemoteRouter router, OutgoingPart part) {
        router.cancel(part);
    }

    // ---- Incoming parts. ----

    /**
     * Starts to accept connections from routers of other sites.
     *
     * @throws IOException if the router can't listen on the address
     */
    public void listen(InetSocketAddress address) throws IOException {
        server.listen(address);
    }

    public InetSocketAddress address() throws IOException {
        return server.address();
    }

    /** Announces to forwarding routers the cells that this router reaches at its own site. */
    public void announceCells(BitSet reachableCells) {
        server.announceCells(reachableCells);
    }

    /** The number of accepted connections that have not authenticated. */
    int unauthenticatedConnections() {
        return server.unauthenticatedConnections();
    }

    /**
     * Reports that a started part has ended on this router.
     *
     * @param value the value of a completed part, else null
     * @param retryAfterUs when a rejected part may be tried again, in microseconds; 0 for no advice
     */
    public void partEnded(IncomingPart part, PartStatus status, byte[] value, long retryAfterUs) {
        server.partEnded(part, status, value, retryAfterUs);
    }

    // ---- Drain and shutdown. ----

    /** Tells the forwarding routers to send no further parts; those that come all the same still start. */
    public void withdrawCells() {
        server.withdrawCells();
    }

    /** Starts no further part of another site; each is answered as not started. */
    public void pause() {
        server.pause();
    }

    /** Ends a drain: parts of other sites start again, and the forwarding routers are told so. */
    public void resume() {
        server.resume();
    }

    /** Sends each forwarding router a go-away with its last started part; running parts continue. */
    public void startDraining() {
        logCounters();
        server.startDraining();
    }

    /** Whether no part of another site is running on this router, and all answers have left it. */
    public boolean isIdle() {
        return server.isIdle();
    }
}

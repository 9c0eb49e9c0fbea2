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
 * The links of one router with those of other sites, both ways: {@link GatewayClient} for the parts that go
 * out, {@link GatewayServer} for those that come in, and what the two share. Runs on the event loop's
 * thread; its decisions are pulled at the end of each turn.
 */
public final class Gateway {
    /** Channels that one router may have to another. */
    static final int MAX_CHANNELS = 16;

    private static final Logger LOG = Logger.getLogger("tinlink.gateway");
    private static final long COUNTER_LOG_INTERVAL_US = 60_000_000;

    /** Who this router is, and which sites' routers it accepts parts from. */
    public record Identity(
            String site, String router, long incarnation, Set<String> acceptedSites) {}

    /**
     * All in microseconds.
     *
     * @param recoveryUs how long the status of a part is waited for after a cut; 0: not at all
     * @param maxRequestUs no client waits for longer
     */
    public record Timing(long heartbeatUs, long handshakeUs, long recoveryUs, long maxRequestUs) {}

    /**
     * What other sites may have here, and what may wait for a credit of theirs.
     *
     * @param maxRunningParts parts of other sites that may run here
     * @param maxEndedParts ended ones that are remembered
     * @param maxEndedBytes bytes of their values together
     * @param maxInboundChannels channels from other sites' routers
     * @param maxQueuedParts own parts that may wait for a credit of one remote router
     */
    public record Limits(
            int maxRunningParts,
            int maxEndedParts,
            long maxEndedBytes,
            int maxInboundChannels,
            int maxQueuedParts) {}

    /** A router of another site, with an address for each channel; all lead to the same process. */
    public record RemoteEndpoint(String site, String router, List<InetSocketAddress> addresses) {}

    /**
     * What is fixed while the router runs.
     *
     * @param seed of the jitter of reconnecting
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

    /** What it does in each turn of the event loop. */
    public EventLoopParticipant turn() {
        return participant;
    }

    /** Pulls and carries out decisions until there is none. */
    static void runAllDecisions(BooleanSupplier decide) {
        while (decide.getAsBoolean()) {
            // Each has been carried out.
        }
    }

    /** The turn in which that time is due pulls decisions. */
    void wakeAt(long at) {
        loop.schedule(at, () -> {});
    }

    /** Logs the counters now and once a minute, where one has changed. */
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

    /** From now on these are the keys; connections that are up stay. */
    public void replaceKeys(KeyRing replacement) {
        keys = replacement;
    }

    KeyRing keys() {
        return keys;
    }

    byte[] newNonce() {
        return Handshake.newNonce(secureRandom);
    }

    // ---- Parts that go out. ----

    /** The site of a remote router. */
    public String siteOf(RemoteRouter router) {
        return client.siteOf(router);
    }

    public void forward(RemoteRouter router, OutgoingPart part) {
        router.forward(part);
    }

    /** Its outcome is known already. */
    public void cancel(RemoteRouter router, OutgoingPart part) {
        router.cancel(part);
    }

    // ---- Parts that come in. ----

    /**
     * Accepts connections of other sites' routers from now on.
     *
     * @throws IOException where the address can't be listened on
     */
    public void listen(InetSocketAddress address) throws IOException {
        server.listen(address);
    }

    public InetSocketAddress address() throws IOException {
        return server.address();
    }

    /** Which cells this router reaches at its own site. */
    public void announceCells(BitSet reachableCells) {
        server.announceCells(reachableCells);
    }

    /** Connections that have not authenticated. */
    int unauthenticatedConnections() {
        return server.unauthenticatedConnections();
    }

    /**
     * A part that was started has ended here.
     *
     * @param value of one that is completed, else null
     * @param retryAfterUs of a rejected one, 0 for no advice
     */
    public void partEnded(IncomingPart part, PartStatus status, byte[] value, long retryAfterUs) {
        server.partEnded(part, status, value, retryAfterUs);
    }

    // ---- The stop. ----

    /** Tells each forwarding router which part was the last; what is in flight is finished. */
    public void startDraining() {
        logCounters();
        server.startDraining();
    }

    /** No part of another site's is in flight. */
    public boolean isIdle() {
        return server.receiver().running() == 0;
    }
}

package tinlink.gateway;

import tinlink.decision.Outcome;
import tinlink.gateway.forwarding.PartStatus;
import tinlink.gateway.forwarding.RemoteRouter;
import tinlink.net.Counters;
import tinlink.net.EventLoop;
import tinlink.net.EventLoopParticipant;
import tinlink.net.Network;

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
 * out, {@link GatewayServer} for those that come in, and what the two share. Runs on the loop's thread; it is
 * pulled twice a turn.
 */
public final class Gateway {
    static final int MAX_CHANNELS = 16;
    private static final Logger LOG = Logger.getLogger("tinlink.gateway");
    private static final long COUNTER_LOG_INTERVAL_US = 60_000_000;

    /** Who this router is, and which sites' routers it takes parts from. */
    public record Identity(
            String site, String router, long incarnation, Set<String> acceptedSites) {}

    /**
     * The times of a gateway, in microseconds.
     *
     * @param recoveryUs how long a part is held for its fate after a cut; 0: not at all
     */
    public record Timing(long heartbeatUs, long handshakeUs, long recoveryUs, long maxRequestUs) {}

    /** What other sites may have here, and what may wait for a credit of theirs. */
    public record Limits(
            int maxRunningParts,
            int maxEndedParts,
            long maxEndedBytes,
            int maxInboundChannels,
            int maxQueuedParts) {}

    /** A router of another site; its lines lead to the same process. */
    public record RemoteEndpoint(String site, String router, List<InetSocketAddress> addresses) {}

    /** What becomes of parts, both ways. */
    public interface PartHandler {
        /** The one outcome of a part that was passed on; {@code tookUs} is below 0 where it says nothing. */
        void partEnded(OutgoingPart part, Outcome outcome, long durationUs);

        void cellsChanged(RemoteRouter router, BitSet cells, long roundTripUs);

        void startPart(IncomingPart part);

        void cancelPart(IncomingPart part);
    }

    final EventLoop loop;
    final Network network;
    final Identity identity;
    final Timing timing;
    final PartHandler partHandler;
    final Counters counters = new Counters();
    GatewayKeys keys;
    private final SecureRandom secureRandom = new SecureRandom();
    private final GatewayClient client;
    private final GatewayServer server;
    private final EventLoopParticipant turn = new EventLoopParticipant() {
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
    private String loggedCounters = "";

    public Gateway(
            EventLoop loop,
            Network network,
            Identity identity,
            GatewayKeys keys,
            Timing timing,
            Limits limits,
            List<RemoteEndpoint> endpoints,
            long seed,
            PartHandler partHandler) {
        this.loop = loop;
        this.network = network;
        this.identity = identity;
        this.keys = keys;
        this.timing = timing;
        this.partHandler = partHandler;
        client = new GatewayClient(this, endpoints, limits.maxQueuedParts(), seed);
        server = new GatewayServer(this, limits);
    }

    /** Its part of a turn. */
    public EventLoopParticipant turn() {
        return turn;
    }

    /** One decision is pulled after another. */
    static void runAllDecisions(BooleanSupplier decides) {
        while (decides.getAsBoolean()) {
            // Each has been carried out.
        }
    }

    /** The turn in which that time is due pulls decisions. */
    void wakeAt(long at) {
        loop.schedule(at, () -> {});
    }

    /** Says the counters once a minute, where one has changed, and at the stop. */
    public void logCounters() {
        String current = counters.toString();
        if (!current.equals(loggedCounters)) {
            loggedCounters = current;
            LOG.log(Level.INFO, "event=gateway_counts {0}", current);
        }
        loop.schedule(loop.nowUs() + COUNTER_LOG_INTERVAL_US, this::logCounters);
    }

    public Counters counters() {
        return counters;
    }

    /** From now on these are the keys; connections that are up stay. */
    public void keys(GatewayKeys replacement) {
        keys = replacement;
    }

    byte[] newNonce() {
        byte[] nonce = new byte[GatewayProtocol.NONCE_BYTES];
        secureRandom.nextBytes(nonce);
        return nonce;
    }

    // ---- Parts that go out. ----

    /** Of which site a far router is. */
    public String siteOf(RemoteRouter router) {
        return client.siteOf(router);
    }

    public void forward(RemoteRouter to, OutgoingPart part) {
        to.forward(part);
    }

    /** Its outcome is known already. */
    public void cancel(RemoteRouter to, OutgoingPart part) {
        to.cancel(part);
    }

    // ---- Parts that come in. ----

    public void listen(InetSocketAddress at) throws IOException {
        server.listen(at);
    }

    public InetSocketAddress address() throws IOException {
        return server.address();
    }

    /** Which cells this router reaches at its own site. */
    public void announceCells(BitSet reachableCells) {
        server.reachableCells(reachableCells);
    }

    /** Connections that have not proved themselves. */
    int unauthenticatedConnections() {
        return server.unauthenticated();
    }

    /**
     * A part that was begun has ended here.
     *
     * @param value of one that is done, else null
     * @param retryAfterUs of a refused one, 0 for no advice
     */
    public void partEnded(IncomingPart part, PartStatus status, byte[] value, long retryAfterUs) {
        server.partEnded(part, status, value, retryAfterUs);
    }

    // ---- The stop. ----

    /** Says to each near router which part was the last; what is in hand is finished. */
    public void startDraining() {
        logCounters();
        server.startDraining();
    }

    /** Nothing of another site's is in hand. */
    public boolean isIdle() {
        return server.receiver.running() == 0;
    }
}

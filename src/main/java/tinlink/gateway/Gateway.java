package tinlink.gateway;

import tinlink.decision.Outcome;
import tinlink.gateway.choice.FarRouter;
import tinlink.gateway.choice.Fate;
import tinlink.net.Counters;
import tinlink.net.Loop;
import tinlink.net.Network;
import tinlink.sealed.Message;

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
    static final int MOST_LINES = 16;
    private static final Logger LOG = Logger.getLogger("tinlink.gateway");
    private static final long COUNTS_US = 60_000_000;

    /** Who this router is, and which sites' routers it takes parts from. */
    public record Names(String site, String router, long incarnation, Set<String> accepts) {}

    /**
     * The times of a gateway, in microseconds.
     *
     * @param recoverUs how long a part is held for its fate after a cut; 0: not at all
     */
    public record Times(long beatUs, long handshakeUs, long recoverUs, long longestUs) {}

    /** What other sites may have here, and what may wait for a credit of theirs. */
    public record Bounds(int parts, int kept, long keptBytes, int origins, int waiting) {}

    /** A router of another site; its lines lead to the same process. */
    public record Far(String site, String router, List<InetSocketAddress> lines) {}

    /** What becomes of parts, both ways. */
    public interface Stages {
        /** The one outcome of a part that was passed on; {@code tookUs} is below 0 where it says nothing. */
        void ended(NearPart p, Outcome how, long tookUs);

        void serves(FarRouter router, BitSet cells, long lineUs);

        void begin(FarPart p);

        void giveUp(FarPart p);
    }

    final Loop loop;
    final Network network;
    final Names names;
    final Times times;
    final Stages stages;
    final Counters counters = new Counters();
    Keys keys;
    private final SecureRandom secret = new SecureRandom();
    private final GatewayClient client;
    private final GatewayServer server;
    private final Loop.Turn turn = new Loop.Turn() {
        @Override
        public void begins(long nowUs) {
            client.clock(nowUs);
            server.clock(nowUs);
        }

        @Override
        public void decides() {
            client.decide();
            server.decide();
        }
    };
    private String toldCounts = "";

    public Gateway(
            Loop loop,
            Network network,
            Names names,
            Keys keys,
            Times times,
            Bounds bounds,
            List<Far> far,
            long seed,
            Stages stages) {
        this.loop = loop;
        this.network = network;
        this.names = names;
        this.keys = keys;
        this.times = times;
        this.stages = stages;
        client = new GatewayClient(this, far, bounds.waiting(), seed);
        server = new GatewayServer(this, bounds);
    }

    /** Its part of a turn. */
    public Loop.Turn turn() {
        return turn;
    }

    /** One decision is pulled after another. */
    static void pull(BooleanSupplier decides) {
        while (decides.getAsBoolean()) {
            // Each has been carried out.
        }
    }

    /** The turn in which that time is due pulls decisions. */
    void wakeAt(long at) {
        loop.at(at, () -> {});
    }

    /** Says the counters once a minute, where one has changed, and at the stop. */
    public void tellCounts() {
        String now = counters.toString();
        if (!now.equals(toldCounts)) {
            toldCounts = now;
            LOG.log(Level.INFO, "event=gateway_counts {0}", now);
        }
        loop.at(loop.now() + COUNTS_US, this::tellCounts);
    }

    public Counters counters() {
        return counters;
    }

    /** From now on these are the keys; connections that are up stay. */
    public void keys(Keys now) {
        keys = now;
    }

    byte[] nonce() {
        byte[] n = new byte[Wire.NONCE];
        secret.nextBytes(n);
        return n;
    }

    // ---- Parts that go out. ----

    /** Of which site a far router is. */
    public String site(FarRouter router) {
        return client.site(router);
    }

    public void send(FarRouter to, NearPart part) {
        to.part(part);
    }

    /** Its outcome is known already. */
    public void giveUp(FarRouter to, NearPart part) {
        to.giveUp(part);
    }

    // ---- Parts that come in. ----

    public void listen(InetSocketAddress at) throws IOException {
        server.listen(at);
    }

    public InetSocketAddress address() throws IOException {
        return server.address();
    }

    /** Which cells this router reaches at its own site. */
    public void cells(BitSet now) {
        server.cells(now);
    }

    /** Connections that have not proved themselves. */
    int strangers() {
        return server.unproved();
    }

    /**
     * A part that was begun has ended here.
     *
     * @param value of one that is done, else null
     * @param comeBackUs of a refused one, 0 for no advice
     */
    public void ended(FarPart part, Fate fate, byte[] value, long comeBackUs) {
        server.ended(part, fate, value, comeBackUs);
    }

    // ---- The stop. ----

    /** Says to each near router which part was the last; what is in hand is finished. */
    public void leave() {
        tellCounts();
        server.leave();
    }

    /** Nothing of another site's is in hand. */
    public boolean isEmpty() {
        return server.taker.running() == 0;
    }
}

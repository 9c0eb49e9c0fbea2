package tinlink.router;

import tinlink.decision.Aggregator;
import tinlink.net.CloseReason;
import tinlink.net.EventLoop;
import tinlink.net.Network;
import tinlink.net.ProtocolLimits;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Keeps the list of data nodes up: asks discovery for watches, and goes on where it moves to. */
final class DiscoveryWatcher implements DiscoveryConnection.Owner {
    private static final Logger LOG = Logger.getLogger("tinlink.roster");

    /** Asked for at the same time, the newest for at least half as long as each. */
    private static final int MAX_ASKED = 2;

    private final EventLoop loop;
    private final Network network;
    private final ModuleTurn turn;
    private final Roster roster;
    private InetSocketAddress discovery;
    private final SplittableRandom random;
    private final long askUs;
    private final int maxObjectBytes;

    /** The revision is one of the place that is asked now. */
    private boolean numbered = true;

    /** The one that tells; null while none does. */
    private DiscoveryConnection watch;

    /** Asked for and silent so far, the oldest first; a few, each leaves as it tells or ends. */
    private final List<DiscoveryConnection> asked = new ArrayList<>();

    /** When one more is asked for; null while one tells. */
    private EventLoop.Timer next;

    private boolean down;
    private Runnable whenHeard = () -> {};

    DiscoveryWatcher(
            EventLoop loop,
            Network network,
            ModuleTurn turn,
            Roster roster,
            InetSocketAddress discovery,
            boolean pushed,
            long seed,
            int maxObjectBytes) {
        this.loop = loop;
        this.network = network;
        this.turn = turn;
        this.roster = roster;
        this.discovery = discovery;
        // Where lists are pushed, an agent on this router's own machine answers at once and at no
        // cost.
        askUs = ProtocolLimits.WATCH_KEEPALIVE_US / (pushed ? 8 : 2);
        this.maxObjectBytes = maxObjectBytes;
        random = new SplittableRandom(seed);
    }

    /** Runs whenever discovery has told something. */
    void whenHeard(Runnable what) {
        whenHeard = what;
    }

    /** Opens a watch, if none tells and none is asked for. */
    void follow() {
        if (watch == null && next == null) {
            ask();
        }
    }

    /**
     * Asks for one more watch beside those that have been asked for and say nothing. Danger: a place that
     * hangs, or whose discovery is away, takes connections and is silent; whoever waits on one of them alone,
     * or on none for a while, hears of a drain long after it was told. The oldest gives way.
     */
    private void ask() {
        next = loop.schedule(loop.nowUs() + askUs - random.nextLong(askUs / 4), this::ask);
        if (asked.size() == MAX_ASKED) {
            asked.get(0).end(CloseReason.SILENT);
        }
        DiscoveryConnection connection = new DiscoveryConnection(loop, this, maxObjectBytes);
        try {
            connection.on(network.connect(discovery, connection));
            asked.add(connection);
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.FINE, "discovery: no connection", e);
            lost(null);
        }
    }

    /** Discovery is elsewhere from now on; the list held stays until the new place tells more. */
    void moveTo(InetSocketAddress to) {
        if (to.equals(discovery)) {
            return;
        }
        LOG.log(
                Level.INFO,
                "discovery: it moves to {0}, the list of {1} nodes is kept",
                new Object[] {to, roster.size()});
        discovery = to;
        // Danger: the new place may number its lists otherwise. Changes since a number of the old
        // one's are
        // not what has changed for us; the whole list is.
        numbered = false;
        List<DiscoveryConnection> old = new ArrayList<>(asked);
        if (watch != null) {
            old.add(watch);
        }
        // Danger: what the old place still says is old by now, and must not be taken for news.
        watch = null;
        asked.clear();
        old.forEach(w -> w.end(CloseReason.GONE));
        loop.cancel(next);
        ask();
    }

    /** This one tells from now on; what was asked for beside it is not needed. */
    @Override
    public void alive(DiscoveryConnection connection) {
        if (watch == connection) {
            return;
        }
        asked.remove(connection);
        List<DiscoveryConnection> others = List.copyOf(asked);
        asked.clear();
        watch = connection;
        down = false;
        loop.cancel(next);
        next = null;
        others.forEach(o -> o.end(CloseReason.DONE));
    }

    @Override
    public void ended(DiscoveryConnection connection, CloseReason closeReason) {
        if (watch == connection) {
            watch = null;
            lost(closeReason);
            // Danger: routers whose watches end at one moment, and who all come back at once.
            next = loop.schedule(loop.nowUs() + random.nextLong(askUs / 2), this::ask);
        } else if (asked.remove(connection)) {
            lost(closeReason);
        }
    }

    private void lost(CloseReason closeReason) {
        // Said once, until a line shows that discovery serves again.
        LOG.log(
                down ? Level.FINE : Level.WARNING,
                "discovery: the watch ended ({0}), the list of {1} nodes is kept",
                new Object[] {closeReason, roster.size()});
        down = true;
        turn.input(m -> m.nodes(Aggregator.News.FAILED));
    }

    // ---- What connections ask and tell. ----

    @Override
    public String host() {
        return discovery.getHostString();
    }

    @Override
    public boolean isNumbered() {
        return numbered;
    }

    @Override
    public long revision() {
        return roster.revision();
    }

    @Override
    public boolean counts(DiscoveryConnection connection) {
        return watch == connection || asked.contains(connection);
    }

    @Override
    public boolean told(Object list) {
        boolean taken = roster.news(list, Aggregator.News.FULL);
        numbered |= taken;
        return taken;
    }

    @Override
    public void listTaken() {
        whenHeard.run();
    }
}

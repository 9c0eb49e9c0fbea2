package tinlink.router;

import tinlink.decision.QueryCoordinator;
import tinlink.net.CloseReason;
import tinlink.net.EventLog;
import tinlink.net.EventLoop;
import tinlink.net.Network;
import tinlink.net.ProtocolLimits;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.logging.Level;

/** Keeps the endpoint list up to date: opens watches at discovery, and follows it where it moves to. */
final class DiscoveryWatcher implements DiscoveryConnection.Handler {
    private static final EventLog LOG = new EventLog("tinlink.discovery");

    /** Asked for at the same time, the newest for at least half as long as each. */
    private static final int MAX_PENDING = 2;

    private final EventLoop loop;
    private final Network network;
    private final DecisionDriver driver;
    private final EndpointList endpointList;
    private InetSocketAddress discoveryAddress;
    private final SplittableRandom random;
    private final long openIntervalUs;
    private final int maxObjectBytes;

    /** The revision is one of the place that is asked now. */
    private boolean isRevisionCurrent = true;

    /** The watch that delivers updates; null while none does. */
    private DiscoveryConnection activeWatch;

    /** Asked for and silent so far, the oldest first; a few, each leaves as it tells or ends. */
    private final List<DiscoveryConnection> pendingWatches = new ArrayList<>();

    /** When one more is opened; null while one is active. */
    private EventLoop.Timer nextOpenTimer;

    private boolean isDown;
    private Runnable whenUpdated = () -> {};

    DiscoveryWatcher(
            EventLoop loop,
            Network network,
            DecisionDriver driver,
            EndpointList endpointList,
            InetSocketAddress discoveryAddress,
            boolean isPushed,
            long seed,
            int maxObjectBytes) {
        this.loop = loop;
        this.network = network;
        this.driver = driver;
        this.endpointList = endpointList;
        this.discoveryAddress = discoveryAddress;
        // Where lists are pushed, an agent on this router's own machine answers at once and at no
        // cost.
        openIntervalUs = ProtocolLimits.WATCH_KEEPALIVE_US / (isPushed ? 8 : 2);
        this.maxObjectBytes = maxObjectBytes;
        random = new SplittableRandom(seed);
    }

    /** Runs whenever discovery has told something. */
    void whenUpdated(Runnable listener) {
        whenUpdated = listener;
    }

    /** Opens a watch, if none tells and none is asked for. */
    void follow() {
        if (activeWatch == null && nextOpenTimer == null) {
            openWatch();
        }
    }

    /**
     * Asks for one more watch beside those that have been asked for and say nothing. Danger: a place that
     * hangs, or whose discovery is away, takes connections and is silent; whoever waits on one of them alone,
     * or on none for a while, learns of a drain long after it was listed. The oldest gives way.
     */
    private void openWatch() {
        nextOpenTimer = loop.schedule(
                loop.nowUs() + openIntervalUs - random.nextLong(openIntervalUs / 4),
                this::openWatch);
        if (pendingWatches.size() == MAX_PENDING) {
            pendingWatches.get(0).close(CloseReason.UNRESPONSIVE);
        }
        DiscoveryConnection connection = new DiscoveryConnection(loop, this, maxObjectBytes);
        try {
            connection.attach(network.connect(discoveryAddress, connection));
            pendingWatches.add(connection);
        } catch (IOException | RuntimeException e) {
            LOG.logFailure(Level.FINE, "discovery_connect_failed", e);
            watchLost(null);
        }
    }

    /** Discovery is elsewhere from now on; the list held stays until the new place tells more. */
    void moveTo(InetSocketAddress address) {
        if (address.equals(discoveryAddress)) {
            return;
        }
        LOG.log(Level.INFO, "discovery_moved", "address", address, "nodes", endpointList.size());
        discoveryAddress = address;
        // Danger: the new place may number its lists otherwise. Changes since a number of the old
        // one's are
        // not what has changed for us; the whole list is.
        isRevisionCurrent = false;
        List<DiscoveryConnection> old = new ArrayList<>(pendingWatches);
        if (activeWatch != null) {
            old.add(activeWatch);
        }
        // Danger: what the old place still says is old by now, and must not be taken for news.
        activeWatch = null;
        pendingWatches.clear();
        old.forEach(watch -> watch.close(CloseReason.ENDPOINT_REMOVED));
        loop.cancel(nextOpenTimer);
        openWatch();
    }

    /** This one tells from now on; what was asked for beside it is not needed. */
    @Override
    public void watchAlive(DiscoveryConnection connection) {
        if (activeWatch == connection) {
            return;
        }
        pendingWatches.remove(connection);
        List<DiscoveryConnection> others = List.copyOf(pendingWatches);
        pendingWatches.clear();
        activeWatch = connection;
        isDown = false;
        loop.cancel(nextOpenTimer);
        nextOpenTimer = null;
        others.forEach(other -> other.close(CloseReason.COMPLETED));
    }

    @Override
    public void watchClosed(DiscoveryConnection connection, CloseReason closeReason) {
        if (activeWatch == connection) {
            activeWatch = null;
            watchLost(closeReason);
            // Danger: routers whose watches end at one moment, and that are all opened again at
            // once.
            nextOpenTimer = loop.schedule(
                    loop.nowUs() + random.nextLong(openIntervalUs / 2), this::openWatch);
        } else if (pendingWatches.remove(connection)) {
            watchLost(closeReason);
        }
    }

    private void watchLost(CloseReason closeReason) {
        // Said once, until a line shows that discovery serves again.
        LOG.log(
                isDown ? Level.FINE : Level.WARNING,
                "discovery_watch_ended",
                "reason",
                closeReason,
                "nodes",
                endpointList.size());
        isDown = true;
        driver.applyInput(m -> m.onEndpointListUpdate(QueryCoordinator.EndpointListUpdate.FAILED));
    }

    // ---- What connections ask and tell. ----

    @Override
    public String host() {
        return discoveryAddress.getHostString();
    }

    @Override
    public boolean isRevisionCurrent() {
        return isRevisionCurrent;
    }

    @Override
    public long revision() {
        return endpointList.revision();
    }

    @Override
    public boolean isInUse(DiscoveryConnection connection) {
        return activeWatch == connection || pendingWatches.contains(connection);
    }

    @Override
    public boolean listReceived(Object list) {
        boolean isApplied = endpointList.apply(list, QueryCoordinator.EndpointListUpdate.FULL);
        isRevisionCurrent |= isApplied;
        return isApplied;
    }

    @Override
    public void listApplied() {
        whenUpdated.run();
    }
}

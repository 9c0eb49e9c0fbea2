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

/** Keeps the endpoint list up to date through watches at discovery, also after its address changes. */
final class DiscoveryWatcher implements DiscoveryConnection.Handler {
    private static final EventLog LOG = new EventLog("tinlink.discovery");

    /** Connections that may wait for a first line at the same time. */
    private static final int MAX_PENDING = 2;

    private final EventLoop loop;
    private final Network network;
    private final DecisionDriver driver;
    private final EndpointList endpointList;
    private final SplittableRandom random;
    private final long openIntervalUs;
    private final DiscoveryConnection.ObjectLimits objectLimits;
    private InetSocketAddress discoveryAddress;

    /** Whether the held revision was numbered by the current discovery address. */
    private boolean revisionCurrent = true;

    /** The watch that delivers updates; null if none does. */
    private DiscoveryConnection activeWatch;

    /** Watches without a line so far, oldest first; at most {@link #MAX_PENDING}. */
    private final List<DiscoveryConnection> pendingWatches = new ArrayList<>();

    /** Opens another watch when it fires; null while a watch is active. */
    private EventLoop.Timer nextOpenTimer;

    /** Whether the loss of the watch has been logged as a warning already. */
    private boolean downLogged;

    private Runnable whenUpdated = () -> {};

    DiscoveryWatcher(
            EventLoop loop,
            Network network,
            DecisionDriver driver,
            EndpointList endpointList,
            InetSocketAddress discoveryAddress,
            boolean pushed,
            long seed,
            DiscoveryConnection.ObjectLimits objectLimits) {
        this.loop = loop;
        this.network = network;
        this.driver = driver;
        this.endpointList = endpointList;
        this.discoveryAddress = discoveryAddress;
        // If lists are pushed, a local agent serves them, so that frequent connections cost little.
        openIntervalUs = ProtocolLimits.WATCH_KEEPALIVE_US / (pushed ? 8 : 2);
        this.objectLimits = objectLimits;
        random = new SplittableRandom(seed);
    }

    /** Sets the callback that runs after each applied update. */
    void whenUpdated(Runnable listener) {
        whenUpdated = listener;
    }

    /** Opens a watch if none is active or scheduled. */
    void follow() {
        if (activeWatch == null && nextOpenTimer == null) {
            openWatch();
        }
    }

    /**
     * Opens another watch beside the silent pending ones. An address that hangs, or whose discovery is down,
     * accepts connections and stays silent; a router that waits on one such connection, or on none for a
     * while, learns of a drain long after it was listed. The oldest pending watch is closed for the new one.
     */
    private void openWatch() {
        nextOpenTimer = loop.schedule(
                loop.nowUs() + openIntervalUs - random.nextLong(openIntervalUs / 4),
                this::openWatch);
        if (pendingWatches.size() == MAX_PENDING) {
            pendingWatches.get(0).close(CloseReason.UNRESPONSIVE);
        }
        DiscoveryConnection connection = new DiscoveryConnection(loop, this, objectLimits);
        try {
            connection.attach(network.connect(discoveryAddress, connection));
            pendingWatches.add(connection);
        } catch (IOException | RuntimeException e) {
            LOG.logFailure(Level.FINE, "discovery_connect_failed", e);
            watchLost(null);
        }
    }

    /** Switches to a new discovery address; the held list stays until that address sends an update. */
    void moveTo(InetSocketAddress address) {
        if (address.equals(discoveryAddress)) {
            return;
        }
        LOG.log(Level.INFO, "discovery_moved", "address", address, "nodes", endpointList.size());
        discoveryAddress = address;
        // The new address may number its revisions differently, so changes after the held revision
        // could miss updates. The full list cannot.
        revisionCurrent = false;
        List<DiscoveryConnection> old = new ArrayList<>(pendingWatches);
        if (activeWatch != null) {
            old.add(activeWatch);
        }
        // Data that still arrives from the old address is out of date and must not be applied.
        activeWatch = null;
        pendingWatches.clear();
        old.forEach(watch -> watch.close(CloseReason.ENDPOINT_REMOVED));
        loop.cancel(nextOpenTimer);
        openWatch();
    }

    /** Makes the connection the active watch and closes the pending ones. */
    @Override
    public void watchAlive(DiscoveryConnection connection) {
        if (activeWatch == connection) {
            return;
        }
        pendingWatches.remove(connection);
        List<DiscoveryConnection> others = List.copyOf(pendingWatches);
        pendingWatches.clear();
        activeWatch = connection;
        downLogged = false;
        loop.cancel(nextOpenTimer);
        nextOpenTimer = null;
        others.forEach(other -> other.close(CloseReason.COMPLETED));
    }

    @Override
    public void watchClosed(DiscoveryConnection connection, CloseReason closeReason) {
        if (activeWatch == connection) {
            activeWatch = null;
            watchLost(closeReason);
            // The delay is random, so that routers that lose their watches at the same time do not
            // all reconnect at once.
            nextOpenTimer = loop.schedule(
                    loop.nowUs() + random.nextLong(openIntervalUs / 2), this::openWatch);
        } else if (pendingWatches.remove(connection)) {
            watchLost(closeReason);
        }
    }

    private void watchLost(CloseReason closeReason) {
        // The warning is logged once until a watch delivers a line again.
        LOG.log(
                downLogged ? Level.FINE : Level.WARNING,
                "discovery_watch_ended",
                "reason",
                closeReason,
                "nodes",
                endpointList.size());
        downLogged = true;
        driver.applyInput(coordinator ->
                coordinator.onEndpointListUpdate(QueryCoordinator.EndpointListUpdate.FAILED));
    }

    // ---- Callbacks of the connections. ----

    @Override
    public String host() {
        return discoveryAddress.getHostString();
    }

    @Override
    public boolean isRevisionCurrent() {
        return revisionCurrent;
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
        boolean applied = endpointList.apply(list, QueryCoordinator.EndpointListUpdate.FULL);
        revisionCurrent |= applied;
        return applied;
    }

    @Override
    public void listApplied() {
        whenUpdated.run();
    }
}

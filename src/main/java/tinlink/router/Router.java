package tinlink.router;

import tinlink.config.InvalidInputException;
import tinlink.config.RouterConfig;
import tinlink.decision.QueryCoordinator;
import tinlink.net.EventLog;
import tinlink.net.EventLoop;
import tinlink.net.Network;
import tinlink.net.ProtocolLimits;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import java.util.logging.Level;

/** A query router, built from its configuration and run until it is stopped. */
public final class Router {
    private static final EventLog LOG = new EventLog("tinlink.router");
    /** New connections still arrive for up to 0.4 s after a SIGTERM. */
    static final long DRAIN_NOTICE_US = 500_000;
    /** Requests that arrive later than this after a SIGTERM must not be left unanswered. */
    private static final long LAST_REQUEST_US = 600_000;

    private final EventLoop loop = new EventLoop();
    private final Network network;
    private final DecisionDriver driver;
    private final ClientAcceptor acceptor;
    private final AttemptDispatcher dispatcher;
    private final EndpointList endpointList;
    private final DiscoveryWatcher discoveryWatcher;
    private final RequestPipeline pipeline;
    /** Null if no other sites are configured. */
    private final GatewayIntegration gateway;

    private final MaintenanceDrain maintenanceDrain;
    /** Null if maintenance coordination is not configured. */
    private final MaintenanceIntegration maintenance;
    /** Whether the start no longer waits for maintenance: agreed, timed out or not required. */
    private boolean maintenanceReady = true;
    /** The configuration as last read. */
    private RouterConfig config;
    /**
     * The warm-up, which holds the clients that connect before the router serves; null if not requested and
     * once the router serves.
     */
    private Warmup warmup;

    private boolean warmUpRequested;
    /** Whether the warm-up has ended or was not requested. */
    private boolean warm;
    /** Whether the list from discovery has arrived or the wait for it has timed out. */
    private boolean listReceived;

    private boolean serving;
    /** Why the router failed to start serving; null if it did not fail. */
    private IOException serveFailure;

    private final CountDownLatch servingLatch = new CountDownLatch(1);
    private final CountDownLatch stoppedLatch = new CountDownLatch(1);

    /**
     * @param coordinator the coordinator that decides; tests pass others to check the router's behaviour
     */
    public Router(RouterConfig config, QueryCoordinator coordinator) throws IOException {
        this(config, coordinator, Runnable::run);
    }

    /** @param completionRunner runs completion handlers; tests pass runners that delay them */
    public Router(
            RouterConfig config, QueryCoordinator coordinator, Consumer<Runnable> completionRunner)
            throws IOException {
        this.config = config;
        network = new Network(loop, completionRunner);
        pipeline = new RequestPipeline(loop, network, config, coordinator);
        driver = pipeline.driver;
        acceptor = pipeline.acceptor;
        dispatcher = pipeline.dispatcher;
        endpointList = pipeline.endpointList;
        discoveryWatcher = pipeline.discoveryWatcher;
        driver.connect(pipeline.dispatcher, discoveryWatcher::follow);
        if (config.http2 != null) {
            pipeline.dispatcher
                    .http2()
                    .enable(config.http2, node -> endpointList.matches(node, config.http2.offers));
        }
        gateway = config.gateway == null
                ? null
                : new GatewayIntegration(loop, network, config, pipeline);
        maintenanceDrain =
                new MaintenanceDrain(loop, pipeline, gateway == null ? null : gateway.gateway());
        maintenance = config.maintenance == null
                ? null
                : new MaintenanceIntegration(loop, network, config, pipeline, maintenanceDrain);
    }

    /**
     * Makes {@link #run()} execute the request path before it serves clients, so that its code is loaded and
     * compiled by then.
     */
    public void warmUp() {
        warmUpRequested = true;
    }

    /** Runs the warm-up without serving afterwards. */
    public void onlyWarmUp() throws IOException {
        try {
            network.listen(config.listen);
            startWarmup(loop::stop);
            loop.run(driver);
        } finally {
            network.close();
        }
    }

    private void startWarmup(Runnable next) {
        long startNanos = System.nanoTime();
        try {
            warmup = new Warmup(config.reload(), loop, network, pipeline, () -> {
                LOG.log(
                        Level.INFO,
                        "warmed_up",
                        "router",
                        config.name,
                        "lookups",
                        warmup.lookupsAnswered(),
                        "took_ms",
                        (System.nanoTime() - startNanos) / 1_000_000);
                next.run();
            });
            driver.addAroundDecisions(warmup);
            network.accept(warmup);
        } catch (IOException | RuntimeException e) {
            LOG.logFailure(Level.WARNING, "warm_up_failed", e);
            leaveWarmup();
            warmup = null;
            next.run();
        }
    }

    private void leaveWarmup() {
        if (warmup != null) {
            driver.removeAroundDecisions(warmup);
        }
    }

    /** Serves until the router is stopped. */
    public void run() throws IOException {
        try {
            driver.turnStarted(loop.nowUs());
            endpointList.applyCached(config.cachedEndpoints);
            // Clients can connect from here on. They wait until they are served; none is refused.
            network.listen(config.listen);
            if (maintenance != null) {
                maintenanceReady = false;
                maintenance.start(this::maintenanceReady);
            }
            discoveryWatcher.whenUpdated(this::listReceived);
            if (config.isDiscoveryPushed) {
                discoveryWatcher.follow(); // If lists are polled, the coordinator decides when.
            }
            if (warmUpRequested) {
                startWarmup(this::awaitEndpointList);
            } else {
                awaitEndpointList();
            }
            loop.execute(
                    () -> {}); // The first turn runs now; the coordinator may request the list.
            loop.run(driver);
            if (serveFailure != null) {
                throw serveFailure;
            }
            if (maintenance != null) {
                maintenance.close();
            }
            LOG.log(Level.INFO, "stopped", "router", config.name, "in_flight", driver.inFlight());
        } finally {
            network.close();
            stoppedLatch.countDown();
        }
    }

    /**
     * Waits for the first list from discovery before the router serves. The cached list may be older than the
     * grace period of a drain, and attempts based on it would go to data nodes listed as draining or removed
     * long ago. A local agent answers at once or, while discovery is down, not at all, so the wait is the
     * connect timeout. If lists are polled, discovery answers many routers and has half of a keepalive
     * interval more.
     */
    private void awaitEndpointList() {
        warm = true;
        if (!listReceived) {
            loop.schedule(
                    loop.nowUs()
                            + config.nodeConnections.connectTimeoutUs()
                            + (config.isDiscoveryPushed
                                    ? 0
                                    : ProtocolLimits.WATCH_KEEPALIVE_US / 2),
                    this::listReceived);
        }
        serveWhenReady();
    }

    private void listReceived() {
        listReceived = true;
        serveWhenReady();
    }

    private void maintenanceReady() {
        maintenanceReady = true;
        serveWhenReady();
    }

    private void serveWhenReady() {
        if (serving || !warm || !listReceived || !maintenanceReady) {
            return;
        }
        serving = true;
        leaveWarmup();
        try {
            if (gateway != null) {
                gateway.start(config.gateway);
            }
            network.accept(acceptor);
            if (warmup != null) {
                warmup.handOverClients();
                warmup = null;
            }
            maintenanceDrain.servingStarted(network.address());
            servingLatch.countDown();
            LOG.log(
                    Level.INFO,
                    "serving",
                    "router",
                    config.name,
                    "address",
                    network.address(),
                    "nodes",
                    endpointList.size(),
                    "descriptors",
                    config.maxDescriptors,
                    "memory_mb",
                    config.memoryMb);
        } catch (IOException e) {
            serveFailure = e;
            loop.stop();
        }
    }

    /** Waits until the router serves clients. For use from other threads. */
    public void awaitListening() throws InterruptedException {
        servingLatch.await();
    }

    public InetSocketAddress address() throws IOException {
        return network.address();
    }

    /** The address where routers of other sites connect. */
    public InetSocketAddress gatewayAddress() throws IOException {
        return gateway.gateway().address();
    }

    /** A counter of the channels to other sites or of HTTP/2. For use from other threads. */
    public long gatewayCount(String name) {
        return name.startsWith("http2_") ? http2Count(name) : gateway.count(name);
    }

    /**
     * The number of cells reachable at other sites, counted once per router there. For use from other
     * threads.
     */
    public int remoteCells() {
        return gateway.remoteCells();
    }

    private long http2Count(String name) {
        return loop.submitAndWait(() -> dispatcher.http2().counters().get(name));
    }

    /**
     * Drains the router for maintenance, or ends the drain. Otherwise the cluster decides on it. For use from
     * other threads.
     */
    public void setDraining(boolean draining) {
        loop.execute(() -> maintenanceDrain.setRequested(draining));
    }

    /** The work that a drain for maintenance waits for, as a count. For use from other threads. */
    public int workInFlight() {
        return loop.submitAndWait(maintenanceDrain::workInFlight);
    }

    /** Stops at once, regardless of lookups in flight. For use from other threads. */
    public void stopNow() {
        loop.execute(loop::stop);
    }

    /**
     * Reloads the configuration, and keeps the current one if the new one is invalid. For use from other
     * threads.
     */
    public void reload() {
        loop.execute(() -> {
            try {
                config = config.reload();
                discoveryWatcher.moveTo(config.discovery);
                if (gateway != null && config.gateway != null) {
                    gateway.updateKeys(config.gateway);
                }
                LOG.log(Level.INFO, "config_reloaded", "router", config.name);
            } catch (InvalidInputException e) {
                LOG.log(Level.WARNING, "config_reload_rejected", "reason", e.getMessage());
            }
        });
    }

    /** Stops gracefully and waits until the router has stopped. For use from other threads. */
    public void stopAndWait() throws InterruptedException {
        loop.execute(this::stop);
        stoppedLatch.await();
    }

    private void stop() {
        LOG.log(Level.INFO, "stopping", "router", config.name, "in_flight", driver.inFlight());
        // In a rolling restart the next router may stop before the previous one is back. Clients go
        // on using their open connections, so these are served as long as a request can be answered
        // before the process may be killed.
        long killDelayUs = Math.min(config.maxDeadlineUs, ProtocolLimits.MAX_KILL_GRACE_US)
                + ProtocolLimits.KILL_MARGIN_US;
        long lastUs = loop.nowUs() + LAST_REQUEST_US + config.maxDeadlineUs;
        long stopAcceptingUs = loop.nowUs()
                + Math.max(DRAIN_NOTICE_US, killDelayUs - 2 * config.maxDeadlineUs / 3);
        // A request that is still unanswered when the process is killed is lost.
        long admitUntilUs = Math.min(
                lastUs,
                loop.nowUs() + killDelayUs - (ProtocolLimits.KILL_MARGIN_US - LAST_REQUEST_US));
        loop.schedule(loop.nowUs() + DRAIN_NOTICE_US, () -> acceptor.admitUntilUs(admitUntilUs));
        loop.schedule(stopAcceptingUs, acceptor::stopAccepting);
        loop.schedule(
                Math.max(stopAcceptingUs, loop.nowUs() + LAST_REQUEST_US),
                () -> stopWhenEmpty(lastUs));
        acceptor.markNotReady();
        maintenanceReady = true;
        maintenanceDrain.shutdownStarted();
        if (warmup != null) {
            warmup.end(); // The clients that wait for its end are served while there is time.
        }
        listReceived();
        if (gateway != null) {
            gateway.gateway().startDraining();
        }
    }

    private void stopWhenEmpty(long lastUs) {
        if ((acceptor.isEmpty() && (gateway == null || gateway.gateway().isIdle()))
                || loop.nowUs() >= lastUs) {
            if (maintenance == null) {
                loop.stop();
            } else {
                maintenance.leave();
                loop.schedule(
                        loop.nowUs() + config.nodeConnections.connectTimeoutUs() / 4,
                        loop::stop); // The messages that announce the departure are sent first.
            }
        } else {
            loop.schedule(
                    loop.nowUs() + config.nodeConnections.connectTimeoutUs() / 8,
                    () -> stopWhenEmpty(lastUs));
        }
    }
}

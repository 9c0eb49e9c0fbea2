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

/** One query router: built from its configuration, then run until it is told to stop. */
public final class Router {
    private static final EventLog LOG = new EventLog("tinlink.router");
    /** After a SIGTERM new connections go on coming for up to 0.4 s. */
    static final long DRAIN_NOTICE_US = 500_000;
    /** What comes later than this after a SIGTERM must not be left unanswered. */
    private static final long LAST_REQUEST_US = 600_000;

    private final EventLoop loop = new EventLoop();
    private final Network network;
    private final DecisionDriver driver;
    private final ClientAcceptor acceptor;
    private final AttemptDispatcher dispatcher;
    private final EndpointList endpointList;
    private final DiscoveryWatcher discoveryWatcher;
    private final RequestPipeline pipeline;
    /** Null where there are no other sites. */
    private final GatewayIntegration gateway;
    /** Null where work on machines is off. */
    private final MaintenanceIntegration maintenance;
    /** Its start is agreed on, has been awaited for long enough, or nobody has to agree on it. */
    private boolean maintenanceReady = true;
    /** As the configuration was last read. */
    private RouterConfig config;
    /**
     * Plays before clients are served, and holds those that come; null without one and once we
     * serve.
     */
    private Warmup warmup;

    private boolean warmUpRequested;
    /** The warm-up has ended, or there is none. */
    private boolean isWarm;
    /** Discovery has sent its list, or has been awaited long enough. */
    private boolean listReceived;

    private boolean isServing;
    /** Why it could not serve; null where it could. */
    private IOException serveFailure;

    private final CountDownLatch servingLatch = new CountDownLatch(1);
    private final CountDownLatch stoppedLatch = new CountDownLatch(1);

    /**
     * @param module what decides; another than the built one only to see how the router bears it
     */
    public Router(RouterConfig config, QueryCoordinator module) throws IOException {
        this(config, module, Runnable::run);
    }

    /** @param completionRunner runs a completion handler at once; others only show how late ones are borne */
    public Router(RouterConfig config, QueryCoordinator module, Consumer<Runnable> completionRunner)
            throws IOException {
        this.config = config;
        network = new Network(loop, completionRunner);
        pipeline = new RequestPipeline(loop, network, config, module);
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
        maintenance = config.maintenance == null
                ? null
                : new MaintenanceIntegration(loop, network, config, pipeline);
    }

    /**
     * Run will first play all code that clients will meet, so that it is compiled before they are
     * served.
     */
    public void warmUp() {
        warmUpRequested = true;
    }

    /** The warm-up and nothing else. */
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

    /** Serves until it is told to stop. */
    public void run() throws IOException {
        try {
            driver.turnStarted(loop.nowUs());
            endpointList.applyCached(config.cachedEndpoints);
            // From here on clients can connect; until they are served they wait, and none is
            // refused.
            network.listen(config.listen);
            if (maintenance != null) {
                maintenanceReady = false;
                maintenance.start(this::maintenanceReady);
            }
            discoveryWatcher.whenUpdated(this::listReceived);
            if (config.isDiscoveryPushed) {
                discoveryWatcher.follow(); // Where lists are asked for, the module says when.
            }
            if (warmUpRequested) {
                startWarmup(this::awaitEndpointList);
            } else {
                awaitEndpointList();
            }
            loop.execute(
                    () -> {}); // The first turn is now: the module may want to ask for the list.
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
     * Danger: the list known at the start may be older than the grace that drains have, and what is
     * sent by it before discovery has spoken goes to nodes listed as draining or removed long ago. Its
     * agent answers at once, or is silent while discovery is down: no longer than a connection
     * takes to come up. Where lists are asked for, it answers many routers, and is given half of a
     * line's time more.
     */
    private void awaitEndpointList() {
        isWarm = true;
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
        if (isServing || !isWarm || !listReceived || !maintenanceReady) {
            return;
        }
        isServing = true;
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
            if (maintenance != null) {
                maintenance.setServingAddress(network.address());
            }
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

    /** From another thread: returns once clients are served. */
    public void awaitListening() throws InterruptedException {
        servingLatch.await();
    }

    public InetSocketAddress address() throws IOException {
        return network.address();
    }

    /** Where routers of other sites connect. */
    public InetSocketAddress gatewayAddress() throws IOException {
        return gateway.gateway().address();
    }

    /** From another thread: a counter of the links with other sites. */
    public long gatewayCount(String name) {
        return name.startsWith("http2_") ? http2Count(name) : gateway.count(name);
    }

    /**
     * From another thread: how many cells are reached at other sites now, each once for each router
     * there.
     */
    public int remoteCells() {
        return gateway.remoteCells();
    }

    private long http2Count(String name) {
        return loop.submitAndWait(() -> dispatcher.http2().counters().get(name));
    }

    /** From another thread: stops at once, whatever is in flight. */
    public void stopNow() {
        loop.execute(loop::stop);
    }

    /**
     * From another thread: reads the configuration again, and goes on with what it had if that
     * can't be used.
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

    /** From another thread: stops in order and returns when that is done. */
    public void stopAndWait() throws InterruptedException {
        loop.execute(this::stop);
        stoppedLatch.await();
    }

    private void stop() {
        LOG.log(Level.INFO, "stopping", "router", config.name, "in_flight", driver.inFlight());
        // Danger: while routers restart one after the other, the next one may stop before the one
        // before it
        // is back. Clients go on using the connections that they have, so these are served for as
        // long as
        // what comes can be answered before the process may be killed.
        long killDelayUs = Math.min(config.maxDeadlineUs, ProtocolLimits.MAX_KILL_GRACE_US)
                + ProtocolLimits.KILL_MARGIN_US;
        long lastUs = loop.nowUs() + LAST_REQUEST_US + config.maxDeadlineUs;
        long stopAcceptingUs = loop.nowUs()
                + Math.max(DRAIN_NOTICE_US, killDelayUs - 2 * config.maxDeadlineUs / 3);
        // Danger: what comes late after the SIGTERM and is still unanswered as the process is
        // killed is lost.
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
        if (maintenance != null) {
            maintenance.stopping();
        }
        if (warmup != null) {
            warmup.end(); // Who waits for it is served now, while there is time.
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
                        loop::stop); // Its last words leave first.
            }
        } else {
            loop.schedule(
                    loop.nowUs() + config.nodeConnections.connectTimeoutUs() / 8,
                    () -> stopWhenEmpty(lastUs));
        }
    }
}

package tinlink.router;

import tinlink.decision.Aggregator;
import tinlink.net.EventLoop;
import tinlink.net.Network;
import tinlink.net.ProtocolLimits;
import tinlink.start.BadInput;
import tinlink.start.RouterStart;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/** One query router: built from its start, then run until it is told to stop. */
public final class Router {
    private static final Logger LOG = Logger.getLogger("tinlink.router");
    /** After a SIGTERM new connections go on coming for up to 0.4 s. */
    static final long CLIENTS_COME_US = 500_000;
    /** What comes later than this after a SIGTERM must not be left unanswered. */
    private static final long LAST_TAKEN_US = 600_000;

    private final EventLoop loop = new EventLoop();
    private final Network network;
    private final ModuleTurn turn;
    private final Intake intake;
    private final PartSends sends;
    private final Roster roster;
    private final DiscoveryWatcher discovery;
    private final Stages stages;
    /** Null where there are no other sites. */
    private final SiteLinks sites;
    /** Null where work on machines is off. */
    private final WorkLinks work;
    /** Its start is agreed on, has been awaited for long enough, or nobody has to agree on it. */
    private boolean workKnown = true;
    /** As the configuration was last read. */
    private RouterStart start;
    /**
     * Plays before clients are served, and holds those that come; null without one and once we
     * serve.
     */
    private Warmup warmup;

    private boolean warms;
    /** The code has run, or will not. */
    private boolean warm;
    /** Discovery has told its list, or has been awaited long enough. */
    private boolean listHeard;

    private boolean serves;
    /** Why it could not serve; null where it could. */
    private IOException notServed;

    private final CountDownLatch listening = new CountDownLatch(1);
    private final CountDownLatch over = new CountDownLatch(1);

    /**
     * @param module what decides; another than the built one only to see how the router bears it
     */
    public Router(RouterStart start, Aggregator module) throws IOException {
        this(start, module, Runnable::run);
    }

    /** @param handlers runs a completion handler at once; others only show how late ones are borne */
    public Router(RouterStart start, Aggregator module, Consumer<Runnable> handlers)
            throws IOException {
        this.start = start;
        network = new Network(loop, handlers);
        stages = new Stages(loop, network, start, module);
        turn = stages.turn;
        intake = stages.intake;
        sends = stages.sends;
        roster = stages.roster;
        discovery = stages.discovery;
        turn.serves(stages.sends, discovery::follow);
        if (start.http2 != null) {
            stages.sends.streams().offeredBy(start.http2, n -> roster.isOf(n, start.http2.offers));
        }
        sites = start.gateway == null ? null : new SiteLinks(loop, network, start, stages);
        work = start.work == null ? null : new WorkLinks(loop, network, start, stages);
    }

    /**
     * Run will first play all code that clients will meet, so that it is compiled before they are
     * served.
     */
    public void warmUp() {
        warms = true;
    }

    /** The warm-up and nothing else. */
    public void onlyWarmUp() throws IOException {
        try {
            network.listen(start.listen);
            beginWarmup(loop::stop);
            loop.run(turn);
        } finally {
            network.close();
        }
    }

    private void beginWarmup(Runnable then) {
        long from = System.nanoTime();
        try {
            warmup = new Warmup(start.again(), loop, network, stages, () -> {
                LOG.log(Level.INFO, "{0} has warmed up: {1} lookups in {2} ms", new Object[] {
                    start.name, warmup.answered(), (System.nanoTime() - from) / 1_000_000
                });
                then.run();
            });
            turn.beside(warmup);
            network.accept(warmup);
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.WARNING, "the router starts cold", e);
            warmup = null;
            then.run();
        }
    }

    /** Serves until it is told to stop. */
    public void run() throws IOException {
        try {
            turn.turnStarted(loop.nowUs());
            roster.known(start.known);
            // From here on clients can connect; until they are served they wait, and none is
            // refused.
            network.listen(start.listen);
            if (work != null) {
                workKnown = false;
                work.start(this::workKnown);
            }
            discovery.whenHeard(this::listHeard);
            if (start.pushed) {
                discovery.follow(); // Where lists are asked for, the module says when.
            }
            if (warms) {
                beginWarmup(this::awaitList);
            } else {
                awaitList();
            }
            loop.execute(() -> {}); // The first turn is now: the module may want to ask for the list.
            loop.run(turn);
            if (notServed != null) {
                throw notServed;
            }
            if (work != null) {
                work.close();
            }
            LOG.log(Level.INFO, "{0} has stopped, {1} lookups and parts in hand", new Object[] {
                start.name, turn.open()
            });
        } finally {
            network.close();
            over.countDown();
        }
    }

    /**
     * Danger: the list known at the start may be older than the grace that drains have, and what is
     * sent by it before discovery has spoken goes to nodes told as draining or gone long ago. Its
     * agent answers at once, or is silent while discovery is down: no longer than a connection
     * takes to come up. Where lists are asked for, it answers many routers, and is given half of a
     * line's time more.
     */
    private void awaitList() {
        warm = true;
        if (!listHeard) {
            loop.schedule(
                    loop.nowUs()
                            + start.links.connectUs()
                            + (start.pushed ? 0 : ProtocolLimits.WATCH_KEEPALIVE_US / 2),
                    this::listHeard);
        }
        serveWhenReady();
    }

    private void listHeard() {
        listHeard = true;
        serveWhenReady();
    }

    private void workKnown() {
        workKnown = true;
        serveWhenReady();
    }

    private void serveWhenReady() {
        if (serves || !warm || !listHeard || !workKnown) {
            return;
        }
        serves = true;
        turn.beside(null);
        try {
            if (sites != null) {
                sites.start(start.gateway);
            }
            network.accept(intake);
            if (warmup != null) {
                warmup.handOver();
                warmup = null;
            }
            if (work != null) {
                work.servesAt(network.address());
            }
            listening.countDown();
            LOG.log(
                    Level.INFO,
                    "{0} serves at {1} with {2} data nodes, {3} descriptors and {4} MB",
                    new Object[] {
                        start.name,
                        String.valueOf(network.address()),
                        roster.size(),
                        start.descriptors,
                        start.memoryMb
                    });
        } catch (IOException e) {
            notServed = e;
            loop.stop();
        }
    }

    /** From another thread: returns once clients are served. */
    public void awaitListening() throws InterruptedException {
        listening.await();
    }

    public InetSocketAddress address() throws IOException {
        return network.address();
    }

    /** Where routers of other sites connect. */
    public InetSocketAddress gatewayAddress() throws IOException {
        return sites.gateway().address();
    }

    /** From another thread: a counter of the links with other sites. */
    public long gatewayCount(String name) {
        return name.startsWith("http2_") ? http2Count(name) : sites.count(name);
    }

    /**
     * From another thread: how many cells are reached at other sites now, each once for each router
     * there.
     */
    public int farCells() {
        return sites.farCells();
    }

    private long http2Count(String name) {
        return loop.submitAndWait(() -> sends.streams().counters().get(name));
    }

    /** From another thread: ends at once, whatever is in hand. */
    public void end() {
        loop.execute(loop::stop);
    }

    /**
     * From another thread: reads the configuration again, and goes on with what it had if that
     * can't be used.
     */
    public void reload() {
        loop.execute(() -> {
            try {
                start = start.again();
                discovery.moveTo(start.discovery);
                if (sites != null && start.gateway != null) {
                    sites.again(start.gateway);
                }
                LOG.log(Level.INFO, "{0} has read its configuration again", start.name);
            } catch (BadInput e) {
                LOG.log(Level.WARNING, "reload: {0}; all stays as it was", e.getMessage());
            }
        });
    }

    /** From another thread: stops in order and returns when that is done. */
    public void stopAndWait() throws InterruptedException {
        loop.execute(this::stop);
        over.await();
    }

    private void stop() {
        LOG.log(Level.INFO, "{0} stops, {1} lookups and parts in hand", new Object[] {
            start.name, turn.open()
        });
        // Danger: while routers restart one after the other, the next one may stop before the one
        // before it
        // is back. Clients go on using the connections that they have, so these are served for as
        // long as
        // what comes can be answered before the process may be killed.
        long kill = Math.min(start.longestUs, ProtocolLimits.MAX_KILL_GRACE_US) + ProtocolLimits.KILL_MARGIN_US;
        long last = loop.nowUs() + LAST_TAKEN_US + start.longestUs;
        long door = loop.nowUs() + Math.max(CLIENTS_COME_US, kill - 2 * start.longestUs / 3);
        // Danger: what comes late after the SIGTERM and is still unanswered as the process is
        // killed is lost.
        long takes = Math.min(last, loop.nowUs() + kill - (ProtocolLimits.KILL_MARGIN_US - LAST_TAKEN_US));
        loop.schedule(loop.nowUs() + CLIENTS_COME_US, () -> intake.takesUntil(takes));
        loop.schedule(door, intake::closeDoor);
        loop.schedule(Math.max(door, loop.nowUs() + LAST_TAKEN_US), () -> endWhenEmpty(last));
        intake.notReady();
        workKnown = true;
        if (work != null) {
            work.stops();
        }
        if (warmup != null) {
            warmup.end(); // Who waits for it is served now, while there is time.
        }
        listHeard();
        if (sites != null) {
            sites.gateway().startDraining();
        }
    }

    private void endWhenEmpty(long last) {
        if ((intake.isEmpty() && (sites == null || sites.gateway().isIdle()))
                || loop.nowUs() >= last) {
            if (work == null) {
                loop.stop();
            } else {
                work.leave();
                loop.schedule(
                        loop.nowUs() + start.links.connectUs() / 4,
                        loop::stop); // Its last words leave first.
            }
        } else {
            loop.schedule(loop.nowUs() + start.links.connectUs() / 8, () -> endWhenEmpty(last));
        }
    }
}

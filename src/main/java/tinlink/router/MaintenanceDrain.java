package tinlink.router;

import tinlink.gateway.Gateway;
import tinlink.net.EventLog;
import tinlink.net.EventLoop;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.logging.Level;

/**
 * Drains this router for maintenance: clients, and parts that routers of other sites forward. Unlike the
 * drain at a shutdown it can be called off, after which the router accepts both again.
 */
final class MaintenanceDrain {
    private static final EventLog LOG = new EventLog("tinlink.maintenance");
    private static final long RESUME_RETRY_US = 500_000;

    private final EventLoop loop;
    private final RequestPipeline pipeline;
    /** Null if no other sites are configured. */
    private final Gateway gateway;

    private boolean requested;
    private boolean shuttingDown;
    /** Whether this drain has stopped the accepting of clients and parts. */
    private boolean acceptingStopped;
    /** The address that clients are served at, which a resumed listener uses again; null before that. */
    private InetSocketAddress servingAddress;

    /** @param gateway null if no other sites are configured */
    MaintenanceDrain(EventLoop loop, RequestPipeline pipeline, Gateway gateway) {
        this.loop = loop;
        this.pipeline = pipeline;
        this.gateway = gateway;
    }

    /**
     * Starts or ends the drain. The router reports "not ready" and announces no cells to other
     * sites. It still accepts clients and parts for the drain notice, until others have noticed.
     */
    void setRequested(boolean drainRequested) {
        requested = drainRequested;
        if (shuttingDown) {
            return;
        }
        if (requested) {
            pipeline.acceptor.markNotReady();
            if (gateway != null) {
                gateway.withdrawCells();
            }
            loop.schedule(loop.nowUs() + Router.DRAIN_NOTICE_US, this::stopAccepting);
        } else {
            resumeAccepting();
        }
    }

    /** Called when clients are served, at the given address; a drain that was requested before begins now. */
    void servingStarted(InetSocketAddress address) {
        servingAddress = address;
        if (requested) {
            setRequested(true);
        }
    }

    /** Called when the router shuts down, which drains it by itself; requests have no effect afterwards. */
    void shutdownStarted() {
        shuttingDown = true;
    }

    /**
     * The number of clients and lookups that the drain waits for, one while new ones are accepted, and one
     * while answers for other sites have not left. A part of another site is a lookup here.
     */
    int workInFlight() {
        return (acceptingStopped ? 0 : 1)
                + (gateway == null || gateway.isIdle() ? 0 : 1)
                + pipeline.acceptor.clients()
                + pipeline.driver.inFlight();
    }

    /** A router that does not serve yet keeps its listener, which its start still needs. */
    private void stopAccepting() {
        boolean serving = servingAddress != null;
        if (requested && serving && !acceptingStopped && !shuttingDown) {
            acceptingStopped = true;
            pipeline.acceptor.stopAccepting();
            if (gateway != null) {
                gateway.pause();
            }
        }
    }

    private void resumeAccepting() {
        if (requested || shuttingDown) {
            return;
        }
        try {
            if (acceptingStopped) {
                pipeline.acceptor.resumeAccepting(servingAddress);
                acceptingStopped = false;
            }
            pipeline.acceptor.setReady(true);
            if (gateway != null) {
                gateway.resume();
            }
        } catch (IOException e) {
            LOG.logFailure(Level.WARNING, "accept_resume_failed", e);
            loop.schedule(loop.nowUs() + RESUME_RETRY_US, this::resumeAccepting);
        }
    }
}

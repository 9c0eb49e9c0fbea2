package tinlink.router;

import tinlink.net.EventLog;
import tinlink.net.EventLoop;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.logging.Level;

/**
 * Drains this router for maintenance. Unlike the drain at a shutdown it can be called off, after which the
 * router accepts clients again.
 */
final class MaintenanceDrain {
    private static final EventLog LOG = new EventLog("tinlink.maintenance");
    private static final long RESUME_RETRY_US = 500_000;

    private final EventLoop loop;
    private final RequestPipeline pipeline;

    private boolean requested;
    private boolean shuttingDown;
    /** Whether this drain has stopped the accepting of clients. */
    private boolean acceptingStopped;
    /** The address that clients are served at, which a resumed listener uses again. */
    private InetSocketAddress servingAddress;

    /** @param configuredAddress the address for clients in the configuration, used until one is served */
    MaintenanceDrain(
            EventLoop loop, RequestPipeline pipeline, InetSocketAddress configuredAddress) {
        this.loop = loop;
        this.pipeline = pipeline;
        servingAddress = configuredAddress;
    }

    /**
     * Starts or ends the drain. The router reports "not ready" and still accepts clients for the drain
     * notice, until others have noticed; then it stops.
     */
    void setRequested(boolean drainRequested) {
        requested = drainRequested;
        if (shuttingDown) {
            return;
        }
        if (requested) {
            pipeline.acceptor.markNotReady();
            loop.schedule(loop.nowUs() + Router.DRAIN_NOTICE_US, this::stopAccepting);
        } else {
            resumeAccepting();
        }
    }

    /** Sets the address that clients are served at from now on. */
    void servingStarted(InetSocketAddress address) {
        servingAddress = address;
    }

    /** Called when the router shuts down, which drains it by itself; requests have no effect afterwards. */
    void shutdownStarted() {
        shuttingDown = true;
    }

    /** The number of clients and lookups that the drain waits for, and one while clients are accepted. */
    int workInFlight() {
        return (acceptingStopped ? 0 : 1)
                + pipeline.acceptor.clients()
                + pipeline.driver.inFlight();
    }

    private void stopAccepting() {
        if (requested && !acceptingStopped && !shuttingDown) {
            acceptingStopped = true;
            pipeline.acceptor.stopAccepting();
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
        } catch (IOException e) {
            LOG.logFailure(Level.WARNING, "accept_resume_failed", e);
            loop.schedule(loop.nowUs() + RESUME_RETRY_US, this::resumeAccepting);
        }
    }
}

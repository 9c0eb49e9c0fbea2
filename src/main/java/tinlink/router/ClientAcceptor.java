package tinlink.router;

import tinlink.decision.LookupClass;
import tinlink.net.CloseReason;
import tinlink.net.Connection;
import tinlink.net.EventLog;
import tinlink.net.EventLoop;
import tinlink.net.JsonReader;
import tinlink.net.MessageRejectedException;
import tinlink.net.Network;
import tinlink.net.ProtocolLimits;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.logging.Level;

/**
 * Accepts client connections, admits their queries to the decision driver, and closes connections when
 * descriptors run short or the router stops. Of the event loop's thread.
 */
final class ClientAcceptor implements Network.AcceptHandler {
    private static final EventLog LOG = new EventLog("tinlink.clients");

    /**
     * @param maxInFlight lookups and parts that may be in flight, where no policy says otherwise
     * @param lingerUs how long the other side may take to see a close
     * @param maxBodyBytesInFlight bytes that bodies which are being read may hold together
     * @param maxDeadlineUs no client waits for longer than this
     */
    record Limits(int maxInFlight, long lingerUs, long maxBodyBytesInFlight, long maxDeadlineUs) {}

    private final EventLoop loop;
    private final Network network;
    private final DescriptorBudget descriptors;
    private final QueryParser queryParser;
    private final DecisionDriver driver;
    private final Limits limits;
    private final ClientConnections clients = new ClientConnections();
    /** When the first slow request may be closed, while no other gives way; null while none has to. */
    private EventLoop.Timer slowClientTimer;

    private long bodyBytesInFlight;
    private boolean isDraining;
    /** What can't be answered by then is not admitted. */
    private long admitUntilUs = Long.MAX_VALUE;

    private boolean isReady = true;
    /** The policy by which lookups are admitted; null where it never changes. */
    private PolicyIntegration policy;

    ClientAcceptor(
            EventLoop loop,
            Network network,
            DescriptorBudget descriptors,
            QueryParser queryParser,
            DecisionDriver driver,
            Limits limits) {
        this.loop = loop;
        this.network = network;
        this.descriptors = descriptors;
        this.queryParser = queryParser;
        this.driver = driver;
        this.limits = limits;
    }

    // ---- Accepting. ----

    @Override
    public Connection.Listener newListener() {
        return new ClientConnection(this);
    }

    @Override
    public void accepted(Connection connection, Connection.Listener listener) {
        accepted(connection, listener, loop.nowUs(), false);
    }

    /**
     * @param acceptedAtUs its first request has its time from then on
     * @param hasSentBytes what it asks has waited for us since then, so that much less of its time is left
     */
    void accepted(
            Connection connection,
            Connection.Listener listener,
            long acceptedAtUs,
            boolean hasSentBytes) {
        descriptors.clientOpened();
        ClientConnection client = (ClientConnection) listener;
        client.attach(connection, hasSentBytes ? acceptedAtUs : Long.MAX_VALUE);
        clients.opened(client);
        freeDescriptor();
        clients.markSilent(client);
        client.awaitRequest(acceptedAtUs);
    }

    private void freeDescriptor() {
        if (!descriptors.hasForClient() && !closeIdle() && slowClientTimer == null) {
            Long sinceUs = clients.firstSendingSinceUs();
            if (sinceUs != null) {
                slowClientTimer = loop.schedule(sinceUs + limits.lingerUs(), () -> {
                    slowClientTimer = null;
                    freeDescriptor();
                });
            }
        }
    }

    /** Danger: accepting without a descriptor to spare fails again at once, and spins. */
    @Override
    public boolean canAccept() {
        return descriptors.hasForClient();
    }

    @Override
    public void acceptFailed(Throwable cause) {
        LOG.logFailure(Level.WARNING, "accept_failed", cause);
        loop.schedule(loop.nowUs() + limits.lingerUs(), () -> network.accept(this));
    }

    /** Closes one client connection, if there is one that may give way. @return whether one was closed */
    boolean closeIdle() {
        int clientsBefore = clients.size();
        whileReadsPaused(() -> clients.closeOneIdle(loop.nowUs() - limits.lingerUs()));
        return clients.size() < clientsBefore;
    }

    void whileReadsPaused(Runnable task) {
        network.whileReadsPaused(task);
    }

    // ---- Requests. ----

    void markBusy(ClientConnection client) {
        clients.markBusy(client);
    }

    void markIdle(ClientConnection client) {
        if (clients.markIdle(client)) {
            loop.execute(this::freeDescriptor);
            if (isDraining) {
                whileReadsPaused(() -> drain(client));
            }
        }
    }

    /** A part of a request has come. */
    void requestStarted(ClientConnection client) {
        clients.requestStarted(client, loop.nowUs());
    }

    /** It is complete, or nothing more is read of it. */
    void requestReceived(ClientConnection client) {
        clients.requestReceived(client);
    }

    void clientClosed(ClientConnection client) {
        clients.closed(client);
        descriptors.clientClosed();
        loop.execute(() -> network.accept(this));
    }

    /**
     * Between the two times that the protocol gives: after that, a connection with nothing in flight is
     * closed.
     */
    EventLoop.Timer scheduleRequestTimeout(long sinceUs, Runnable task) {
        return loop.schedule(
                sinceUs
                        + (3 * ProtocolLimits.MIN_CLIENT_IDLE_US
                                        + ProtocolLimits.MAX_CLIENT_WAIT_US)
                                / 4,
                task);
    }

    /** What has been read, and waits for the event loop, has been processed by then. */
    EventLoop.Timer scheduleAfterLinger(Runnable task) {
        return loop.schedule(loop.nowUs() + limits.lingerUs(), task);
    }

    long nowUs() {
        return loop.nowUs();
    }

    void cancel(EventLoop.Timer timer) {
        loop.cancel(timer);
    }

    /** It has had its last response; if it does not close the connection itself, we do. */
    void closeAfterLinger(ClientConnection client) {
        clients.markClosing(client);
        closeAfterLinger(client, loop.nowUs() + limits.maxDeadlineUs());
    }

    private void closeAfterLinger(ClientConnection client, long deadlineUs) {
        loop.schedule(loop.nowUs() + limits.lingerUs(), () -> {
            if (client.connection().isIdle() || loop.nowUs() >= deadlineUs) {
                client.connection().close(CloseReason.COMPLETED);
            } else {
                closeAfterLinger(client, deadlineUs);
            }
        });
    }

    void resumeReadingSoon(ClientConnection client) {
        loop.execute(() -> {
            if (!client.connection().isClosed()) {
                client.connection().resumeReading();
            }
        });
    }

    /** Whether the next response is the last one on its connection. */
    boolean closesAfterResponse() {
        return isDraining || descriptors.hasTooManyIdle(clients.idleCount());
    }

    /** Whether clients may be sent here. */
    boolean isReady() {
        return isReady && (policy == null || policy.unavailableReason().isEmpty());
    }

    /** From now on lookups are admitted by the policy in force, or not at all. */
    void setPolicy(PolicyIntegration policy) {
        this.policy = policy;
    }

    /** From now on clients are sent elsewhere; those that are here are served. */
    void markNotReady() {
        setReady(false);
    }

    void setReady(boolean isReady) {
        this.isReady = isReady;
    }

    /**
     * @param requestedAtUs when its client has sent it, as far as that is known
     * @throws MessageRejectedException where it can't be admitted, with the status that says why
     */
    Query parse(
            Map<String, String> headers,
            JsonReader body,
            ClientConnection client,
            long requestedAtUs)
            throws MessageRejectedException {
        Map<String, LookupClass> currentClasses = policy == null ? null : policy.lookupClasses();
        Query query = queryParser.parse(
                headers, body, client, Math.min(requestedAtUs, loop.nowUs()), currentClasses);
        if (driver.isKnownCallId(query.callId)) {
            throw new MessageRejectedException(409, "x-call-id: one of that id is or was in hand");
        }
        return query;
    }

    /** Danger: bodies that many clients send at once, each in full size, would fill the heap. */
    boolean reserveBodyBytes(int bytes) {
        bodyBytesInFlight += bytes;
        return bodyBytesInFlight <= limits.maxBodyBytesInFlight();
    }

    /** The limit of lookups and parts in flight has not been reached, nor is there too little time. */
    boolean hasCapacity(Query query) {
        return driver.inFlight() < (policy == null ? limits.maxInFlight() : policy.maxInFlight())
                && query.clientDeadlineUs <= admitUntilUs;
    }

    void admit(Query query) {
        driver.admit(query);
    }

    void clientGone(Query query) {
        driver.clientGone(query);
    }

    // ---- The stop. ----

    void admitUntilUs(long untilUs) {
        admitUntilUs = untilUs;
    }

    /**
     * Clients with nothing in flight are told that nothing more is taken; what crosses that goes elsewhere.
     */
    void stopAccepting() {
        isDraining = true;
        network.stopAccepting();
        whileReadsPaused(() -> {
            clients.idle().forEach(this::drain);
            clients.silent().forEach(this::drain);
        });
    }

    /** What has been read and waits for the event loop is answered first, as the last on its connection. */
    private void drain(ClientConnection client) {
        if (!client.connection().hasUnprocessedRead()) {
            client.drain();
        }
    }

    /** Clients are accepted again, at that address. */
    void resumeAccepting(InetSocketAddress address) throws IOException {
        network.listen(address);
        isDraining = false;
        network.accept(this);
    }

    int clients() {
        return clients.size();
    }

    boolean isEmpty() {
        return clients.size() == 0;
    }
}

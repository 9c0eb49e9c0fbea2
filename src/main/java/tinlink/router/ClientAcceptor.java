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
import java.util.HashMap;
import java.util.Map;
import java.util.logging.Level;

/**
 * Accepts client connections, admits their queries to the decision driver, and closes connections when
 * descriptors run short or the router stops. Confined to the event loop's thread.
 */
final class ClientAcceptor implements Network.AcceptHandler {
    private static final EventLog LOG = new EventLog("tinlink.clients");

    /**
     * The time within which a request has to be received and parsed. It lies between the protocol's minimum
     * idle time and its maximum client wait.
     */
    private static final long REQUEST_TIMEOUT_US =
            (3 * ProtocolLimits.MIN_CLIENT_IDLE_US + ProtocolLimits.MAX_CLIENT_WAIT_US) / 4;

    /** The number of bytes of bodies that one turn of the event loop parses. */
    private static final int PARSED_BYTES_PER_TURN = ProtocolLimits.MAX_BODY_BYTES / 4;

    /**
     * @param maxInFlight limit of lookups and parts in flight if no policy sets one
     * @param lingerUs time that the peer has to react to the end of the stream before a close
     * @param requestHeapBytes limit of the heap that the requests of all clients retain together
     * @param maxDeadlineUs longest time that a client waits for an answer
     */
    record Limits(int maxInFlight, long lingerUs, long requestHeapBytes, long maxDeadlineUs) {}

    private final EventLoop loop;
    private final Network network;
    private final DescriptorBudget descriptors;
    private final QueryParser queryParser;
    private final DecisionDriver driver;
    private final Limits limits;
    private final ClientConnections clients = new ClientConnections();
    /** Fires when the oldest incomplete request may be closed; null if no descriptor is needed. */
    private EventLoop.Timer slowClientTimer;

    /**
     * The timers that close connections after their last response. A timer is cancelled when its connection
     * is closed: it would keep the connection in memory, and clients that come back at full speed after each
     * rejection would fill the heap with them.
     */
    private final Map<ClientConnection, EventLoop.Timer> lingerTimers = new HashMap<>();

    private final RequestMemory requestMemory;
    private final ParseQueue parseQueue;

    private boolean draining;
    /** Lookups whose deadline is later than this are not admitted. */
    private long admitUntilUs = Long.MAX_VALUE;

    private boolean ready = true;
    /** The policy that limits admission; null if the configured limits apply. */
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
        requestMemory =
                new RequestMemory(limits.requestHeapBytes(), limits.lingerUs(), loop::nowUs);
        parseQueue = new ParseQueue(
                PARSED_BYTES_PER_TURN, loop::nowUs, task -> loop.schedule(loop.nowUs() + 1, task));
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
     * @param acceptedAtUs when the timeout of the first request starts
     * @param hasSentBytes whether the client has sent bytes that the router has not read yet; its deadline
     *     then counts from {@code acceptedAtUs}
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

    /** Accepting without a free descriptor would fail at once and be repeated in a busy loop. */
    @Override
    public boolean canAccept() {
        return descriptors.hasForClient();
    }

    @Override
    public void acceptFailed(Throwable cause) {
        LOG.logFailure(Level.WARNING, "accept_failed", cause);
        loop.schedule(loop.nowUs() + limits.lingerUs(), () -> network.accept(this));
    }

    /** Closes one client connection with nothing in flight, if any. @return whether one was closed */
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
            if (draining) {
                whileReadsPaused(() -> drain(client));
            }
        }
    }

    /** The beginning of a request has arrived. */
    void requestStarted(ClientConnection client) {
        clients.requestStarted(client, loop.nowUs());
    }

    /** The request is complete, or no more of it will be read. */
    void requestReceived(ClientConnection client) {
        clients.requestReceived(client);
    }

    void clientClosed(ClientConnection client) {
        clients.closed(client);
        loop.cancel(lingerTimers.remove(client));
        descriptors.clientClosed();
        loop.execute(() -> network.accept(this));
    }

    /** Schedules the timeout of a connection that waits for a complete request. */
    EventLoop.Timer scheduleRequestTimeout(long sinceUs, Runnable task) {
        return loop.schedule(sinceUs + REQUEST_TIMEOUT_US, task);
    }

    /**
     * Schedules the timeout of a complete request that waits to be parsed: its client's own time, within the
     * timeout for a request.
     */
    EventLoop.Timer scheduleParseTimeout(long sinceUs, long budgetUs, Runnable task) {
        return loop.schedule(sinceUs + Math.min(budgetUs, REQUEST_TIMEOUT_US), task);
    }

    /** Runs the task after bytes that were read already have been processed by the event loop. */
    EventLoop.Timer scheduleAfterLinger(Runnable task) {
        return loop.schedule(loop.nowUs() + limits.lingerUs(), task);
    }

    long nowUs() {
        return loop.nowUs();
    }

    void cancel(EventLoop.Timer timer) {
        loop.cancel(timer);
    }

    /** Closes the connection after its last response, unless the client closes it first. */
    void closeAfterLinger(ClientConnection client) {
        clients.markClosing(client);
        closeAfterLinger(client, loop.nowUs() + limits.maxDeadlineUs());
    }

    private void closeAfterLinger(ClientConnection client, long deadlineUs) {
        if (client.connection().isClosed()) {
            return;
        }
        EventLoop.Timer timer = loop.schedule(loop.nowUs() + limits.lingerUs(), () -> {
            if (client.connection().isIdle() || loop.nowUs() >= deadlineUs) {
                client.connection().close(CloseReason.COMPLETED);
            } else {
                closeAfterLinger(client, deadlineUs);
            }
        });
        lingerTimers.put(client, timer);
    }

    void resumeReadingSoon(ClientConnection client) {
        loop.execute(() -> {
            if (!client.connection().isClosed()) {
                client.connection().resumeReading();
            }
        });
    }

    /** Whether a connection is closed after its next response. */
    boolean closesAfterResponse() {
        return draining || descriptors.hasTooManyIdle(clients.idleCount());
    }

    /** Whether the readiness check reports this router as available to clients. */
    boolean isReady() {
        return ready && (policy == null || policy.unavailableReason().isEmpty());
    }

    /** Admits lookups only by the policy in force from now on. */
    void setPolicy(PolicyIntegration policy) {
        this.policy = policy;
    }

    /** Fails the readiness check from now on; connected clients are still served. */
    void markNotReady() {
        setReady(false);
    }

    void setReady(boolean ready) {
        this.ready = ready;
    }

    /**
     * @param requestedAtUs when the client sent the request, if known; a later time than now counts as now
     * @throws MessageRejectedException if the request is invalid, with the HTTP status to answer
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

    /** The complete requests whose bodies wait to be parsed. */
    ParseQueue parseQueue() {
        return parseQueue;
    }

    /** Opens an account of the heap that the requests of one connection retain. */
    RequestMemory.Account openMemoryAccount(RequestMemory.Owner owner) {
        return requestMemory.open(owner);
    }

    /** Whether the limit of lookups and parts in flight and the time until the stop allow the query. */
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

    // ---- Stopping. ----

    void admitUntilUs(long untilUs) {
        admitUntilUs = untilUs;
    }

    /**
     * Stops accepting and ends the connections with nothing in flight. A request that crosses the end of the
     * stream stays unread, and its client retries it at another router.
     */
    void stopAccepting() {
        draining = true;
        network.stopAccepting();
        whileReadsPaused(() -> {
            clients.idle().forEach(this::drain);
            clients.silent().forEach(this::drain);
        });
    }

    /** Bytes that were read but not processed are answered first, as the last request of the connection. */
    private void drain(ClientConnection client) {
        if (!client.connection().hasUnprocessedRead()) {
            client.drain();
        }
    }

    /** Listens on the address and accepts clients again. */
    void resumeAccepting(InetSocketAddress address) throws IOException {
        network.listen(address);
        draining = false;
        network.accept(this);
    }

    int clients() {
        return clients.size();
    }

    boolean isEmpty() {
        return clients.size() == 0;
    }
}

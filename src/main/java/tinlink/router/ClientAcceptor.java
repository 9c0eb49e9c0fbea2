package tinlink.router;

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
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.logging.Level;

/** Accepts client connections and admits their queries to the decision driver. */
final class ClientAcceptor implements Network.AcceptHandler {
    private static final EventLog LOG = new EventLog("tinlink.clients");
    private final EventLoop loop;
    private final Network network;
    private final DescriptorBudget descriptors;
    private final QueryParser queryParser;
    private final DecisionDriver driver;
    private final int maxInFlight;
    /** How long the other side may take to see a close. */
    private final long lingerUs;

    private final long maxBodyBytesInFlight;
    /** No client waits for longer than this. */
    private final long maxDeadlineUs;
    /** Open client connections; each leaves as it closes. */
    private final Set<ClientConnection> clients = new LinkedHashSet<>();
    /**
     * Those that have had their last answer, that have said nothing yet, that have nothing in hand
     * now.
     */
    private final Set<ClientConnection> closingClients = new LinkedHashSet<>();

    private final Set<ClientConnection> silentClients = new LinkedHashSet<>();
    private final Set<ClientConnection> idleClients = new LinkedHashSet<>();
    /**
     * Those of whose request a part has come, and since when; each leaves with the rest or its
     * answer.
     */
    private final Map<ClientConnection, Long> sendingClients = new LinkedHashMap<>();
    /** When the first of them may be closed, while no other gives way; null while none has to. */
    private EventLoop.Timer slowClientTimer;
    /** Bytes of bodies that are being read. */
    private long bodyBytesInFlight;

    private boolean isDraining;
    /** What can't be answered by then is not taken. */
    private long admitUntilUs = Long.MAX_VALUE;

    private boolean ready = true;
    /** The policy by which lookups are admitted; null where it never changes. */
    private PolicyIntegration policy;

    ClientAcceptor(
            EventLoop loop,
            Network network,
            DescriptorBudget descriptors,
            QueryParser queryParser,
            DecisionDriver driver,
            int maxInFlight,
            long lingerUs,
            long maxBodyBytesInFlight,
            long maxDeadlineUs) {
        this.loop = loop;
        this.network = network;
        this.descriptors = descriptors;
        this.queryParser = queryParser;
        this.driver = driver;
        this.maxInFlight = maxInFlight;
        this.lingerUs = lingerUs;
        this.maxBodyBytesInFlight = maxBodyBytesInFlight;
        this.maxDeadlineUs = maxDeadlineUs;
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
     * @param acceptedAtUs when it was accepted; its first request has its time from then on
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
        clients.add(client);
        freeDescriptor();
        silentClients.add(client);
        client.awaitRequest(acceptedAtUs);
    }

    private void freeDescriptor() {
        if (!descriptors.hasForClient()
                && !closeIdle()
                && !sendingClients.isEmpty()
                && slowClientTimer == null) {
            slowClientTimer =
                    loop.schedule(sendingClients.values().iterator().next() + lingerUs, () -> {
                        slowClientTimer = null;
                        freeDescriptor();
                    });
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
        loop.schedule(loop.nowUs() + lingerUs, () -> network.accept(this));
    }

    /**
     * Closes one client connection that nothing is in flight on, which its client then opens anew.
     * Danger: clients that connect by the hundreds and say nothing would push out the usual ones;
     * they go first, right after those that are over but for their end. Last go those that have
     * long been sending.
     */
    boolean closeIdle() {
        int clientsBefore = clients.size();
        whileReadsPaused(this::closeOneIdle);
        return clients.size() < clientsBefore;
    }

    void whileReadsPaused(Runnable task) {
        network.whileReadsPaused(task);
    }

    private void closeOneIdle() {
        for (Set<ClientConnection> candidates :
                List.of(closingClients, silentClients, idleClients)) {
            for (ClientConnection client : candidates) {
                if (candidates == closingClients
                        ? client.connection().isIdle()
                        : !client.connection().hasUnprocessedRead()) {
                    client.connection().close(CloseReason.IDLE_TIMEOUT);
                    return;
                }
            }
        }
        // Danger: clients that send byte by byte would hold all connections, and the usual ones
        // find none. A
        // request that is sent at all has come whole by now.
        for (Map.Entry<ClientConnection, Long> sending : sendingClients.entrySet()) {
            ClientConnection client = sending.getKey();
            if (sending.getValue() + lingerUs > loop.nowUs()) {
                break;
            }
            if (!client.connection().hasUnprocessedRead()) {
                client.connection().close(CloseReason.IDLE_TIMEOUT);
                return;
            }
        }
    }

    // ---- Requests. ----

    void markBusy(ClientConnection client) {
        idleClients.remove(client);
        silentClients.remove(client);
    }

    void markIdle(ClientConnection client) {
        sendingClients.remove(client);
        if (clients.contains(client)) {
            idleClients.add(client);
            loop.execute(this::freeDescriptor);
            if (isDraining) {
                whileReadsPaused(() -> drain(client));
            }
        }
    }

    /** A part of a request has come. */
    void requestStarted(ClientConnection client) {
        if (clients.contains(client)) {
            sendingClients.putIfAbsent(client, loop.nowUs());
        }
    }

    /** It has come whole, or nothing more is read of it. */
    void requestReceived(ClientConnection client) {
        sendingClients.remove(client);
    }

    void clientClosed(ClientConnection client) {
        clients.remove(client);
        closingClients.remove(client);
        sendingClients.remove(client);
        markBusy(client);
        descriptors.clientClosed();
        loop.execute(() -> network.accept(this));
    }

    /**
     * Between the two times that the protocol gives: after that, a connection with nothing in hand
     * is closed.
     */
    EventLoop.Timer scheduleRequestTimeout(long sinceUs, Runnable task) {
        return loop.schedule(
                sinceUs
                        + (3 * ProtocolLimits.MIN_CLIENT_IDLE_US
                                        + ProtocolLimits.MAX_CLIENT_WAIT_US)
                                / 4,
                task);
    }

    /** What has been read, and waits for the loop, has been taken by then. */
    EventLoop.Timer scheduleAfterLinger(Runnable task) {
        return loop.schedule(loop.nowUs() + lingerUs, task);
    }

    long nowUs() {
        return loop.nowUs();
    }

    void cancel(EventLoop.Timer timer) {
        loop.cancel(timer);
    }

    /** It has had its last answer; if it does not end the connection itself, we do. */
    void closeAfterLinger(ClientConnection client) {
        markBusy(client);
        sendingClients.remove(client);
        closingClients.add(client);
        closeAfterLinger(client, loop.nowUs() + maxDeadlineUs);
    }

    private void closeAfterLinger(ClientConnection client, long deadlineUs) {
        loop.schedule(loop.nowUs() + lingerUs, () -> {
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

    /** The answer is the last one on its connection. */
    boolean closesAfterResponse() {
        return isDraining || descriptors.hasTooManyIdle(idleClients.size());
    }

    /** Whether clients may be sent here. */
    boolean isReady() {
        return ready && (policy == null || policy.unavailableReason().isEmpty());
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
        ready = isReady;
    }

    /** @param requestedAtUs when its client has asked, as far as that is known */
    Query parse(
            Map<String, String> headers,
            JsonReader body,
            ClientConnection client,
            long requestedAtUs)
            throws MessageRejectedException {
        Query query = queryParser.parse(
                headers,
                body,
                client,
                Math.min(requestedAtUs, loop.nowUs()),
                policy == null ? null : policy.lookupClasses());
        if (driver.isKnownCallId(query.callId)) {
            throw new MessageRejectedException(409, "x-call-id: one of that id is or was in hand");
        }
        return query;
    }

    /** Danger: bodies that many clients send at once, each in full size, would fill the heap. */
    boolean reserveBodyBytes(int bytes) {
        bodyBytesInFlight += bytes;
        return bodyBytesInFlight <= maxBodyBytesInFlight;
    }

    /**
     * The settings' number of lookups and parts in hand has not been reached, nor is there too
     * little time.
     */
    boolean hasCapacity(Query query) {
        return driver.inFlight() < (policy == null ? maxInFlight : policy.maxInFlight())
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
     * Clients with nothing in hand are told that nothing more comes; what crosses that goes
     * elsewhere.
     */
    void stopAccepting() {
        isDraining = true;
        network.stopAccepting();
        whileReadsPaused(() -> {
            List.copyOf(idleClients).forEach(this::drain);
            List.copyOf(silentClients).forEach(this::drain);
        });
    }

    /**
     * What has been read and waits for the loop is answered first, as the last on its connection.
     */
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
        return clients.isEmpty();
    }
}

package tinlink.cluster.transport;

import tinlink.cluster.membership.Incarnation;
import tinlink.net.CloseReason;
import tinlink.net.Connection;
import tinlink.net.Counters;
import tinlink.net.EventLog;
import tinlink.net.EventLoop;
import tinlink.net.MessageRejectedException;
import tinlink.net.Network;
import tinlink.securechannel.KeyRing;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.security.SecureRandom;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.logging.Level;

/**
 * Authenticated connections to the other routers of a cluster. A connection is opened when there is a message
 * to send, and closed when it has been idle for a while. A message may be lost, with its connection or when a
 * queue is full; senders repeat the messages that matter. Confined to the event loop's thread.
 */
public final class PeerConnections implements Network.AcceptHandler {
    private static final EventLog LOG = new EventLog("tinlink.cluster");
    /** Default bound on inbound connections that are not authenticated yet. */
    public static final int MAX_UNAUTHENTICATED_CONNECTIONS = 16;
    /** Bound on messages that wait for a connection to be authenticated. */
    private static final int MAX_QUEUED_MESSAGES = 64;
    /** Bound on the bytes of these messages, and on the bytes that a connection has not written yet. */
    private static final long MAX_QUEUED_BYTES = 4L << 20;

    /** The cluster that this router belongs to, and this process of the router. */
    public record Self(String cluster, Incarnation incarnation) {}

    /**
     * Timeouts of connections, in microseconds.
     *
     * @param handshakeUs for each message of a handshake, and later for the rest of a frame that has begun
     * @param idleUs without a sent message, after which an outbound connection is closed
     * @param retryDelayUs until an address is tried again, or accepting after it failed
     */
    public record Timeouts(long handshakeUs, long idleUs, long retryDelayUs) {}

    /**
     * Bounds on open connections.
     *
     * @param connections outbound, and as many inbound and authenticated
     * @param unauthenticated inbound and not authenticated yet; the oldest is closed when there are more
     */
    public record Limits(int connections, int unauthenticated) {}

    /** Handles the messages of other routers. */
    public interface MessageHandler {
        /**
         * Handles a message that was received.
         *
         * @param sender has proved that it has the key, but not that it is the only process of its router
         * @throws MessageRejectedException if the message is malformed; its connection is closed
         */
        void onMessage(Incarnation sender, byte type, ByteBuffer body)
                throws MessageRejectedException;
    }

    // Queued messages are never compared, and their bytes are sent unchanged.
    @SuppressWarnings("ArrayRecordComponent")
    private record QueuedMessage(byte type, byte[] body) {}

    /** An address that messages are sent to. */
    private static final class Destination {
        /** Null if there is no connection. */
        PeerSession session;

        boolean authenticated;
        /** Emptied when the connection is authenticated or fails. */
        final ArrayDeque<QueuedMessage> queue = new ArrayDeque<>();

        long queuedBytes;
        /** No connection is opened before this time. */
        long retryAtUs;
    }

    final EventLoop loop;
    final Self self;
    final Timeouts timeouts;
    final Counters counters = new Counters();
    final TrafficCounters traffic = new TrafficCounters();
    KeyRing keys;
    private final Network network;
    private final MessageHandler handler;
    private final Limits limits;
    private final SecureRandom secureRandom = new SecureRandom();
    private Network.ListeningSocket listeningSocket;
    /** By address, least recently used first; bounded by {@link Limits#connections}. */
    private final Map<String, Destination> destinations = new LinkedHashMap<>(16, 0.75f, true);
    /** Oldest first; a session leaves when it is authenticated or closed. */
    private final Set<PeerSession> unauthenticatedInbound = new LinkedHashSet<>();
    /** Oldest first; a session leaves when it is closed. */
    private final Set<PeerSession> authenticatedInbound = new LinkedHashSet<>();

    /**
     * No connection is accepted before {@link #listen}.
     *
     * @param handler handles the messages of authenticated connections
     */
    public PeerConnections(
            EventLoop loop,
            Network network,
            Self self,
            KeyRing keys,
            Timeouts timeouts,
            Limits limits,
            MessageHandler handler) {
        this.loop = loop;
        this.network = network;
        this.self = self;
        this.keys = keys;
        this.timeouts = timeouts;
        this.limits = limits;
        this.handler = handler;
    }

    /** Starts to accept connections at an address. */
    public void listen(InetSocketAddress address) throws IOException {
        listeningSocket = network.listenAt(address);
        listeningSocket.accept(this);
        loop.schedule(loop.nowUs() + timeouts.idleUs(), this::closeIdleSessions);
    }

    /** The address at which connections are accepted. */
    public InetSocketAddress address() throws IOException {
        return listeningSocket.address();
    }

    /** Counters of events on connections. */
    public Counters counters() {
        return counters;
    }

    /** Messages and bytes by kind. */
    public TrafficCounters traffic() {
        return traffic;
    }

    /** Number of open connections in both directions, including those that are not authenticated yet. */
    public int connectionCount() {
        int outbound = (int) destinations.values().stream()
                .filter(destination -> destination.session != null)
                .count();
        return outbound + authenticatedInbound.size() + unauthenticatedInbound.size();
    }

    /** Sets the keys for new connections; open connections stay open. */
    public void setKeys(KeyRing newKeys) {
        keys = newKeys;
    }

    byte[] newNonce() {
        byte[] nonce = new byte[PeerProtocol.NONCE_BYTES];
        secureRandom.nextBytes(nonce);
        return nonce;
    }

    /** Sends a message, or queues it until the connection is authenticated. The message may be lost. */
    public void send(String address, byte type, byte[] body) {
        Destination destination = destinations.get(address);
        if (destination == null) {
            evictLeastRecentlyUsed();
            destination = new Destination();
            destinations.put(address, destination);
        }
        if (destination.authenticated) {
            // A router that hangs reads nothing, and everything sent to it would pile up in memory.
            if (destination.session.outboundBacklogBytes() > MAX_QUEUED_BYTES) {
                counters.increment("peers_not_sent");
                destination.session.close(CloseReason.UNRESPONSIVE);
                return;
            }
            destination.session.lastUsedUs = loop.nowUs();
            destination.session.send(type, body);
            return;
        }
        if (destination.session == null && loop.nowUs() < destination.retryAtUs) {
            counters.increment("peers_not_sent");
            return;
        }
        destination.queue.add(new QueuedMessage(type, body));
        destination.queuedBytes += body.length;
        while (destination.queue.size() > MAX_QUEUED_MESSAGES
                || destination.queuedBytes > MAX_QUEUED_BYTES) {
            destination.queuedBytes -= destination.queue.poll().body().length;
            counters.increment("peers_not_sent");
        }
        if (destination.session == null) {
            connect(address, destination);
        }
    }

    private void connect(String address, Destination destination) {
        PeerSession session = new PeerSession(this, address);
        destination.session = session;
        try {
            session.attach(network.connect(parseAddress(address), session), timeouts.handshakeUs());
        } catch (IOException | RuntimeException e) {
            LOG.logFailure(Level.FINE, "peer_connect_failed", e, "address", address);
            connectionFailed(destination);
        }
    }

    private static InetSocketAddress parseAddress(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    private void connectionFailed(Destination destination) {
        destination.session = null;
        destination.authenticated = false;
        destination.retryAtUs = loop.nowUs() + timeouts.retryDelayUs();
        for (int i = 0; i < destination.queue.size(); i++) {
            counters.increment("peers_not_sent");
        }
        destination.queue.clear();
        destination.queuedBytes = 0;
    }

    /** Makes room for a destination, since a cluster larger than planned would use up all descriptors. */
    private void evictLeastRecentlyUsed() {
        while (destinations.size() >= limits.connections()) {
            Iterator<Destination> iterator = destinations.values().iterator();
            Destination destination = iterator.next();
            iterator.remove();
            if (destination.session != null) {
                destination.session.close(CloseReason.IDLE_TIMEOUT);
            }
        }
    }

    private void closeIdleSessions() {
        for (Destination destination : Set.copyOf(destinations.values())) {
            if (destination.authenticated
                    && loop.nowUs() - destination.session.lastUsedUs > timeouts.idleUs()) {
                destination.session.close(CloseReason.IDLE_TIMEOUT);
            }
        }
        loop.schedule(loop.nowUs() + timeouts.idleUs(), this::closeIdleSessions);
    }

    /** An outbound session was authenticated. */
    void outboundAuthenticated(PeerSession session) {
        Destination destination = destinations.get(session.dialedAddress);
        if (destination == null || destination.session != session) {
            session.close(CloseReason.COMPLETED);
            return;
        }
        destination.authenticated = true;
        session.lastUsedUs = loop.nowUs();
        counters.increment("peers_links_up");
        while (!destination.queue.isEmpty()) {
            QueuedMessage queued = destination.queue.poll();
            session.send(queued.type(), queued.body());
        }
        destination.queuedBytes = 0;
    }

    void sessionClosed(PeerSession session) {
        if (session.dialedAddress == null) {
            unauthenticatedInbound.remove(session);
            authenticatedInbound.remove(session);
            return;
        }
        Destination destination = destinations.get(session.dialedAddress);
        if (destination != null && destination.session == session) {
            boolean wasAuthenticated = destination.authenticated;
            connectionFailed(destination);
            // The router answered a moment ago, so the next connection needs no delay.
            destination.retryAtUs = wasAuthenticated ? 0 : destination.retryAtUs;
        }
    }

    /** An inbound session was authenticated. */
    void inboundAuthenticated(PeerSession session) {
        unauthenticatedInbound.remove(session);
        authenticatedInbound.add(session);
        if (authenticatedInbound.size() > limits.connections()) {
            authenticatedInbound.iterator().next().close(CloseReason.IDLE_TIMEOUT);
        }
    }

    void dispatch(Incarnation sender, byte type, ByteBuffer body) throws MessageRejectedException {
        handler.onMessage(sender, type, body);
    }

    @Override
    public Connection.Listener newListener() {
        return new PeerSession(this, null);
    }

    /** Closes the oldest unauthenticated session over the limit: such sessions could use up all room. */
    @Override
    public void accepted(Connection connection, Connection.Listener listener) {
        PeerSession session = (PeerSession) listener;
        session.attach(connection, timeouts.handshakeUs());
        unauthenticatedInbound.add(session);
        if (unauthenticatedInbound.size() > limits.unauthenticated()) {
            unauthenticatedInbound.iterator().next().close(CloseReason.COMPLETED);
        }
    }

    @Override
    public boolean canAccept() {
        return true;
    }

    @Override
    public void acceptFailed(Throwable failure) {
        LOG.logFailure(Level.WARNING, "accept_failed", failure);
        loop.schedule(loop.nowUs() + timeouts.retryDelayUs(), () -> listeningSocket.accept(this));
    }

    /** Closes all connections. */
    public void close() {
        listeningSocket.close();
        Set.copyOf(authenticatedInbound).forEach(session -> session.close(CloseReason.COMPLETED));
        Set.copyOf(unauthenticatedInbound).forEach(session -> session.close(CloseReason.COMPLETED));
        for (Destination destination : Set.copyOf(destinations.values())) {
            if (destination.session != null) {
                destination.session.close(CloseReason.COMPLETED);
            }
        }
    }
}

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
 * Authenticated connections with other routers of a cluster, opened when there is something to send and
 * closed when there has been nothing for a while. A message may get lost, with its connection or where too
 * much waits; whoever sends here repeats what matters. Event loop's thread only.
 */
public final class PeerConnections implements Network.AcceptHandler {
    private static final EventLog LOG = new EventLog("tinlink.cluster");
    /** Connections that have not authenticated themselves, at a time, where nothing else is configured. */
    public static final int MAX_UNAUTHENTICATED_CONNECTIONS = 16;
    /** What may wait for one connection to be authenticated. */
    private static final int MAX_QUEUED_MESSAGES = 64;

    private static final long MAX_QUEUED_BYTES = 4L << 20;

    /** Which cluster this router belongs to, and which process of it this is. */
    public record Self(String cluster, Incarnation incarnation) {}

    /**
     * The times of connections, in microseconds.
     *
     * @param idleUs a connection without a message for so long is closed
     * @param retryDelayUs an address where nobody answered is not tried again for so long
     */
    public record Timeouts(long handshakeUs, long idleUs, long retryDelayUs) {}

    /**
     * Bounds.
     *
     * @param connections out, and as many in
     * @param unauthenticated inbound ones at a time; the oldest is closed for a further one
     */
    public record Limits(int connections, int unauthenticated) {}

    /** Is given what other routers send. */
    public interface MessageHandler {
        /**
         * A message has come.
         *
         * @param sender authenticated as one that has the key; that it is the only process of its
         *     router is not
         * @throws MessageRejectedException where the message is malformed; its connection is closed
         */
        void onMessage(Incarnation sender, byte type, ByteBuffer body)
                throws MessageRejectedException;
    }

    @SuppressWarnings(
            "ArrayRecordComponent") // Waits are never compared; the bytes go out as they are.
    private record QueuedMessage(byte type, byte[] body) {}

    /** One address that is sent to. */
    private static final class Destination {
        PeerSession session;
        boolean isUp;
        /** Emptied as the connection is authenticated, or fails. */
        final ArrayDeque<QueuedMessage> queue = new ArrayDeque<>();

        long queuedBytes;
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
    private Network.ListeningSocket listening;
    /** Least used first, bounded. */
    private final Map<String, Destination> destinations = new LinkedHashMap<>(16, 0.75f, true);
    /** Inbound ones, before and after they have authenticated themselves; each leaves as it is closed. */
    private final Set<PeerSession> unauthenticatedConnections = new LinkedHashSet<>();

    private final Set<PeerSession> inboundSessions = new LinkedHashSet<>();

    /**
     * Accepts none yet; begins with {@link #listen}.
     *
     * @param handler is given messages of authenticated connections
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

    /** Accepts connections there from now on. */
    public void listen(InetSocketAddress address) throws IOException {
        listening = network.listenAt(address);
        listening.accept(this);
        loop.schedule(loop.nowUs() + timeouts.idleUs(), this::closeIdleSessions);
    }

    /** Where it listens. */
    public InetSocketAddress address() throws IOException {
        return listening.address();
    }

    /** What has happened on connections. */
    public Counters counters() {
        return counters;
    }

    /** Messages and bytes by kind. */
    public TrafficCounters traffic() {
        return traffic;
    }

    /** Open at the moment, either way, those counted that have not authenticated themselves yet. */
    public int connectionCount() {
        int outbound = (int) destinations.values().stream()
                .filter(destination -> destination.session != null)
                .count();
        return outbound + inboundSessions.size() + unauthenticatedConnections.size();
    }

    /** Uses these keys from now on; connections that are open stay. */
    public void setKeys(KeyRing newKeys) {
        keys = newKeys;
    }

    byte[] nonce() {
        byte[] nonce = new byte[PeerProtocol.NONCE_BYTES];
        secureRandom.nextBytes(nonce);
        return nonce;
    }

    /** Sends it there, or queues it until the connection is authenticated; it may get lost. */
    public void send(String address, byte type, byte[] body) {
        Destination destination = destinations.get(address);
        if (destination == null) {
            evictLeastRecentlyUsed();
            destination = new Destination();
            destinations.put(address, destination);
        }
        if (destination.isUp) {
            // Danger: a router that stands still reads nothing, and all that is sent to it would be
            // held here.
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
            session.attach(network.connect(address(address), session), timeouts.handshakeUs());
        } catch (IOException | RuntimeException e) {
            LOG.logFailure(Level.FINE, "peer_connect_failed", e, "address", address);
            connectionFailed(destination);
        }
    }

    private static InetSocketAddress address(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    private void connectionFailed(Destination destination) {
        destination.session = null;
        destination.isUp = false;
        destination.retryAtUs = loop.nowUs() + timeouts.retryDelayUs();
        for (int i = 0; i < destination.queue.size(); i++) {
            counters.increment("peers_not_sent");
        }
        destination.queue.clear();
        destination.queuedBytes = 0;
    }

    /**
     * Danger: a cluster larger than was meant would hold all descriptors; who was spoken to least
     * gives way.
     */
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
            if (destination.isUp
                    && loop.nowUs() - destination.session.lastUsedUs > timeouts.idleUs()) {
                destination.session.close(CloseReason.IDLE_TIMEOUT);
            }
        }
        loop.schedule(loop.nowUs() + timeouts.idleUs(), this::closeIdleSessions);
    }

    void opened(PeerSession session) {
        Destination destination = destinations.get(session.dialedAddress);
        if (destination == null || destination.session != session) {
            session.close(CloseReason.COMPLETED);
            return;
        }
        destination.isUp = true;
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
            unauthenticatedConnections.remove(session);
            inboundSessions.remove(session);
            return;
        }
        Destination destination = destinations.get(session.dialedAddress);
        if (destination != null && destination.session == session) {
            boolean wasUp = destination.isUp;
            connectionFailed(destination);
            destination.retryAtUs = wasUp
                    ? 0
                    : destination
                            .retryAtUs; // It was there a moment ago: called again as there is need.
        }
    }

    /** An inbound one. */
    void sessionAuthenticated(PeerSession session) {
        unauthenticatedConnections.remove(session);
        inboundSessions.add(session);
        if (inboundSessions.size() > limits.connections()) {
            inboundSessions.iterator().next().close(CloseReason.IDLE_TIMEOUT);
        }
    }

    void dispatch(Incarnation sender, byte type, ByteBuffer body) throws MessageRejectedException {
        handler.onMessage(sender, type, body);
    }

    @Override
    public Connection.Listener newListener() {
        return new PeerSession(this, null);
    }

    /**
     * Danger: connections that never prove themselves would hold all room; the oldest gives way.
     */
    @Override
    public void accepted(Connection link, Connection.Listener owner) {
        PeerSession session = (PeerSession) owner;
        session.attach(link, timeouts.handshakeUs());
        unauthenticatedConnections.add(session);
        if (unauthenticatedConnections.size() > limits.unauthenticated()) {
            unauthenticatedConnections.iterator().next().close(CloseReason.COMPLETED);
        }
    }

    @Override
    public boolean canAccept() {
        return true;
    }

    @Override
    public void acceptFailed(Throwable failure) {
        LOG.logFailure(Level.WARNING, "accept_failed", failure);
        loop.schedule(loop.nowUs() + timeouts.retryDelayUs(), () -> listening.accept(this));
    }

    /** Closes all connections. */
    public void close() {
        listening.close();
        Set.copyOf(inboundSessions).forEach(session -> session.close(CloseReason.COMPLETED));
        Set.copyOf(unauthenticatedConnections)
                .forEach(session -> session.close(CloseReason.COMPLETED));
        for (Destination destination : Set.copyOf(destinations.values())) {
            if (destination.session != null) {
                destination.session.close(CloseReason.COMPLETED);
            }
        }
    }
}

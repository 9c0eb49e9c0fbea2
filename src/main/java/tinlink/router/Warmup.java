package tinlink.router;

import tinlink.config.RouterConfig;
import tinlink.net.CloseReason;
import tinlink.net.Connection;
import tinlink.net.EventLoop;
import tinlink.net.EventLoopParticipant;
import tinlink.net.MessageRejectedException;
import tinlink.net.Network;
import tinlink.net.RingBuffer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * Runs lookups through all stages before the router is ready, with a coordinator of their own. The
 * clients and data nodes are simulated by this process and connect to the router's own listen address.
 * With a fraction of a CPU core, a JVM that has just started is so slow that the first clients would time
 * out before their requests are read.
 *
 * <p>Real clients reconnect before a restarted router has warmed up, and must not receive the made-up
 * answers of the simulated data nodes. Each connection of the warm-up therefore begins with a token that
 * nobody else knows. All other connections wait unread and are handed to the serving acceptor when the
 * warm-up ends.
 */
final class Warmup implements Network.AcceptHandler, EventLoopParticipant {
    /** First byte of the warm-up clients' token; no HTTP request begins with it. */
    private static final char CLIENT_TOKEN_MARK = 1;

    private final RouterConfig config;
    private final EventLoop loop;
    private final Network network;
    private final RequestPipeline servingPipeline;
    private final Runnable whenDone;
    private final RequestPipeline pipeline;
    private final ClientAcceptor acceptor;
    /** Prefix of the call ids of the warm-up's lookups. */
    private final String idPrefix;
    /** First bytes of each connection of a warm-up client. */
    private final String clientToken;

    private final WarmupClients clients;
    /** Accepted connections not known to be the warm-up's own; emptied when they are handed over. */
    private final Set<WaitingConnection> waitingConnections = new LinkedHashSet<>();
    /** Connections that sent a frame, from any sender; all are closed when the warm-up ends. */
    private final List<Connection> nodeConnections = new ArrayList<>();

    private final EventLoop.Timer timeLimit;
    private boolean ended;

    /**
     * @param config a separate copy, since the warm-up uses up its coordinator
     * @param network already listening; accepts for the warm-up until it ends
     * @param servingPipeline the pipeline that will serve, and takes over clients that connect meanwhile
     * @param whenDone run once when the warm-up ends
     */
    Warmup(
            RouterConfig config,
            EventLoop loop,
            Network network,
            RequestPipeline servingPipeline,
            Runnable whenDone)
            throws IOException {
        this.config = config;
        this.loop = loop;
        this.network = network;
        this.servingPipeline = servingPipeline;
        this.whenDone = whenDone;
        idPrefix =
                String.format("%016x", new SplittableRandom(config.seed).split().nextLong());
        clientToken = CLIENT_TOKEN_MARK + idPrefix;
        clients = new WarmupClients(config.lookups, idPrefix, clientToken, this::end);
        pipeline =
                new RequestPipeline(loop, network.withoutServer(), config, config.decision.module);
        acceptor = pipeline.acceptor;
        acceptor.markNotReady();
        pipeline.driver.connect(
                pipeline.dispatcher, () -> {}); // The list is made up; discovery is not asked.
        pipeline.driver.turnStarted(loop.nowUs());
        pipeline.endpointList.applyCached(endpoints(network.address()));
        clients.connect(network, network.address());
        timeLimit = loop.schedule(loop.nowUs() + config.maxDeadlineUs, this::end);
    }

    int lookupsAnswered() {
        return clients.lookupsAnswered();
    }

    /** Closes the warm-up's own connections; the real clients go on waiting. */
    void end() {
        if (ended) {
            return;
        }
        ended = true;
        loop.cancel(timeLimit);
        clients.closeAll();
        pipeline.dispatcher.connections().closeAll();
        nodeConnections.forEach(nodeConnection -> nodeConnection.close(CloseReason.COMPLETED));
        whenDone.run();
    }

    /** Hands the waiting clients to the serving acceptor, with the bytes they have sent. */
    void handOverClients() {
        List<WaitingConnection> handedOver = List.copyOf(waitingConnections);
        waitingConnections.clear();
        for (WaitingConnection waiting : handedOver) {
            servingPipeline.descriptors.clientClosed();
            waiting.memory.release();
            waiting.delegate = servingPipeline.acceptor.newListener();
            // The client's deadline runs while the connection waits here. A deadline that counted
            // from the handover would let the answer come too late.
            servingPipeline.acceptor.accepted(
                    waiting.connection,
                    waiting.delegate,
                    waiting.connection.acceptedAtUs(),
                    waiting.hasSentBytes);
            waiting.connection.resumeReading();
        }
    }

    @Override
    public void turnStarted(long nowUs) {
        pipeline.driver.turnStarted(nowUs);
    }

    @Override
    public void turnEnding() {
        pipeline.driver.turnEnding();
    }

    /** An endpoint list with one data node per shard, all at this router's address. */
    private Map<?, ?> endpoints(InetSocketAddress address) {
        String endpoint = address.getAddress().getHostAddress() + ":" + address.getPort();
        return Map.of(
                "rev",
                0.0,
                "targets",
                IntStream.range(0, config.lookups.shardCount())
                        .mapToObj(i -> Map.of(
                                "uid",
                                "warm" + i,
                                "endpoint",
                                endpoint,
                                "pod_group",
                                (double) i,
                                "state",
                                "in_service"))
                        .toList());
    }

    // ---- Accepting. ----

    @Override
    public Connection.Listener newListener() {
        return new WaitingConnection();
    }

    @Override
    public void accepted(Connection connection, Connection.Listener listener) {
        WaitingConnection waiting = (WaitingConnection) listener;
        waiting.connection = connection;
        waitingConnections.add(waiting);
        servingPipeline.descriptors.clientOpened();
    }

    @Override
    public boolean canAccept() {
        return servingPipeline.acceptor.canAccept();
    }

    @Override
    public void acceptFailed(Throwable cause) {
        end();
    }

    /**
     * An accepted connection of unknown origin. A connection to a simulated data node begins with the zero
     * byte of a frame length, and a warm-up client begins with the token.
     */
    private final class WaitingConnection implements Connection.Listener, RequestMemory.Owner {
        private final RequestMemory.Account memory =
                servingPipeline.acceptor.openMemoryAccount(this);
        private final StringBuilder received = new StringBuilder();
        private Connection connection;
        private Connection.Listener delegate;
        private boolean hasSentBytes;

        @Override
        public void bytesReceived(RingBuffer in) {
            hasSentBytes |= in.size() > 0;
            if (delegate == null && in.size() > 0 && !ended) {
                if (in.peek() == 0) {
                    delegateTo(new WarmupDataNode(connection, idPrefix));
                    nodeConnections.add(connection);
                } else if (!received.isEmpty() || in.peek() == CLIENT_TOKEN_MARK) {
                    readToken(in);
                }
            }
            if (delegate != null) {
                delegate.bytesReceived(in);
            } else if (!connection.isClosed()) {
                accountForBuffer(in);
            }
        }

        private void accountForBuffer(RingBuffer in) {
            try {
                memory.setReceiveBuffer(in.capacity());
            } catch (MessageRejectedException e) {
                giveWayForMemory();
            }
        }

        /** Closes the connection; its client retries the unread request at another router. */
        @Override
        public void giveWayForMemory() {
            connection.close(CloseReason.IDLE_TIMEOUT);
        }

        private void readToken(RingBuffer in) {
            while (in.size() > 0 && received.length() < clientToken.length()) {
                received.append((char) in.take());
            }
            if (received.length() == clientToken.length()) {
                if (clientToken.contentEquals(received)) {
                    Connection.Listener client = acceptor.newListener();
                    delegateTo(client);
                    acceptor.accepted(connection, client);
                } else {
                    connection.close(
                            CloseReason.PROTOCOL_ERROR); // No HTTP request begins with the mark.
                }
            }
        }

        /** Assigns a listener and removes the connection from those that wait for the serving router. */
        private void delegateTo(Connection.Listener listener) {
            delegate = listener;
            memory.release();
            if (waitingConnections.remove(this)) {
                servingPipeline.descriptors.clientClosed();
            }
        }

        @Override
        public void writesCompleted() {
            if (delegate != null) {
                delegate.writesCompleted();
            }
        }

        @Override
        public void connectionClosed(CloseReason closeReason) {
            if (delegate != null) {
                delegate.connectionClosed(closeReason);
            } else {
                delegateTo(null);
                network.accept(Warmup.this);
            }
        }
    }
}

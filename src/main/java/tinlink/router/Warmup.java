package tinlink.router;

import tinlink.config.RouterConfig;
import tinlink.net.CloseReason;
import tinlink.net.Connection;
import tinlink.net.EventLoop;
import tinlink.net.EventLoopParticipant;
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
 * Plays lookups before the router is ready: all stages run, with a module of their own, against
 * clients and data nodes that are this process itself, at the address where it will serve. Danger:
 * on part of a core the code of a JVM that has just started is so slow that the first clients' time
 * is over before they are read.
 *
 * <p>Danger: clients come back before a router that was killed has warmed up, and would be answered
 * with what the stand-ins here make up. So each connection of the warm-up's own shows a word that
 * nobody else knows; all others wait unread, and are handed to the router itself when the warm-up is
 * over.
 */
final class Warmup implements Network.AcceptHandler, EventLoopParticipant {
    /** Begins what our own clients show; no request begins so. */
    private static final char OWN_CLIENT_MARK = 1;

    private final RouterConfig config;
    private final EventLoop loop;
    private final Network network;
    private final RequestPipeline servingPipeline;
    private final Runnable whenDone;
    private final RequestPipeline pipeline;
    private final ClientAcceptor acceptor;
    /** Begins the ids of our own lookups. */
    private final String idPrefix;
    /** Begins each connection of our own clients'. */
    private final String clientToken;

    private final WarmupClients clients;
    /** Accepted and not known as our own; all leave when the warm-up is over. */
    private final Set<WaitingConnection> waitingConnections = new LinkedHashSet<>();
    /** Frames come there; whoever sent them, none of it outlives the warm-up. */
    private final List<Connection> nodeConnections = new ArrayList<>();

    private final EventLoop.Timer timeLimit;
    private boolean isEnded;

    /**
     * @param config read for this alone, since its module is used up
     * @param network listens already; accepts for the warm-up until its end
     * @param servingPipeline those who will serve, to whom clients that come meanwhile are handed
     * @param whenDone run once, when all has been played
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
        clientToken = OWN_CLIENT_MARK + idPrefix;
        clients = new WarmupClients(config.lookups, idPrefix, clientToken, this::end);
        pipeline =
                new RequestPipeline(loop, network.withoutServer(), config, config.decision.module);
        acceptor = pipeline.acceptor;
        acceptor.markNotReady();
        pipeline.driver.connect(
                pipeline.dispatcher, () -> {}); // Its list is its own; discovery is not asked.
        pipeline.driver.turnStarted(loop.nowUs());
        pipeline.endpointList.applyCached(endpoints(network.address()));
        clients.connect(network, network.address());
        timeLimit = loop.schedule(loop.nowUs() + config.maxDeadlineUs, this::end);
    }

    int lookupsAnswered() {
        return clients.lookupsAnswered();
    }

    /** Our own connections are closed; who has come meanwhile goes on waiting. */
    void end() {
        if (isEnded) {
            return;
        }
        isEnded = true;
        loop.cancel(timeLimit);
        clients.closeAll();
        pipeline.dispatcher.connections().closeAll();
        nodeConnections.forEach(nodeConnection -> nodeConnection.close(CloseReason.COMPLETED));
        whenDone.run();
    }

    /** Clients that wait are accepted by the router itself, each with what it has sent. */
    void handOverClients() {
        List<WaitingConnection> handedOver = List.copyOf(waitingConnections);
        waitingConnections.clear();
        for (WaitingConnection waiting : handedOver) {
            servingPipeline.descriptors.clientClosed();
            waiting.delegate = servingPipeline.acceptor.newListener();
            // Danger: its client's time runs while it waits here; answered by ours, it would come
            // too late.
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

    /** A data node for each shard, at our own address. */
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
     * Whoever connects: a frame's length begins with a zero byte, our own clients with their mark
     * and word.
     */
    private final class WaitingConnection implements Connection.Listener {
        private final StringBuilder received = new StringBuilder();
        private Connection connection;
        private Connection.Listener delegate;
        private boolean hasSentBytes;

        @Override
        public void bytesReceived(RingBuffer in) {
            hasSentBytes |= in.size() > 0;
            if (delegate == null && in.size() > 0 && !isEnded) {
                if (in.peek() == 0) {
                    delegateTo(new WarmupDataNode(connection, idPrefix));
                    nodeConnections.add(connection);
                } else if (!received.isEmpty() || in.peek() == OWN_CLIENT_MARK) {
                    readToken(in);
                }
            }
            if (delegate != null) {
                delegate.bytesReceived(in);
            }
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
                            CloseReason.PROTOCOL_ERROR); // No request begins so, whoever it is.
                }
            }
        }

        /** It is not one that waits for the real door. */
        private void delegateTo(Connection.Listener listener) {
            delegate = listener;
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

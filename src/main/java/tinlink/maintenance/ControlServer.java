package tinlink.maintenance;

import tinlink.net.CloseReason;
import tinlink.net.Connection;
import tinlink.net.EventLog;
import tinlink.net.EventLoop;
import tinlink.net.Network;
import tinlink.policy.PolicyRolloutService;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.logging.Level;

/**
 * Where operators ask a router, over HTTP/1.1 on loopback: one POST of a JSON object a connection, with a
 * token. What they change is proposed to all routers; the answer says what came of that, or that it is not
 * known, and then the same may be asked again, here or elsewhere. Belongs to the event loop's thread.
 */
public final class ControlServer implements Network.AcceptHandler {
    private static final EventLog LOG = new EventLog("tinlink.maintenance");
    private static final int MAX_CONNECTIONS = 32;

    private final EventLoop loop;
    private final ControlRequestHandler requestHandler;
    private final byte[] token;
    private final long answerTimeoutUs;
    private final Network.ListeningSocket listeningSocket;
    /** Each leaves with its response, or by its timeout; the oldest gives way. */
    private final Set<ControlConnection> connections = new LinkedHashSet<>();

    /**
     * @param policy null where it is off
     * @param listenAddress on loopback
     * @param answerTimeoutUs an operator hears by then whether something is known to be agreed, microseconds
     * @throws IOException where it can't listen there
     */
    public ControlServer(
            EventLoop loop,
            Network network,
            MaintenanceService maintenance,
            PolicyRolloutService policy,
            InetSocketAddress listenAddress,
            String token,
            long answerTimeoutUs)
            throws IOException {
        this.loop = loop;
        this.token = token.getBytes(StandardCharsets.UTF_8);
        this.answerTimeoutUs = answerTimeoutUs;
        requestHandler = new ControlRequestHandler(maintenance, policy);
        listeningSocket = network.listenAt(listenAddress);
        listeningSocket.accept(this);
    }

    /** Where it listens, with the port where any was asked for. */
    public InetSocketAddress address() throws IOException {
        return listeningSocket.address();
    }

    /** Ends it with all its connections. */
    public void close() {
        listeningSocket.close();
        List.copyOf(connections).forEach(connection -> connection.close(CloseReason.COMPLETED));
    }

    EventLoop loop() {
        return loop;
    }

    ControlRequestHandler requestHandler() {
        return requestHandler;
    }

    /** By when a request is answered in any case, microseconds. */
    long answerTimeoutUs() {
        return answerTimeoutUs;
    }

    /** Danger: a comparison that ends at the first wrong byte shows how much of a guess was right. */
    boolean isToken(String presented) {
        return MessageDigest.isEqual(token, presented.getBytes(StandardCharsets.UTF_8));
    }

    void connectionClosed(ControlConnection connection) {
        connections.remove(connection);
    }

    @Override
    public Connection.Listener newListener() {
        return new ControlConnection(this);
    }

    @Override
    public void accepted(Connection connection, Connection.Listener listener) {
        ControlConnection accepted = (ControlConnection) listener;
        connections.add(accepted);
        accepted.opened(connection, 2 * answerTimeoutUs);
        if (connections.size() > MAX_CONNECTIONS) {
            connections.iterator().next().close(CloseReason.IDLE_TIMEOUT);
        }
    }

    @Override
    public boolean canAccept() {
        return true;
    }

    @Override
    public void acceptFailed(Throwable cause) {
        LOG.logFailure(Level.WARNING, "control_accept_failed", cause);
        loop.schedule(loop.nowUs() + answerTimeoutUs, () -> listeningSocket.accept(this));
    }
}

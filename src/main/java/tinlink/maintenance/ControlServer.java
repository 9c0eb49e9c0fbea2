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
 * The control server of a router, for operators. It accepts one request per connection over HTTP/1.1 on
 * loopback: a POST of a JSON object, with a token. A request that changes something is proposed to the
 * replicated log. The answer gives the outcome of the proposal or says that the outcome is unknown; the
 * operator may then repeat the request at any router. Not thread-safe: all calls come from the event loop's
 * thread.
 */
public final class ControlServer implements Network.AcceptHandler {
    private static final EventLog LOG = new EventLog("tinlink.maintenance");
    private static final int MAX_CONNECTIONS = 32;

    private final EventLoop loop;
    private final ControlRequestHandler requestHandler;
    private final byte[] token;
    private final long answerTimeoutUs;
    private final Network.ListeningSocket listeningSocket;
    /** The open connections, oldest first; above {@link #MAX_CONNECTIONS} the oldest is closed. */
    private final Set<ControlConnection> connections = new LinkedHashSet<>();

    /**
     * @param policy null if policy is off
     * @param listenAddress an address on loopback
     * @param answerTimeoutUs the time within which a request is answered, microseconds; the answer then says
     *     that the outcome is unknown
     * @throws IOException if the server can't listen at the address
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

    /** The address that the server listens at, with the actual port if the configured port is 0. */
    public InetSocketAddress address() throws IOException {
        return listeningSocket.address();
    }

    /** Stops listening and closes all connections. */
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

    /** The time within which every request is answered, microseconds. */
    long answerTimeoutUs() {
        return answerTimeoutUs;
    }

    /** Compares in constant time: the duration must not reveal how many bytes of a guess are correct. */
    boolean matchesToken(String presented) {
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

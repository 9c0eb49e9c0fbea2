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
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.logging.Level;

/**
 * What operators say to a router and what they are told, over HTTP/1.1 on loopback: one POST of a JSON object
 * a connection, with a token. What is said here is put to all routers; the answer says what came of that, or
 * that it is not known, and then the same may be said again, here or elsewhere. Runs on the loop's thread.
 */
public final class ControlServer implements Network.AcceptHandler {
    private static final EventLog LOG = new EventLog("tinlink.maintenance");
    private static final int MAX_CONNECTIONS = 32;

    final EventLoop loop;
    final MaintenanceControlCommands commands;
    final byte[] token;
    final long answerTimeoutUs;
    private final Network.ListeningSocket listening;
    /** Each leaves with its answer, or with its time; the oldest gives way. */
    private final Set<ControlConnection> connections = new LinkedHashSet<>();

    /**
     * @param policyRollout null where it is off
     * @param answerTimeoutUs an operator hears by then whether something is known to be agreed
     */
    public ControlServer(
            EventLoop loop,
            Network network,
            MaintenanceService maintenance,
            PolicyRolloutService policyRollout,
            InetSocketAddress listenAddress,
            String token,
            long answerTimeoutUs)
            throws IOException {
        this.loop = loop;
        this.token = token.getBytes(StandardCharsets.UTF_8);
        this.answerTimeoutUs = answerTimeoutUs;
        commands = new MaintenanceControlCommands(maintenance, policyRollout);
        listening = network.listenAt(listenAddress);
        listening.accept(this);
    }

    public InetSocketAddress address() throws IOException {
        return listening.address();
    }

    public void close() {
        listening.close();
        List.copyOf(connections).forEach(connection -> connection.end(CloseReason.COMPLETED));
    }

    /** The connection has ended. */
    void connectionClosed(ControlConnection connection) {
        connections.remove(connection);
    }

    @Override
    public Connection.Listener newListener() {
        return new ControlConnection(this);
    }

    @Override
    public void accepted(Connection link, Connection.Listener owner) {
        ControlConnection connection = (ControlConnection) owner;
        connections.add(connection);
        connection.opened(link, 2 * answerTimeoutUs);
        if (connections.size() > MAX_CONNECTIONS) {
            connections.iterator().next().end(CloseReason.IDLE_TIMEOUT);
        }
    }

    @Override
    public boolean canAccept() {
        return true;
    }

    @Override
    public void acceptFailed(Throwable why) {
        LOG.logFailure(Level.WARNING, "control_accept_failed", why);
        loop.schedule(loop.nowUs() + answerTimeoutUs, () -> listening.accept(this));
    }
}

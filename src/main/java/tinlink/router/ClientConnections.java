package tinlink.router;

import tinlink.net.CloseReason;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The open client connections by state, and the order in which they are closed when descriptors run short.
 * Confined to the event loop's thread. A connection is removed from all collections when it closes, so their
 * size is bounded by the descriptor limit.
 */
final class ClientConnections {
    private final Set<ClientConnection> open = new LinkedHashSet<>();
    /** Connections whose last response has been written. */
    private final Set<ClientConnection> closing = new LinkedHashSet<>();

    /** Connections that have sent nothing since they were accepted. */
    private final Set<ClientConnection> silent = new LinkedHashSet<>();
    /** Connections with no request in flight and no part of the next request received. */
    private final Set<ClientConnection> idle = new LinkedHashSet<>();
    /**
     * When the request that a connection is still sending began to arrive. An entry is removed when the
     * request is complete or answered.
     */
    private final Map<ClientConnection, Long> sendingSinceUs = new LinkedHashMap<>();

    void opened(ClientConnection client) {
        open.add(client);
    }

    void closed(ClientConnection client) {
        open.remove(client);
        closing.remove(client);
        sendingSinceUs.remove(client);
        markBusy(client);
    }

    /** The client has sent nothing since it was accepted. */
    void markSilent(ClientConnection client) {
        silent.add(client);
    }

    /** A request has arrived or has begun to arrive. */
    void markBusy(ClientConnection client) {
        idle.remove(client);
        silent.remove(client);
    }

    /** The client has nothing in flight. @return whether the connection is open */
    boolean markIdle(ClientConnection client) {
        sendingSinceUs.remove(client);
        if (!open.contains(client)) {
            return false;
        }
        idle.add(client);
        return true;
    }

    /** The last response on the connection has been written. */
    void markClosing(ClientConnection client) {
        markBusy(client);
        sendingSinceUs.remove(client);
        closing.add(client);
    }

    /** The beginning of a request has arrived. */
    void requestStarted(ClientConnection client, long nowUs) {
        if (open.contains(client)) {
            sendingSinceUs.putIfAbsent(client, nowUs);
        }
    }

    /** The request is complete, or no more of it will be read. */
    void requestReceived(ClientConnection client) {
        sendingSinceUs.remove(client);
    }

    /** When the oldest incomplete request began to arrive; null if there is none. */
    Long firstSendingSinceUs() {
        return sendingSinceUs.isEmpty()
                ? null
                : sendingSinceUs.values().iterator().next();
    }

    int size() {
        return open.size();
    }

    int idleCount() {
        return idle.size();
    }

    /** A copy of the connections with nothing in flight. */
    List<ClientConnection> idle() {
        return List.copyOf(idle);
    }

    /** A copy of the connections that have sent nothing yet. */
    List<ClientConnection> silent() {
        return List.copyOf(silent);
    }

    /**
     * Closes one connection with nothing in flight; its client can reconnect. Must be called while reads are
     * paused. Connections that only wait for their close go first. Silent connections go next, since clients
     * that connect by the hundreds and send nothing would otherwise displace the active ones. Idle
     * connections follow, and last those that have been sending one request for a long time.
     *
     * @param slowBeforeUs a request that began to arrive at or before this time should be complete by now
     */
    void closeOneIdle(long slowBeforeUs) {
        for (Set<ClientConnection> candidates : List.of(closing, silent, idle)) {
            for (ClientConnection client : candidates) {
                if (candidates == closing
                        ? client.connection().isIdle()
                        : !client.connection().hasUnprocessedRead()) {
                    client.connection().close(CloseReason.IDLE_TIMEOUT);
                    return;
                }
            }
        }
        // Clients that send byte by byte could otherwise hold all connections and lock out the
        // others. A request sent at a normal rate is complete by now.
        for (Map.Entry<ClientConnection, Long> sending : sendingSinceUs.entrySet()) {
            if (sending.getValue() > slowBeforeUs) {
                break;
            }
            ClientConnection client = sending.getKey();
            if (!client.connection().hasUnprocessedRead()) {
                client.connection().close(CloseReason.IDLE_TIMEOUT);
                return;
            }
        }
    }
}

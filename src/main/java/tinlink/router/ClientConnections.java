package tinlink.router;

import tinlink.net.CloseReason;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The open client connections by what is known of each, and which of them is closed first when descriptors
 * run short. Of the event loop's thread; each connection leaves all sets as it closes, so they are bounded by
 * the descriptors.
 */
final class ClientConnections {
    private final Set<ClientConnection> open = new LinkedHashSet<>();
    /**
     * Those that have had their last response, that have sent nothing yet, that have nothing in flight now.
     */
    private final Set<ClientConnection> closing = new LinkedHashSet<>();

    private final Set<ClientConnection> silent = new LinkedHashSet<>();
    private final Set<ClientConnection> idle = new LinkedHashSet<>();
    /** Those of whose request a part has come, and since when; each leaves with the rest or its response. */
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

    /** It has sent nothing since it was accepted. */
    void markSilent(ClientConnection client) {
        silent.add(client);
    }

    /** A request has come, or begins to. */
    void markBusy(ClientConnection client) {
        idle.remove(client);
        silent.remove(client);
    }

    /** Nothing of it is in flight. @return whether it is open */
    boolean markIdle(ClientConnection client) {
        sendingSinceUs.remove(client);
        if (!open.contains(client)) {
            return false;
        }
        idle.add(client);
        return true;
    }

    /** It has had its last response. */
    void markClosing(ClientConnection client) {
        markBusy(client);
        sendingSinceUs.remove(client);
        closing.add(client);
    }

    /** A part of a request has come. */
    void requestStarted(ClientConnection client, long nowUs) {
        if (open.contains(client)) {
            sendingSinceUs.putIfAbsent(client, nowUs);
        }
    }

    /** The request is complete, or nothing more is read of it. */
    void requestReceived(ClientConnection client) {
        sendingSinceUs.remove(client);
    }

    /** Since when the first of them has been sending a request; null while none is. */
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

    /** Those with nothing in flight; a copy. */
    List<ClientConnection> idle() {
        return List.copyOf(idle);
    }

    /** Those that have sent nothing yet; a copy. */
    List<ClientConnection> silent() {
        return List.copyOf(silent);
    }

    /**
     * Closes one connection that nothing is in flight on, which its client then opens anew; to be called
     * while reads are paused. Danger: clients that connect by the hundreds and send nothing would push out
     * the usual ones; they go first, right after those that are over but for their close. Last go those that
     * have long been sending.
     *
     * @param slowBeforeUs a request that began to come before this has had the time to come whole
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
        // Danger: clients that send byte by byte would hold all connections, and the usual ones
        // find none. A request
        // that is sent at all has come whole by now.
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

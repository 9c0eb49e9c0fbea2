package tinlink.securechannel;

import tinlink.net.CloseReason;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The accepted sessions that are not authenticated yet. Their number is bounded, since connections
 * that never authenticate would otherwise occupy all capacity. Beyond the bound, the oldest session
 * is closed.
 */
public final class UnauthenticatedSessions {
    private final int maxSessions;
    /** Oldest first. A session is removed once it is authenticated or closed. */
    private final Set<SecureSession> sessions = new LinkedHashSet<>();

    /** Creates an empty set. */
    public UnauthenticatedSessions(int maxSessions) {
        this.maxSessions = maxSessions;
    }

    /** Adds a session, and closes the oldest session if there are too many. */
    public void add(SecureSession session) {
        sessions.add(session);
        if (sessions.size() > maxSessions) {
            sessions.iterator().next().close(CloseReason.COMPLETED);
        }
    }

    /** Removes a session that has been authenticated or closed. */
    public void remove(SecureSession session) {
        sessions.remove(session);
    }

    /** Returns the number of sessions. */
    public int size() {
        return sessions.size();
    }

    /** Closes all sessions; called when the router stops. */
    public void closeAll() {
        Set.copyOf(sessions).forEach(session -> session.close(CloseReason.COMPLETED));
    }
}

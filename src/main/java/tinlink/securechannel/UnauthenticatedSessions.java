package tinlink.securechannel;

import tinlink.net.CloseReason;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Sessions that were accepted and have not authenticated yet, oldest first; each leaves as it does, or ends.
 * Danger: connections that never authenticate would hold all capacity; the oldest gives way.
 */
public final class UnauthenticatedSessions {
    private final int maxSessions;
    private final Set<SecureSession> sessions = new LinkedHashSet<>();

    /** None yet, and room for so many. */
    public UnauthenticatedSessions(int maxSessions) {
        this.maxSessions = maxSessions;
    }

    /** Closes the oldest where there are too many. */
    public void add(SecureSession session) {
        sessions.add(session);
        if (sessions.size() > maxSessions) {
            sessions.iterator().next().close(CloseReason.COMPLETED);
        }
    }

    /** It has authenticated, or ended. */
    public void remove(SecureSession session) {
        sessions.remove(session);
    }

    /** Returns how many there are. */
    public int size() {
        return sessions.size();
    }

    /** Closes all, as the router stops. */
    public void closeAll() {
        Set.copyOf(sessions).forEach(session -> session.close(CloseReason.COMPLETED));
    }
}

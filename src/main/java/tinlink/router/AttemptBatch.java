package tinlink.router;

import java.util.ArrayList;
import java.util.List;

/** Attempts that travel in one frame and use one slot of a connection. */
final class AttemptBatch implements AttemptTransport {
    final List<SentAttempt> sentAttempts = new ArrayList<>();
    NodeConnection connection;
    /** Where its frame ends in what the connection has written; 0 while it is queued. */
    long frameEndPosition;
    /** Attempts whose outcome is not known. */
    int attemptsInFlight;

    @Override
    public boolean isQueued() {
        return frameEndPosition == 0;
    }

    @Override
    public void onTimeout(SentAttempt sent) {
        if (connection != null) {
            connection.attemptTimedOut(sent);
        }
    }

    @Override
    public void onOutcome(SentAttempt sent, boolean giveUp) {
        if (connection != null) {
            connection.attemptEnded(sent, giveUp);
        } else {
            attemptsInFlight--;
        }
    }
}

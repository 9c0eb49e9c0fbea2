package tinlink.router;

import java.util.ArrayList;
import java.util.List;

/** A group of attempts to one data node that are sent in one frame and use one slot of a connection. */
final class AttemptBatch implements AttemptTransport {
    final List<SentAttempt> sentAttempts = new ArrayList<>();
    /** The connection that carries the frame; null until the dispatcher has chosen one. */
    NodeConnection connection;
    /** The position of the end of the frame in the bytes written to the connection; 0 while queued. */
    long frameEndPosition;
    /** The number of attempts in the batch that have no outcome yet. */
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
    public void onOutcome(SentAttempt sent, boolean cancelAtNode) {
        if (connection != null) {
            connection.attemptEnded(sent, cancelAtNode);
        } else {
            attemptsInFlight--;
        }
    }
}

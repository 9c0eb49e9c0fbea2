package tinlink.router;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The attempts that a data node may still answer on one connection, by part id. Event loop thread only. */
final class AwaitedAnswers {
    /** Attempts whose frames are buffered or sent, by part id; removed when their outcome is known. */
    private final Map<String, SentAttempt> attempts = new HashMap<>();
    /**
     * The part ids of the newest attempts that ended without an answer, in the order in which they ended.
     * The answer may still arrive. Holds at most {@link #maxAbandoned} ids.
     */
    private final Set<String> abandonedIds = new LinkedHashSet<>();

    private final int maxAbandoned;
    /** The part id of the latest answer, which may be followed by a duplicate; null before the first. */
    private String lastAnsweredId;

    /** @param maxAbandoned the number of attempts that may be in flight on the connection at once */
    AwaitedAnswers(int maxAbandoned) {
        this.maxAbandoned = maxAbandoned;
    }

    /**
     * Whether an answer to that part id may still arrive. A new attempt with the same id must not use the
     * connection, since the answer to the earlier attempt would be taken for its own.
     */
    boolean isIdInUse(String partId) {
        return attempts.containsKey(partId) || abandonedIds.contains(partId);
    }

    /** Records an attempt whose frame has been written to the buffer. */
    void sent(SentAttempt sent) {
        attempts.put(sent.part().id, sent);
    }

    /**
     * Records that the outcome of an attempt is known. If the attempt was not answered, its answer may still
     * arrive.
     *
     * @return whether the frame of the attempt had been written to the buffer
     */
    boolean ended(SentAttempt sent) {
        String partId = sent.part().id;
        if (!attempts.remove(partId, sent)) {
            return false;
        }
        if (!sent.answered) {
            abandonedIds.add(partId);
            if (abandonedIds.size() > maxAbandoned) {
                abandonedIds.remove(abandonedIds.iterator().next());
            }
        }
        return true;
    }

    /** Whether an answer to that part id can arrive here, be it a duplicate of the latest answer. */
    boolean isExpected(String partId) {
        return isIdInUse(partId) || partId.equals(lastAnsweredId);
    }

    /**
     * Records that the answer to that part id has arrived.
     *
     * @return the attempt that is answered; null if it has ended already
     */
    SentAttempt answered(String partId) {
        lastAnsweredId = partId;
        SentAttempt sent = attempts.get(partId);
        if (sent == null) {
            abandonedIds.remove(partId); // A late or duplicate answer; ignored.
        } else {
            sent.answered = true;
        }
        return sent;
    }

    /** The attempts that wait for an answer, the oldest first. */
    List<SentAttempt> oldestFirst() {
        List<SentAttempt> all = new ArrayList<>(attempts.values());
        all.sort(Comparator.comparingLong(sent -> sent.attempt.sentAtUs));
        return all;
    }
}

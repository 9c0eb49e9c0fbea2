package tinlink.router;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What may still be answered on one connection to a data node, by part id. Of the event loop's thread. */
final class AwaitedAnswers {
    /** Attempts whose frames are in the buffer or sent; each leaves with its outcome. */
    private final Map<String, SentAttempt> attempts = new HashMap<>();
    /** Ids of attempts that ended without an answer, which may still come: the newest. */
    private final Set<String> abandonedIds = new LinkedHashSet<>();

    private final int maxAbandoned;
    /** Of the last answer; a duplicate of it may follow. */
    private String lastAnsweredId;

    /** @param maxAbandoned as many as may be in flight at once */
    AwaitedAnswers(int maxAbandoned) {
        this.maxAbandoned = maxAbandoned;
    }

    /** Danger: an answer to an earlier attempt of that id would pass for one to the new. */
    boolean isIdInUse(String partId) {
        return attempts.containsKey(partId) || abandonedIds.contains(partId);
    }

    /** Its frame is in the buffer. */
    void sent(SentAttempt sent) {
        attempts.put(sent.part().id, sent);
    }

    /**
     * It has its outcome; one without an answer may still get it. @return whether its frame was in the buffer
     */
    boolean ended(SentAttempt sent) {
        String partId = sent.part().id;
        if (!attempts.remove(partId, sent)) {
            return false;
        }
        if (!sent.isAnswered) {
            abandonedIds.add(partId);
            if (abandonedIds.size() > maxAbandoned) {
                abandonedIds.remove(abandonedIds.iterator().next());
            }
        }
        return true;
    }

    /** Whether an answer to that id was asked for here; the one to the last answer's may be a duplicate. */
    boolean isExpected(String partId) {
        return isIdInUse(partId) || partId.equals(lastAnsweredId);
    }

    /** The answer of that id has come. @return the attempt that it is for; null where that has ended */
    SentAttempt answered(String partId) {
        lastAnsweredId = partId;
        SentAttempt sent = attempts.get(partId);
        if (sent == null) {
            abandonedIds.remove(partId); // Ended, or a duplicate: it says nothing any more.
        } else {
            sent.isAnswered = true;
        }
        return sent;
    }

    /** Attempts that wait for their answers, the oldest first. */
    List<SentAttempt> oldestFirst() {
        List<SentAttempt> all = new ArrayList<>(attempts.values());
        all.sort(Comparator.comparingLong(sent -> sent.attempt.sentAtUs));
        return all;
    }
}

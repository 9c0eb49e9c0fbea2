package tinlink.policy.rollout;

/**
 * A policy that is or was in force.
 *
 * @param epoch counts up by one with each change that took hold; 0 is each router's own file,
 *     before any
 * @param digest names the text
 * @param changeId by which it came; empty for epoch 0
 * @param effectiveAtUs from when on it is in force, on the clock that all machines read
 */
public record PolicyVersion(
        long epoch,
        String digest,
        String text,
        String changeId,
        String author,
        String reason,
        AbsencePolicy absencePolicy,
        long effectiveAtUs) {}

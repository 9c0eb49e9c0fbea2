package tinlink.policy.rollout;

/**
 * A policy that is or was in force.
 *
 * @param epoch one more with each change that took effect; 0 is each router's own file, before any
 *     change
 * @param digest names the text
 * @param changeId the change that made it; empty for epoch 0
 * @param reason of its author
 * @param effectiveAtUs since when it is in force, microseconds on the clock that all machines read
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

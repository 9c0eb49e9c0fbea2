package tinlink.policy.rollout;

/**
 * A policy that is or was in force.
 *
 * @param epoch number of the version, increased by one by each committed change; 0 stands for each
 *     router's own configuration file, before the first change
 * @param digest digest of the text
 * @param text the policy document; empty for epoch 0
 * @param changeId the change that created the version; empty for epoch 0
 * @param author who proposed the change
 * @param reason the author's reason for the change
 * @param absencePolicy how absent routers are treated while this version is in force
 * @param effectiveAtUs time from which the version applies, microseconds on the shared clock
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

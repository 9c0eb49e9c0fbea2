package tinlink.policy.rollout;

/**
 * Selects between the version in force and the previous one, which applies until the effective time
 * of the newer version. That time has passed when either the shared clock or the local clock has
 * reached it: once a router knows a version, setting back the shared clock does not delay it.
 */
final class VersionSelector {
    /** Epoch of the newest version that was seen before its effective time; -1 if none was. */
    private long awaitedEpoch = -1;

    /** Effective time of that version on the local clock, microseconds. */
    private long awaitedUntilLocalUs;

    PolicyVersion select(PolicyChanges changes, long sharedTimeUs, long localTimeUs) {
        PolicyVersion newest = changes.inForce();
        return sharedTimeUs >= newest.effectiveAtUs()
                        || hasTakenEffectLocally(newest, sharedTimeUs, localTimeUs)
                ? newest
                : changes.previous();
    }

    private boolean hasTakenEffectLocally(
            PolicyVersion version, long sharedTimeUs, long localTimeUs) {
        if (awaitedEpoch != version.epoch()) {
            awaitedEpoch = version.epoch();
            awaitedUntilLocalUs = localTimeUs + (version.effectiveAtUs() - sharedTimeUs);
        }
        return localTimeUs >= awaitedUntilLocalUs;
    }
}

package tinlink.policy.rollout;

/**
 * Which of two versions holds: the one in force, or the one before it until the time of the newer
 * one has come. That is told by the shared clock, and, once a router has heard of the version, by
 * its own too, whatever the shared one is set to since.
 */
final class VersionSelector {
    /** Of the newest version that was seen before its time. */
    private long awaitedEpoch = -1;

    /** When that comes on the local clock, microseconds. */
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

package tinlink.policy.rollout;

/**
 * Checks by a router's start checks whether the router can use a version. The check is necessary
 * because a version may take effect without this router's vote: the router would otherwise route
 * lookups by settings that it can't comply with.
 */
final class VersionChecker {
    private final StartChecks startChecks;
    private final long retryIntervalUs;
    /** Digest of the version that was checked last; empty if none was. */
    private String checkedDigest = "";
    /** Why that version can't be used; empty if it can. */
    private String unusableReason = "";
    /** Time of the last check on the local clock, microseconds. */
    private long checkedAtUs;

    /**
     * Creates a checker.
     *
     * @param startChecks the router's start checks
     * @param retryIntervalUs time after which a version that was unusable is checked again
     */
    VersionChecker(StartChecks startChecks, long retryIntervalUs) {
        this.startChecks = startChecks;
        this.retryIntervalUs = retryIntervalUs;
    }

    /**
     * Returns why the version can't be used; empty if it can. Epoch 0 is always usable: it is the
     * router's own configuration file, which was checked at startup.
     */
    String unusableReason(PolicyVersion version, long localTimeUs) {
        if (version.epoch() == 0) {
            return "";
        }
        boolean recheckDue =
                !unusableReason.isEmpty() && localTimeUs - checkedAtUs >= retryIntervalUs;
        if (recheckDue || !checkedDigest.equals(version.digest())) {
            checkedDigest = version.digest();
            checkedAtUs = localTimeUs;
            unusableReason = startChecks.unusableReason(PolicyChange.fromVersion(version));
        }
        return unusableReason;
    }
}

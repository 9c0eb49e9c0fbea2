package tinlink.policy.rollout;

/**
 * Whether a router can use a version, by its start checks. Danger: a version may have taken effect
 * without this router's vote; served by it all the same, it would decide by figures that it can't
 * keep to.
 */
final class VersionChecker {
    private final StartChecks startChecks;
    private final long retryIntervalUs;
    private String checkedDigest = "";
    private String unusableReason = "";
    private long checkedAtUs;

    /**
     * Nothing is checked yet.
     *
     * @param retryIntervalUs after which a version that was found unusable is checked again
     */
    VersionChecker(StartChecks startChecks, long retryIntervalUs) {
        this.startChecks = startChecks;
        this.retryIntervalUs = retryIntervalUs;
    }

    /**
     * Why it can't be used; empty where it can. Epoch 0 is the router's own file, checked at its
     * start.
     */
    String unusableReason(PolicyVersion version, long localTimeUs) {
        if (version.epoch() == 0) {
            return "";
        }
        boolean isRecheckDue =
                !unusableReason.isEmpty() && localTimeUs - checkedAtUs >= retryIntervalUs;
        if (isRecheckDue || !checkedDigest.equals(version.digest())) {
            checkedDigest = version.digest();
            checkedAtUs = localTimeUs;
            unusableReason = startChecks.unusableReason(PolicyChange.fromVersion(version));
        }
        return unusableReason;
    }
}

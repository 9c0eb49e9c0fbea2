package tinlink.cluster.membership;

/**
 * The timeout after which a suspect counts as dead, and the retention time after which a member that is dead
 * or has left is removed.
 */
final class SuspicionTimers {
    /** Confirmations by other members that shorten a suspicion to its minimum; fewer in a small cluster. */
    static final int MAX_CONFIRMATIONS = 3;
    /** Minimum suspicion timeout in probe intervals, per unit of the logarithm of the cluster's size. */
    private static final double MIN_SUSPICION_ROUNDS = 4;
    /** Timeout of a suspicion that no other member has confirmed, as a multiple of the minimum. */
    private static final double MAX_SUSPICION_FACTOR = 4;
    /**
     * Retention time in maximum suspicion timeouts. A dead member stays known for so long that old rumors
     * can't add it again.
     */
    private static final int RETENTION_SUSPICIONS = 20;
    /** Members not expected to confirm a suspicion: this router, the suspect, and one as a margin. */
    private static final int NON_CONFIRMING_MEMBERS = 3;

    private final MemberTable members;
    private final LocalHealth health;
    private final long probeIntervalUs;

    SuspicionTimers(MemberTable members, LocalHealth health, long probeIntervalUs) {
        this.members = members;
        this.health = health;
        this.probeIntervalUs = probeIntervalUs;
    }

    /** Returns when a member that is not alive is declared dead (a suspect) or removed (any other). */
    long expiresAtUs(Member member) {
        return member.stateSinceUs
                + (member.state == MemberState.SUSPECT ? suspicionUs(member) : retentionUs());
    }

    private long retentionUs() {
        return (long) (RETENTION_SUSPICIONS
                * MAX_SUSPICION_FACTOR
                * MIN_SUSPICION_ROUNDS
                * members.logClusterSize()
                * probeIntervalUs);
    }

    /** Decreases with the confirmations of other members; increases with the local health multiplier. */
    private long suspicionUs(Member member) {
        double minUs = MIN_SUSPICION_ROUNDS * members.logClusterSize() * probeIntervalUs;
        int expectedConfirmations = Math.min(
                MAX_CONFIRMATIONS, Math.max(0, members.servingCount() - NON_CONFIRMING_MEMBERS));
        double confirmedFraction = expectedConfirmations == 0
                ? 1
                : Math.log(Math.max(0, member.suspectedBy.size() - 1) + 1.0)
                        / Math.log(expectedConfirmations + 1.0);
        double maxUs = MAX_SUSPICION_FACTOR * minUs;
        return health.scaleTimeout(
                (long) Math.max(minUs, maxUs - (maxUs - minUs) * confirmedFraction));
    }
}

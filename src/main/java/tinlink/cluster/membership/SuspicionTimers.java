package tinlink.cluster.membership;

/** How long a member stays suspect before it counts as dead, and dead or left before it is forgotten. */
final class SuspicionTimers {
    /** Others that have to find a member silent for the shortest suspicion; fewer in a small cluster. */
    static final int MAX_CONFIRMATIONS = 3;
    /** The shortest suspicion lasts so many rounds, times the logarithm of the cluster's size. */
    private static final double MIN_SUSPICION_ROUNDS = 4;
    /** One that nobody has confirmed lasts so many times longer. */
    private static final double MAX_SUSPICION_FACTOR = 4;
    /** A dead member is known for so many longest suspicions more, so that old rumors don't bring it back. */
    private static final int RETENTION_SUSPICIONS = 20;
    /** Members that can't confirm a suspicion: this router, the suspect, and one to spare. */
    private static final int NOT_CONFIRMING = 3;

    private final MemberTable members;
    private final LocalHealth health;
    private final long probeIntervalUs;

    SuspicionTimers(MemberTable members, LocalHealth health, long probeIntervalUs) {
        this.members = members;
        this.health = health;
        this.probeIntervalUs = probeIntervalUs;
    }

    /** When a member that is not alive changes its state by itself, or is forgotten. */
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

    /** Shorter the more have found it silent; longer the more this router doubts itself. */
    private long suspicionUs(Member member) {
        double minUs = MIN_SUSPICION_ROUNDS * members.logClusterSize() * probeIntervalUs;
        int expected =
                Math.min(MAX_CONFIRMATIONS, Math.max(0, members.servingCount() - NOT_CONFIRMING));
        double confirmedFraction = expected == 0
                ? 1
                : Math.log(Math.max(0, member.suspectedBy.size() - 1) + 1.0)
                        / Math.log(expected + 1.0);
        double maxUs = MAX_SUSPICION_FACTOR * minUs;
        return health.stretch((long) Math.max(minUs, maxUs - (maxUs - minUs) * confirmedFraction));
    }
}

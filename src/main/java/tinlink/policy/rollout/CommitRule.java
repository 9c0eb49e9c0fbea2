package tinlink.policy.rollout;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Determines when an open change may be committed. Once the change takes effect, no router that is
 * unaware of the commit may take lookups under the old policy.
 *
 * <p>A router that accepts a change is bound by its vote: after the time in the vote, it takes no
 * lookups under the old policy unless it knows the outcome of the change. A change is therefore
 * committed with an effective time that no vote reaches beyond. Nothing is known about an enrolled
 * router that has not accepted: the commit has to wait for its vote or, under FENCE, for the expiry
 * of every lease that the router may have obtained before the proposal was in the log. A lease that
 * the router obtained later implies that the router knows the proposal.
 *
 * @param change the open change
 * @param inForce the version that the change would replace
 * @param enrolledRouters the routers that take part in changes, by name
 */
record CommitRule(
        PolicyChange change, PolicyVersion inForce, Map<String, EnrolledRouter> enrolledRouters) {
    /** Result of {@link #earliestCommitUs} while the change may not be committed at any time. */
    static final long NOT_YET = Long.MAX_VALUE;

    /** Returns the routers that have not accepted the change, sorted by name. */
    List<String> pendingRouters() {
        return enrolledRouters.entrySet().stream()
                .filter(entry -> boundUntilUs(entry.getKey(), entry.getValue()) == 0)
                .map(Map.Entry::getKey)
                .toList();
    }

    private long boundUntilUs(String router, EnrolledRouter enrolled) {
        return change.boundUntilUs(router, enrolled.incarnation());
    }

    /** Returns the name and reason of the first router that has rejected the change, if any. */
    Optional<String> firstRejection() {
        return enrolledRouters.keySet().stream()
                .filter(change::isRejectedBy)
                .findFirst()
                .map(router -> router + ": " + change.votes().get(router).reason());
    }

    /**
     * Returns whether the effective time of the version in force has passed on a coordinator's
     * clock. No other change may be committed earlier: a router only keeps the version in force and
     * the previous one, so the version that still applies would be lost.
     */
    boolean isVersionInForceEffective() {
        return change.confirmedAtUs()
                >= inForce.effectiveAtUs() + inForce.absencePolicy().maxClockErrorUs();
    }

    /**
     * Returns the earliest effective time with which the change may be committed, in microseconds
     * on the shared clock, or {@link #NOT_YET}.
     */
    long earliestCommitUs() {
        if (firstRejection().isPresent() || !isVersionInForceEffective()) {
            return NOT_YET;
        }
        long earliestUs = 0;
        for (Map.Entry<String, EnrolledRouter> entry : enrolledRouters.entrySet()) {
            earliestUs = Math.max(earliestUs, boundUntilUs(entry.getKey(), entry.getValue()));
        }
        // Absent routers still follow the absence policy in force, not the proposed one.
        AbsencePolicy absence = inForce.absencePolicy();
        if (!pendingRouters().isEmpty()) {
            if (absence.rule() != AbsencePolicy.Rule.FENCE || change.confirmedAtUs() == 0) {
                return NOT_YET;
            }
            earliestUs = Math.max(earliestUs, change.confirmedAtUs() + absence.leaseUs());
        }
        return earliestUs + absence.maxClockErrorUs();
    }
}

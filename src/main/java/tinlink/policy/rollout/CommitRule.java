package tinlink.policy.rollout;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * When an open change may be committed. What makes it safe: a participant that accepts binds
 * itself, so that past the time in its vote it takes no lookup by the old policy unless it knows
 * how the change ended; a change is committed for a time that no vote reaches beyond. Of a router
 * that is enrolled and has not accepted nothing is known; it has to be waited for, or its lease has
 * to have expired, which it got before the proposal was agreed on (one that it got later tells it
 * of the proposal).
 *
 * @param inForce the version that the change would replace
 */
record CommitRule(
        PolicyChange change, PolicyVersion inForce, Map<String, EnrolledRouter> enrolledRouters) {
    /** Not as things stand. */
    static final long NOT_YET = Long.MAX_VALUE;

    /** Routers that have not accepted, in order of their names. */
    List<String> pendingRouters() {
        return enrolledRouters.entrySet().stream()
                .filter(entry -> boundUntilUs(entry.getKey(), entry.getValue()) == 0)
                .map(Map.Entry::getKey)
                .toList();
    }

    private long boundUntilUs(String router, EnrolledRouter enrolled) {
        return change.boundUntilUs(router, enrolled.incarnation());
    }

    /** The first router that rejects the change, and why. */
    Optional<String> firstRejection() {
        return enrolledRouters.keySet().stream()
                .filter(change::isRejectedBy)
                .findFirst()
                .map(router -> router + ": " + change.votes().get(router).reason());
    }

    /**
     * Whether the version in force has taken effect by a coordinator's clock. Danger: settled
     * before that, the next one would leave a router with two to choose from and the one that holds
     * not among them.
     */
    boolean hasVersionInForceTakenEffect() {
        return change.confirmedAtUs()
                >= inForce.effectiveAtUs() + inForce.absencePolicy().maxClockErrorUs();
    }

    /**
     * The earliest time for which the change may be committed; {@link #NOT_YET} while it may not.
     */
    long earliestCommitUs() {
        if (firstRejection().isPresent() || !hasVersionInForceTakenEffect()) {
            return NOT_YET;
        }
        long earliestUs = 0;
        for (Map.Entry<String, EnrolledRouter> entry : enrolledRouters.entrySet()) {
            earliestUs = Math.max(earliestUs, boundUntilUs(entry.getKey(), entry.getValue()));
        }
        // What counts is the absence policy in force, not the proposed one: the absent go by that.
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

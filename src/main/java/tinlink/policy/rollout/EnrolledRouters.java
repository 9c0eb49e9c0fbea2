package tinlink.policy.rollout;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * The routers that take part in changes, by name: those that may take lookups. Bounded in number.
 */
final class EnrolledRouters {
    private final int maxRouters;
    /** Those that leave are removed. */
    private final Map<String, EnrolledRouter> byName = new TreeMap<>();

    EnrolledRouters(int maxRouters) {
        this.maxRouters = maxRouters;
    }

    Map<String, EnrolledRouter> byName() {
        return Collections.unmodifiableMap(byName);
    }

    boolean contains(String router, String incarnation) {
        EnrolledRouter enrolled = byName.get(router);
        return enrolled != null && enrolled.incarnation().equals(incarnation);
    }

    /**
     * Danger: a command of an earlier process that comes late would put that one in the place of
     * the one that runs, and what it had promised would be taken for a promise of this one's.
     */
    CommandOutcome enrol(PolicyCommand.Enrol command) {
        EnrolledRouter known = byName.get(command.router());
        if (known != null && known.startCount() > command.startCount()) {
            return Rejection.laterIncarnationEnrolled();
        }
        if (known == null && byName.size() >= maxRouters) {
            return Rejection.tooManyRouters();
        }
        put(command.router(), new EnrolledRouter(command.incarnation(), command.startCount()));
        return CommandOutcome.accepted();
    }

    /** Nothing is changed where another process of that router is enrolled. */
    CommandOutcome leave(PolicyCommand.Leave command) {
        if (contains(command.router(), command.incarnation())) {
            byName.remove(command.router());
        }
        return CommandOutcome.accepted();
    }

    void put(String router, EnrolledRouter enrolled) {
        byName.put(router, enrolled);
    }
}

package tinlink.policy.rollout;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/** The routers that take part in policy changes. Only enrolled routers take lookups. */
final class EnrolledRouters {
    private final int maxRouters;
    /** At most {@link #maxRouters} entries; a router that leaves is removed. */
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
     * Enrols a process of a router in place of the router's earlier process. A delayed command of
     * an earlier process is rejected: it would replace the running process, and a vote of the
     * earlier process would be taken for a vote that binds the running one.
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

    /** Removes the router, unless another process of it is enrolled by now. */
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

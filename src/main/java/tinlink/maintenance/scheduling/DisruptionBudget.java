package tinlink.maintenance.scheduling;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Counts the available machines of each failure domain and compares the counts with the minimums that {@link
 * DisruptionLimits} sets.
 */
final class DisruptionBudget {
    private static final class Count {
        int total;
        int available;
    }

    private final DisruptionLimits limits;
    /**
     * By failure domain, in the order in which the machines name the domains. Its size is bounded by the
     * numbers of cells, zones and sites.
     */
    private final Map<FailureDomain, Count> counts = new LinkedHashMap<>();

    /** @param available returns whether a machine counts as available */
    DisruptionBudget(
            DisruptionLimits limits, Collection<Machine> machines, Predicate<Machine> available) {
        this.limits = limits;
        for (Machine machine : machines) {
            int increment = available.test(machine) ? 1 : 0;
            for (FailureDomain domain : FailureDomain.containing(machine)) {
                Count count = counts.computeIfAbsent(domain, d -> new Count());
                count.total++;
                count.available += increment;
            }
        }
    }

    /** Returns a description of the first limit that is violated already; empty if none is. */
    Optional<String> violation() {
        return counts.keySet().stream()
                // Voters that cannot spare a member do not block maintenance of other machines.
                .filter(domain -> domain.kind() != FailureDomain.Kind.VOTERS)
                .filter(domain -> counts.get(domain).available < minimum(domain))
                .findFirst()
                .map(this::describe);
    }

    /**
     * Returns a description of the first limit that would be violated without this machine; empty if none
     * would be.
     *
     * @param machine a machine that is counted as available
     */
    Optional<String> violationWithout(Machine machine) {
        return FailureDomain.containing(machine).stream()
                .filter(domain -> counts.get(domain).available - 1 < minimum(domain))
                .findFirst()
                .map(this::describe);
    }

    /** Counts a machine, which was counted as available, as unavailable from now on. */
    void remove(Machine machine) {
        FailureDomain.containing(machine).forEach(domain -> counts.get(domain).available--);
    }

    private int minimum(FailureDomain domain) {
        return limits.minimum(domain, counts.get(domain).total);
    }

    /** The text becomes part of a task's reason, which is stored, so its wording must not change. */
    private String describe(FailureDomain domain) {
        Count count = counts.get(domain);
        return domain + ": " + count.available + " of " + count.total + " are sound and here, "
                + minimum(domain) + " have to be";
    }
}

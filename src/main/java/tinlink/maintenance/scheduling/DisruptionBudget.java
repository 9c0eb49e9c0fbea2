package tinlink.maintenance.scheduling;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/** How many machines of each failure domain are available now, against how many have to be. */
final class DisruptionBudget {
    private static final class Count {
        int total;
        int available;
    }

    private final DisruptionLimits limits;
    /** As many as there are blocks, zones and sites. */
    private final Map<FailureDomain, Count> counts = new LinkedHashMap<>();

    /** @param isAvailable whether a machine counts */
    DisruptionBudget(
            DisruptionLimits limits, Collection<Machine> machines, Predicate<Machine> isAvailable) {
        this.limits = limits;
        for (Machine machine : machines) {
            int available = isAvailable.test(machine) ? 1 : 0;
            for (FailureDomain domain : FailureDomain.containing(machine)) {
                Count count = counts.computeIfAbsent(domain, d -> new Count());
                count.total++;
                count.available += available;
            }
        }
    }

    /** The first limit that is violated as it is, for operators; empty where all hold. */
    Optional<String> violation() {
        return counts.keySet().stream()
                // Voters with none to spare are no reason to stop maintenance elsewhere.
                .filter(domain -> domain.kind() != FailureDomain.Kind.VOTERS)
                .filter(domain -> counts.get(domain).available < minimum(domain))
                .findFirst()
                .map(this::describe);
    }

    /** The first limit that would be violated without this machine, which counts now. */
    Optional<String> violationWithout(Machine machine) {
        return FailureDomain.containing(machine).stream()
                .filter(domain -> counts.get(domain).available - 1 < minimum(domain))
                .findFirst()
                .map(this::describe);
    }

    /** The machine, which counted, is not available from now on. */
    void remove(Machine machine) {
        FailureDomain.containing(machine).forEach(domain -> counts.get(domain).available--);
    }

    private int minimum(FailureDomain domain) {
        return limits.minimum(domain, counts.get(domain).total);
    }

    private String describe(FailureDomain domain) {
        Count count = counts.get(domain);
        return domain + ": " + count.available + " of " + count.total + " are sound and here, "
                + minimum(domain) + " have to be";
    }
}

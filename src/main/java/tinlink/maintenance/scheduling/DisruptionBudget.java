package tinlink.maintenance.scheduling;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

/** How many machines count in each place now, against what each has to keep. */
final class DisruptionBudget {
    private static final class Count {
        int total;
        int available;
    }

    private final DisruptionLimits limits;
    /** As many as there are blocks, zones and sites. */
    private final Map<FailureDomain, Count> counts = new LinkedHashMap<>();

    DisruptionBudget(
            DisruptionLimits limits, Collection<Machine> machines, Predicate<Machine> isAvailable) {
        this.limits = limits;
        for (Machine machine : machines) {
            boolean available = isAvailable.test(machine);
            for (FailureDomain domain : FailureDomain.of(machine)) {
                Count count = counts.computeIfAbsent(domain, x -> new Count());
                count.total++;
                count.available += available ? 1 : 0;
            }
        }
    }

    /** The first bound that is broken as things stand; null where all hold. */
    String violation() {
        for (Map.Entry<FailureDomain, Count> entry : counts.entrySet()) {
            // Voters with none to spare are no reason to stop work elsewhere.
            if (entry.getKey().kind() != FailureDomain.Kind.VOTERS
                    && entry.getValue().available < minimum(entry.getKey())) {
                return describe(entry.getKey());
            }
        }
        return null;
    }

    /** The bound that would be broken without this one, which counts now; null where it may go. */
    String violationWithout(Machine machine) {
        for (FailureDomain domain : FailureDomain.of(machine)) {
            if (counts.get(domain).available - 1 < minimum(domain)) {
                return describe(domain);
            }
        }
        return null;
    }

    /** It is away from now on. */
    void remove(Machine machine) {
        FailureDomain.of(machine).forEach(domain -> counts.get(domain).available--);
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

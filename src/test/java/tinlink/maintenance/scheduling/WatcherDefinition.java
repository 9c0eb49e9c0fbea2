package tinlink.maintenance.scheduling;

import java.util.Collection;

/** Who watches a machine, by the definition alone: what the code that keeps it up is compared with. */
public final class WatcherDefinition {
    private WatcherDefinition() {}

    /** Whether fewer than that many other routers have a lower weight; nobody watches itself. */
    public static boolean watches(
            String router, Collection<String> routers, String machine, int watchers) {
        long ownWeight = WatcherAssignment.weight(router, machine);
        long ahead = routers.stream()
                .filter(other -> !other.equals(machine) && !other.equals(router))
                .filter(other -> WatcherAssignment.weight(other, machine) < ownWeight)
                .count();
        return !router.equals(machine) && ahead < watchers;
    }
}

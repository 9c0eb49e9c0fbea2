package tinlink.maintenance.scheduling;

import java.util.Collection;

/** The definition of which routers watch a machine, as the reference for incremental implementations. */
public final class WatcherDefinition {
    private WatcherDefinition() {}

    /**
     * Returns whether a router watches a machine: fewer than {@code watchers} other routers have a lower
     * weight for the machine. No router watches itself.
     */
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

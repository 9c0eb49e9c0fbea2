package tinlink.maintenance.scheduling;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/** The machines agreed on, and since when each has been healthy or unhealthy, in agreed microseconds. */
final class MachineTable {
    /** By id. One that is on no list any more leaves once no task for it is active. */
    private final Map<String, Machine> machines = new TreeMap<>();
    /** Of unhealthy machines; leaves with the machine. */
    private final Map<String, Long> unhealthySince = new TreeMap<>();
    /** When a machine last became healthy; leaves with the machine. */
    private final Map<String, Long> healthySince = new TreeMap<>();
    /** Computed when it is asked for; null after the machines have changed. */
    private AgreedNodes agreedNodes;

    void copyFrom(MachineTable other) {
        machines.putAll(other.machines);
        unhealthySince.putAll(other.unhealthySince);
        healthySince.putAll(other.healthySince);
    }

    Collection<Machine> all() {
        return machines.values();
    }

    /** The machine with that id; null where there is none. */
    Machine get(String id) {
        return machines.get(id);
    }

    AgreedNodes agreedNodes() {
        if (agreedNodes == null) {
            agreedNodes = AgreedNodes.of(machines.values());
        }
        return agreedNodes;
    }

    /** Adds or replaces a machine; a new one counts as healthy. */
    void put(Machine machine, long nowUs) {
        agreedNodes = null;
        if (machines.put(machine.id(), machine) == null) {
            healthySince.putIfAbsent(machine.id(), nowUs);
        }
    }

    /** Returns whether there was such a machine. */
    boolean remove(String id) {
        if (machines.remove(id) == null) {
            return false;
        }
        agreedNodes = null;
        unhealthySince.remove(id);
        healthySince.remove(id);
        return true;
    }

    boolean isHealthy(String id) {
        return !unhealthySince.containsKey(id);
    }

    /** Since when it has been healthy; that other time where nothing is known of it. */
    long healthySinceUs(String id, long otherwise) {
        return healthySince.getOrDefault(id, otherwise);
    }

    void setHealth(String id, boolean healthy, long nowUs) {
        if (!machines.containsKey(id) || healthy == isHealthy(id)) {
            return;
        }
        if (healthy) {
            unhealthySince.remove(id);
            healthySince.put(id, nowUs);
        } else {
            unhealthySince.put(id, nowUs);
        }
    }

    void forEachUnhealthySince(BiConsumer<String, Long> action) {
        unhealthySince.forEach(action);
    }

    void forEachHealthySince(BiConsumer<String, Long> action) {
        healthySince.forEach(action);
    }

    void restore(Machine machine) {
        machines.put(machine.id(), machine);
    }

    void restoreUnhealthySince(String id, long sinceUs) {
        unhealthySince.put(id, sinceUs);
    }

    void restoreHealthySince(String id, long sinceUs) {
        healthySince.put(id, sinceUs);
    }
}

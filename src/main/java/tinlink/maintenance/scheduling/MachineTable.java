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
    Machine get(String machineId) {
        return machines.get(machineId);
    }

    AgreedNodes agreedNodes() {
        if (agreedNodes == null) {
            agreedNodes = AgreedNodes.from(machines.values());
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
    boolean remove(String machineId) {
        if (machines.remove(machineId) == null) {
            return false;
        }
        agreedNodes = null;
        unhealthySince.remove(machineId);
        healthySince.remove(machineId);
        return true;
    }

    boolean isHealthy(String machineId) {
        return !unhealthySince.containsKey(machineId);
    }

    /** Since when it has been healthy; that other time where nothing is known of it. */
    long healthySinceUs(String machineId, long otherwise) {
        return healthySince.getOrDefault(machineId, otherwise);
    }

    void setHealth(String machineId, boolean healthy, long nowUs) {
        if (!machines.containsKey(machineId) || healthy == isHealthy(machineId)) {
            return;
        }
        if (healthy) {
            unhealthySince.remove(machineId);
            healthySince.put(machineId, nowUs);
        } else {
            unhealthySince.put(machineId, nowUs);
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

    void restoreUnhealthySince(String machineId, long sinceUs) {
        unhealthySince.put(machineId, sinceUs);
    }

    void restoreHealthySince(String machineId, long sinceUs) {
        healthySince.put(machineId, sinceUs);
    }
}

package tinlink.maintenance.scheduling;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/**
 * The machines of the replicated state, and since when each has been healthy or unhealthy, in microseconds of
 * agreed time.
 */
final class MachineTable {
    /**
     * By machine id; bounded by {@link DisruptionLimits#maxEntries}. A machine that is no longer on the
     * endpoint lists is removed once no task for it is active.
     */
    private final Map<String, Machine> machines = new TreeMap<>();
    /** By id of an unhealthy machine; an entry is removed with its machine. */
    private final Map<String, Long> unhealthySince = new TreeMap<>();
    /** By machine id, when the machine last became healthy; an entry is removed with its machine. */
    private final Map<String, Long> healthySince = new TreeMap<>();
    /** Cache of {@link #agreedNodes()}; null until it is requested after a change of the machines. */
    private AgreedNodes agreedNodes;

    void copyFrom(MachineTable other) {
        machines.putAll(other.machines);
        unhealthySince.putAll(other.unhealthySince);
        healthySince.putAll(other.healthySince);
    }

    Collection<Machine> all() {
        return machines.values();
    }

    /** Returns the machine with this id, or null if there is none. */
    Machine get(String machineId) {
        return machines.get(machineId);
    }

    AgreedNodes agreedNodes() {
        if (agreedNodes == null) {
            agreedNodes = AgreedNodes.from(machines.values());
        }
        return agreedNodes;
    }

    /** Adds or replaces a machine; a new machine counts as healthy. */
    void put(Machine machine, long nowUs) {
        agreedNodes = null;
        if (machines.put(machine.id(), machine) == null) {
            healthySince.putIfAbsent(machine.id(), nowUs);
        }
    }

    /** Removes a machine; returns false if there was none with this id. */
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

    /** Returns since when a machine has been healthy, or the default if that is not known. */
    long healthySinceUs(String machineId, long defaultUs) {
        return healthySince.getOrDefault(machineId, defaultUs);
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

package tinlink.policy.rollout;

import java.util.Collection;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The most recent changes, open and settled, in the order in which they were proposed. A change is
 * settled once it is in force or withdrawn.
 */
final class ChangeHistory {
    private final int maxChanges;
    /** Changes by id; past {@link #maxChanges} the oldest settled change is evicted. */
    private final Map<String, PolicyChange> changesById = new LinkedHashMap<>();

    private PolicyChange openChange;

    ChangeHistory(int maxChanges) {
        this.maxChanges = maxChanges;
    }

    /** Returns the change with that id, or null if it is unknown or has been evicted. */
    PolicyChange get(String changeId) {
        return changesById.get(changeId);
    }

    Collection<PolicyChange> all() {
        return Collections.unmodifiableCollection(changesById.values());
    }

    /** Returns the open change, or null if all changes are settled. */
    PolicyChange openChange() {
        return openChange;
    }

    /** Returns the open change if it has that id, or null otherwise. */
    PolicyChange openChange(String changeId) {
        return openChange != null && openChange.changeId().equals(changeId) ? openChange : null;
    }

    void open(PolicyChange change) {
        openChange = change;
        changesById.put(change.changeId(), change);
        evictSettled();
    }

    /** Marks the open change as settled, after it was put in force or withdrawn. */
    void closeOpenChange() {
        openChange = null;
        evictSettled();
    }

    /** Adds a change that was read from a snapshot. */
    void restore(PolicyChange change) {
        changesById.put(change.changeId(), change);
        if (change.state() == PolicyChange.State.OPEN) {
            openChange = change;
        }
    }

    private void evictSettled() {
        Iterator<PolicyChange> oldestFirst = changesById.values().iterator();
        while (oldestFirst.hasNext() && changesById.size() > maxChanges) {
            if (oldestFirst.next() != openChange) {
                oldestFirst.remove();
            }
        }
    }
}

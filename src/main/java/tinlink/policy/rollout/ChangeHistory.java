package tinlink.policy.rollout;

import java.util.Collection;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The newest changes in the order in which they were proposed, the open one among them. Bounded in
 * number.
 */
final class ChangeHistory {
    private final int maxChanges;
    /** Settled ones leave, oldest first, past the bound. */
    private final Map<String, PolicyChange> changesById = new LinkedHashMap<>();

    private PolicyChange openChange;

    ChangeHistory(int maxChanges) {
        this.maxChanges = maxChanges;
    }

    /** Null where no change has that id, or not any more. */
    PolicyChange get(String changeId) {
        return changesById.get(changeId);
    }

    Collection<PolicyChange> all() {
        return Collections.unmodifiableCollection(changesById.values());
    }

    /** Null where all are settled. */
    PolicyChange openChange() {
        return openChange;
    }

    /** The open change if it has that id, or else null. */
    PolicyChange openChange(String changeId) {
        return openChange != null && openChange.changeId().equals(changeId) ? openChange : null;
    }

    void open(PolicyChange change) {
        openChange = change;
        changesById.put(change.changeId(), change);
        evictSettled();
    }

    /** The open change is in force or withdrawn by now. */
    void openChangeSettled() {
        openChange = null;
        evictSettled();
    }

    /** Adds one as it stands in a snapshot. */
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

package tinlink.cluster.consensus;

import java.util.Collection;
import java.util.Map;

/**
 * Which voter takes another one's place. A voter slot belongs to a router; it is given to another disk of
 * the same router once that router itself says that the one before is lost, or to another router
 * where an operator says so. One change at a time, and none that a majority of the group as it then
 * is could not bear.
 */
public final class VoterReplacement {
    /** A change: the one goes, then the other comes. Either may be null. */
    public record Change(String removed, String added) {}

    private VoterReplacement() {}

    /**
     * The next change; null where none is due or none is safe now.
     *
     * @param voters voters, by router the disk that votes
     * @param present by router the disk with which it is there now, for those that may vote
     * @param operatorReplacements by an operator's word: this router's voter slot goes to that router
     * @param targetSize how many are to vote
     */
    public static Change nextChange(
            Map<String, String> voters,
            Map<String, String> present,
            Map<String, String> operatorReplacements,
            int targetSize) {
        int presentVoters = 0;
        for (Map.Entry<String, String> entry : voters.entrySet()) {
            presentVoters += entry.getValue().equals(present.get(entry.getKey())) ? 1 : 0;
        }
        int majority = voters.size() / 2 + 1;
        // Danger: a vote less or more while only just a majority is there can leave nobody able to
        // decide.
        if (presentVoters < majority) {
            return null;
        }
        for (Map.Entry<String, String> entry : voters.entrySet()) {
            String presentDisk = present.get(entry.getKey());
            if (presentDisk != null && !presentDisk.equals(entry.getValue())) {
                return new Change(entry.getKey() + "/" + entry.getValue(), null);
            }
        }
        for (Map.Entry<String, String> entry : operatorReplacements.entrySet()) {
            if (voters.containsKey(entry.getKey()) && present.containsKey(entry.getValue())) {
                return new Change(entry.getKey() + "/" + voters.get(entry.getKey()), null);
            }
        }
        if (voters.size() < targetSize) {
            return nextAddition(voters.keySet(), present, operatorReplacements);
        }
        return null;
    }

    private static Change nextAddition(
            Collection<String> voters,
            Map<String, String> present,
            Map<String, String> operatorReplacements) {
        for (Map.Entry<String, String> entry : present.entrySet()) {
            if (!voters.contains(entry.getKey())
                    && !operatorReplacements.containsKey(entry.getKey())) {
                return new Change(null, entry.getKey() + "/" + entry.getValue());
            }
        }
        return null;
    }
}

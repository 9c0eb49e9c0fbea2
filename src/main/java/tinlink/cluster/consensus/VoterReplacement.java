package tinlink.cluster.consensus;

import java.util.Collection;
import java.util.Map;

/**
 * Which voter takes another one's place. A voter slot belongs to a router; it is given to another disk of
 * the same router once that router itself says that it runs with another one, or to another router where an
 * operator says so. One change at a time, and none that a majority of the group as it then is could not
 * bear. Free of I/O and state.
 */
public final class VoterReplacement {
    /**
     * A change: the one is removed, or the other is added; the other of the two is null. Voters as
     * {@link Voter#toString} has them.
     */
    public record Change(String removed, String added) {}

    private VoterReplacement() {}

    /**
     * The next change; null where none is due or none is safe now.
     *
     * @param voters by router the disk that votes, in hex
     * @param present by router the disk with which it runs now, for those that may vote
     * @param operatorReplacements by an operator's command: this router's slot goes to that router
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
        // Danger: a vote less or more while only just a majority is there can leave nobody able to
        // decide.
        if (presentVoters < voters.size() / 2 + 1) {
            return null;
        }
        Change removal = nextRemoval(voters, present, operatorReplacements);
        if (removal != null) {
            return removal;
        }
        return voters.size() < targetSize
                ? nextAddition(voters.keySet(), present, operatorReplacements)
                : null;
    }

    private static Change nextRemoval(
            Map<String, String> voters,
            Map<String, String> present,
            Map<String, String> operatorReplacements) {
        for (Map.Entry<String, String> entry : voters.entrySet()) {
            String presentDisk = present.get(entry.getKey());
            if (presentDisk != null && !presentDisk.equals(entry.getValue())) {
                return new Change(voter(entry), null);
            }
        }
        for (Map.Entry<String, String> entry : operatorReplacements.entrySet()) {
            String removedRouter = entry.getKey();
            if (voters.containsKey(removedRouter) && present.containsKey(entry.getValue())) {
                return new Change(voter(Map.entry(removedRouter, voters.get(removedRouter))), null);
            }
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
                return new Change(null, voter(entry));
            }
        }
        return null;
    }

    private static String voter(Map.Entry<String, String> diskOfRouter) {
        return diskOfRouter.getKey() + "/" + diskOfRouter.getValue();
    }
}

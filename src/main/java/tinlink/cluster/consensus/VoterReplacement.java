package tinlink.cluster.consensus;

import java.util.Collection;
import java.util.Map;

/**
 * Decides which voter is removed or added next. A voter slot belongs to a router. The slot goes to another
 * disk of the same router once the router itself reports that it runs with that disk, and to another router
 * by an operator's command. Voters are changed one at a time, and only while a majority of them is present.
 * Stateless and free of I/O.
 */
public final class VoterReplacement {
    /**
     * The change of a single voter; one of the two fields is null.
     *
     * @param removed the voter to be removed, as by {@link Voter#toString}
     * @param added the voter to be added, as by {@link Voter#toString}
     */
    public record Change(String removed, String added) {}

    private VoterReplacement() {}

    /**
     * Returns the next change; null if none is due, or none is safe now.
     *
     * @param voters the disk ids of the voters in hex, by router
     * @param present the disk ids in hex with which routers run now, by router; only of those that may vote
     * @param operatorReplacements the routers that get the voter slots of others by an operator's command, by
     *     the router that loses its slot
     * @param targetSize number of voters that the group should have
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
        // Without a majority present, one voter less or more can leave a group that can't commit.
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
                return new Change(voterText(entry), null);
            }
        }
        for (Map.Entry<String, String> entry : operatorReplacements.entrySet()) {
            String removedRouter = entry.getKey();
            if (voters.containsKey(removedRouter) && present.containsKey(entry.getValue())) {
                return new Change(
                        voterText(Map.entry(removedRouter, voters.get(removedRouter))), null);
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
                return new Change(null, voterText(entry));
            }
        }
        return null;
    }

    /** The text of a voter, as by {@link Voter#toString}. */
    private static String voterText(Map.Entry<String, String> diskByRouter) {
        return diskByRouter.getKey() + "/" + diskByRouter.getValue();
    }
}

package tinlink.experiment.simulation;

import tinlink.cluster.consensus.ReplicatedStateMachine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/** The members of one play that agree on one log: some vote, the others learn from those. */
final class ConsensusGroup {
    /**
     * How the group is paced and bounded.
     *
     * @param libraryMillisecondUs how much simulated time one of the agreement library's milliseconds takes
     * @param linesKept agreed lines that a member can pass on one by one
     * @param snapshotEvery lines between two snapshots
     * @param entryUs how long a restarted voter waits for the others' words on its disk
     */
    record Settings(long libraryMillisecondUs, int linesKept, int snapshotEvery, long entryUs) {}

    final Simulation simulation;
    final SimulatedNetwork network;
    final Settings settings;
    final List<String> violations = new ArrayList<>();
    final CommittedLog log = new CommittedLog(violations);
    /** By name, in the order of their numbers. */
    final Map<String, SimulatedMember> members = new LinkedHashMap<>();
    /** Makes a replica of the agreed state as it is before the first line. */
    final Supplier<ReplicatedStateMachine> replicas;
    /** Old copies of disks that were found out before they voted. */
    int oldDisksFound;

    private List<SimulatedMember> voters = List.of();

    ConsensusGroup(
            Simulation simulation,
            SimulatedNetwork network,
            Settings settings,
            Supplier<ReplicatedStateMachine> replicas) {
        this.simulation = simulation;
        this.network = network;
        this.settings = settings;
        this.replicas = replicas;
    }

    void add(SimulatedMember member) {
        members.put(member.name, member);
        voters = members.values().stream().filter(m -> m.voter).toList();
    }

    List<SimulatedMember> voters() {
        return voters;
    }

    /** Names of all voters but that one. */
    Set<String> otherVoters(String name) {
        return voters.stream()
                .map(v -> v.name)
                .filter(n -> !n.equals(name))
                .collect(Collectors.toSet());
    }
}

package tinlink.cluster.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Rumors that are disseminated with probes and their answers, at most one per router. A rumor is dropped
 * after a number of transmissions proportional to the logarithm of the cluster's size.
 */
final class RumorQueue {
    /** Transmissions of a rumor, as a multiple of the logarithm of the cluster's size. */
    private static final int RETRANSMIT_FACTOR = 3;

    private static final int MAX_RUMORS_PER_MESSAGE = 8;

    private static final class PendingRumor {
        final Rumor rumor;
        int transmissions;

        PendingRumor(Rumor rumor) {
            this.rumor = rumor;
        }
    }

    private final MemberTable members;
    /** Rumors by the name of the router that they are about. */
    private final Map<String, PendingRumor> pending = new LinkedHashMap<>();

    RumorQueue(MemberTable members) {
        this.members = members;
    }

    /** Replaces an earlier rumor about the same router. */
    void add(Rumor rumor) {
        String router = rumor.incarnation().router();
        pending.remove(router);
        pending.put(router, new PendingRumor(rumor));
    }

    void remove(String router) {
        pending.remove(router);
    }

    /**
     * Returns the rumors for a message and counts the transmissions: the sender's rumor about itself, then
     * the receiver's state unless it is alive, so that the receiver can refute it, then the rumors that were
     * sent least often.
     */
    List<Rumor> selectFor(String receiverAddress, Rumor self) {
        List<Rumor> selected = new ArrayList<>();
        selected.add(self);
        for (Member member : members.all()) {
            if (member.address.equals(receiverAddress) && member.state != MemberState.ALIVE) {
                selected.add(member.toRumor(
                        member.suspectedBy.isEmpty()
                                ? ""
                                : member.suspectedBy.iterator().next()));
            }
        }
        List<PendingRumor> candidates = new ArrayList<>(pending.values());
        candidates.sort(Comparator.comparingInt(candidate -> candidate.transmissions));
        int maxTransmissions = RETRANSMIT_FACTOR * members.logClusterSize();
        for (int i = 0; i < candidates.size() && selected.size() < MAX_RUMORS_PER_MESSAGE; i++) {
            PendingRumor candidate = candidates.get(i);
            selected.add(candidate.rumor);
            if (++candidate.transmissions >= maxTransmissions) {
                pending.remove(candidate.rumor.incarnation().router(), candidate);
            }
        }
        return selected;
    }
}

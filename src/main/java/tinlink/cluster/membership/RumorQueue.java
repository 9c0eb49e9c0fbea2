package tinlink.cluster.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Rumors that travel with probes and their answers until each has been sent often enough; one a router. */
final class RumorQueue {
    /** A rumor is sent so many times the logarithm of the cluster's size. */
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
    private final Map<String, PendingRumor> pending = new LinkedHashMap<>();

    RumorQueue(MemberTable members) {
        this.members = members;
    }

    /** Takes the place of an earlier rumor of the same router. */
    void add(Rumor rumor) {
        String router = rumor.incarnation().router();
        pending.remove(router);
        pending.put(router, new PendingRumor(rumor));
    }

    void forget(String router) {
        pending.remove(router);
    }

    /**
     * What travels with a message: who this router is; what it knows of the receiver, where that is not
     * alive, so that it can refute it; the rumors that have been sent least often.
     */
    List<Rumor> take(String receiverAddress, Rumor self) {
        List<Rumor> selected = new ArrayList<>();
        selected.add(self);
        for (Member member : members.all()) {
            if (member.address.equals(receiverAddress) && member.state != MemberState.ALIVE) {
                selected.add(member.rumor(
                        member.suspectedBy.isEmpty()
                                ? ""
                                : member.suspectedBy.iterator().next()));
            }
        }
        List<PendingRumor> candidates = new ArrayList<>(pending.values());
        candidates.sort(Comparator.comparingInt(c -> c.transmissions));
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

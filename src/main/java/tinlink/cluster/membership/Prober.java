package tinlink.cluster.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * The probes of SWIM: one member per round, indirect probes through other members if it does not answer,
 * and probes on request of other members. Messages are added to the outbox. Times are microseconds of the
 * clock whose time the caller passes.
 */
final class Prober {
    /** Interval in rounds between probes of unreachable routers: configured ones or dead members. */
    private static final int UNREACHABLE_PROBE_INTERVAL_ROUNDS = 4;

    private static final class PendingProbe {
        /** The probed member; null if the router at the address is unknown. */
        final Member target;

        final String address;
        final long sequenceNumber;
        /** When indirect probes are requested. */
        final long indirectAtUs;
        /** When the probe fails. */
        final long deadlineUs;

        boolean indirectSent;
        /** Indirect probes requested whose failure the asked member has not reported. */
        int missingNacks;

        PendingProbe(
                Member target,
                String address,
                long sequenceNumber,
                long indirectAtUs,
                long deadlineUs) {
            this.target = target;
            this.address = address;
            this.sequenceNumber = sequenceNumber;
            this.indirectAtUs = indirectAtUs;
            this.deadlineUs = deadlineUs;
        }

        long dueUs() {
            return indirectSent ? deadlineUs : indirectAtUs;
        }
    }

    /** A probe on request of another router. */
    private record IndirectProbe(String requester, long requesterSequenceNumber, long deadlineUs) {}

    private final Membership.Settings settings;
    private final MemberTable members;
    private final LocalHealth health;
    private final Queue<OutgoingMessage> outbox;
    private final List<String> seeds;
    private final SplittableRandom random;
    /** Probes for this router by sequence number; each is removed at its answer or deadline. */
    private final Map<Long, PendingProbe> pendingProbes = new LinkedHashMap<>();
    /**
     * Probes on request of others by sequence number, at most {@code maxMembers}; each is removed at its
     * answer or deadline.
     */
    private final Map<Long, IndirectProbe> indirectProbes = new HashMap<>();
    /** Members that the next rounds probe, shuffled; refilled once empty. */
    private final ArrayDeque<String> probeOrder = new ArrayDeque<>();

    private long lastSequenceNumber;
    private long nextRoundUs = Long.MIN_VALUE;
    private int roundCount;
    private int unreachableCursor;

    /** @param seeds addresses of configured routers, except this one's own */
    Prober(
            Membership.Settings settings,
            MemberTable members,
            LocalHealth health,
            Queue<OutgoingMessage> outbox,
            List<String> seeds,
            SplittableRandom random) {
        this.settings = settings;
        this.members = members;
        this.health = health;
        this.outbox = outbox;
        this.seeds = seeds;
        this.random = random;
    }

    /** Draws the time of the first round, so that routers started together don't probe in step. */
    void start(long nowUs) {
        if (nextRoundUs == Long.MIN_VALUE) {
            nextRoundUs = nowUs + random.nextLong(Math.max(1, settings.probeIntervalUs()));
        }
    }

    /** Sends a probe for the sake of its rumors; its answer is ignored. */
    void announce(String address) {
        outbox.add(new OutgoingMessage(
                OutgoingMessage.Type.PROBE, address, ++lastSequenceNumber, null));
    }

    void onProbe(String requester, long sequenceNumber) {
        outbox.add(new OutgoingMessage(OutgoingMessage.Type.ACK, requester, sequenceNumber, null));
    }

    void onProbeRequest(String requester, long requesterSequenceNumber, String target, long nowUs) {
        if (indirectProbes.size() < settings.maxMembers()) {
            long sequenceNumber = ++lastSequenceNumber;
            indirectProbes.put(
                    sequenceNumber,
                    new IndirectProbe(
                            requester,
                            requesterSequenceNumber,
                            nowUs + settings.probeIntervalUs() / 2));
            outbox.add(
                    new OutgoingMessage(OutgoingMessage.Type.PROBE, target, sequenceNumber, null));
        }
    }

    void onAck(long sequenceNumber) {
        IndirectProbe indirect = indirectProbes.remove(sequenceNumber);
        if (indirect != null) {
            outbox.add(new OutgoingMessage(
                    OutgoingMessage.Type.ACK,
                    indirect.requester(),
                    indirect.requesterSequenceNumber(),
                    null));
            return;
        }
        PendingProbe probe = pendingProbes.remove(sequenceNumber);
        if (probe != null) {
            health.improve();
            if (probe.target != null && members.isCurrent(probe.target)) {
                probe.target.suspectedBy.clear();
            }
        }
    }

    /** The member's report shows that this router is not partitioned off from it. */
    void onNack(long sequenceNumber) {
        PendingProbe probe = pendingProbes.get(sequenceNumber);
        if (probe != null && probe.missingNacks > 0) {
            probe.missingNacks--;
        }
    }

    /**
     * Requests indirect probes of a member that has not answered yet, or ends a probe at its deadline.
     *
     * @param onUnresponsive receives a member that answered neither this router nor the others
     * @return whether a probe was due; at most one is handled per call
     */
    boolean expireProbes(long nowUs, Consumer<Member> onUnresponsive) {
        for (Iterator<PendingProbe> iterator = pendingProbes.values().iterator();
                iterator.hasNext(); ) {
            PendingProbe probe = iterator.next();
            if (!probe.indirectSent && nowUs >= probe.indirectAtUs) {
                probe.indirectSent = true;
                if (probe.target != null) {
                    requestIndirectProbes(probe);
                }
                return true;
            }
            if (nowUs >= probe.deadlineUs) {
                iterator.remove();
                fail(probe, onUnresponsive);
                return true;
            }
        }
        return false;
    }

    private void requestIndirectProbes(PendingProbe probe) {
        for (Member helper : randomAliveMembers(settings.indirectProbes(), probe.target)) {
            probe.missingNacks++;
            outbox.add(new OutgoingMessage(
                    OutgoingMessage.Type.PROBE_REQUEST,
                    helper.address,
                    probe.sequenceNumber,
                    probe.address));
        }
    }

    /**
     * Ends a probe without an answer. A router that receives nothing would declare all others dead; missing
     * answers to its probe requests indicate that the fault is its own, and worsen its local health.
     */
    private void fail(PendingProbe probe, Consumer<Member> onUnresponsive) {
        if (probe.target == null) {
            return; // The address was that of a configured router or a dead member.
        }
        if (probe.missingNacks > 0) {
            health.worsen();
        }
        if (members.isCurrent(probe.target)) {
            onUnresponsive.accept(probe.target);
        }
    }

    /** Reports the failure of one indirect probe that is due; returns whether one was due. */
    boolean expireIndirectProbes(long nowUs) {
        for (Iterator<IndirectProbe> iterator = indirectProbes.values().iterator();
                iterator.hasNext(); ) {
            IndirectProbe indirect = iterator.next();
            if (nowUs >= indirect.deadlineUs()) {
                iterator.remove();
                outbox.add(new OutgoingMessage(
                        OutgoingMessage.Type.NACK,
                        indirect.requester(),
                        indirect.requesterSequenceNumber(),
                        null));
                return true;
            }
        }
        return false;
    }

    private List<Member> randomAliveMembers(int count, Member excluded) {
        List<Member> candidates = members.aliveExcept(excluded);
        List<Member> selected = new ArrayList<>();
        while (selected.size() < count && !candidates.isEmpty()) {
            selected.add(candidates.remove(random.nextInt(candidates.size())));
        }
        return selected;
    }

    boolean isRoundDue(long nowUs) {
        return nowUs >= nextRoundUs;
    }

    /**
     * Probes one member; in every fourth round instead a configured router that is not a serving member, or
     * a dead member, if there is one.
     */
    void startRound(long nowUs) {
        long roundUs = health.scaleTimeout(settings.probeIntervalUs());
        nextRoundUs = nowUs + roundUs;
        roundCount++;
        Member target = null;
        String address = null;
        if (roundCount % UNREACHABLE_PROBE_INTERVAL_ROUNDS == 0 || members.all().isEmpty()) {
            address = nextUnreachableAddress();
        }
        if (address == null) {
            target = nextMember();
            address = target == null ? nextUnreachableAddress() : target.address;
        }
        if (address == null) {
            return;
        }
        PendingProbe probe = new PendingProbe(
                target, address, ++lastSequenceNumber, nowUs + roundUs / 2, nextRoundUs);
        pendingProbes.put(probe.sequenceNumber, probe);
        outbox.add(new OutgoingMessage(
                OutgoingMessage.Type.PROBE, address, probe.sequenceNumber, null));
    }

    /** Returns the next member in the shuffled order; null if no member is serving. */
    private Member nextMember() {
        while (true) {
            if (probeOrder.isEmpty()) {
                refillProbeOrder();
                if (probeOrder.isEmpty()) {
                    return null;
                }
            }
            Member member = members.get(probeOrder.poll());
            if (member != null && member.state.isServing()) {
                return member;
            }
        }
    }

    /**
     * Returns the next address, in turn, of the configured routers that are not serving members and of the
     * dead members, which may become reachable again after a network partition; null if there are none.
     */
    private String nextUnreachableAddress() {
        List<String> addresses = new ArrayList<>();
        for (String seed : seeds) {
            if (members.all().stream()
                    .noneMatch(member -> member.address.equals(seed) && member.state.isServing())) {
                addresses.add(seed);
            }
        }
        for (Member member : members.all()) {
            if (member.state == MemberState.DEAD && !addresses.contains(member.address)) {
                addresses.add(member.address);
            }
        }
        return addresses.isEmpty()
                ? null
                : addresses.get(Math.floorMod(unreachableCursor++, addresses.size()));
    }

    private void refillProbeOrder() {
        List<String> routers = members.servingRouters();
        for (int i = routers.size() - 1; i > 0; i--) {
            int other = random.nextInt(i + 1);
            String swapped = routers.get(i);
            routers.set(i, routers.get(other));
            routers.set(other, swapped);
        }
        probeOrder.addAll(routers);
    }

    /** Returns when a pending or indirect probe is next due; the next round is not included. */
    long nextProbeDueUs() {
        long dueUs = Long.MAX_VALUE;
        for (PendingProbe probe : pendingProbes.values()) {
            dueUs = Math.min(dueUs, probe.dueUs());
        }
        for (IndirectProbe indirect : indirectProbes.values()) {
            dueUs = Math.min(dueUs, indirect.deadlineUs());
        }
        return dueUs;
    }

    long nextRoundUs() {
        return nextRoundUs;
    }
}

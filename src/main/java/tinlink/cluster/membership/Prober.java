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
 * Probes: one member a round, through others where it is silent, and on behalf of others that ask for it.
 * What is to be sent goes to the outbox; times are microseconds of the clock that is given with each call.
 */
final class Prober {
    /** Configured routers that never answer are probed again, in turn with the members. */
    private static final int SEED_PROBE_INTERVAL = 4;

    private static final class PendingProbe {
        /** Null where it is not known who answers there. */
        final Member target;

        final String address;
        final long sequenceNumber;
        final long indirectAtUs;
        final long deadlineUs;
        boolean indirectSent;
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

    /** A probe made for another router. */
    private record IndirectProbe(String requester, long requesterSequenceNumber, long deadlineUs) {}

    private final Membership.Settings settings;
    private final MemberTable members;
    private final LocalHealth health;
    private final Queue<OutgoingMessage> outbox;
    private final List<String> seeds;
    private final SplittableRandom random;
    /** By sequence number; each ends with its answer or its time. */
    private final Map<Long, PendingProbe> pendingProbes = new LinkedHashMap<>();
    /** Each ends with its answer or its time. */
    private final Map<Long, IndirectProbe> indirectProbes = new HashMap<>();
    /** Whom the next rounds probe; filled again once it is empty. */
    private final ArrayDeque<String> probeOrder = new ArrayDeque<>();

    private long lastSequenceNumber;
    private long nextRoundUs = Long.MIN_VALUE;
    private int roundCount;
    private int seedCursor;

    /** @param seeds addresses of configured routers, without this one's own */
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

    /** The first round is at a time by chance, so that routers started together don't probe together. */
    void start(long nowUs) {
        if (nextRoundUs == Long.MIN_VALUE) {
            nextRoundUs = nowUs + random.nextLong(Math.max(1, settings.probeIntervalUs()));
        }
    }

    /** A probe whose answer is not awaited. */
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

    /** A member has found the target silent too: that member answers, so this router is not cut off. */
    void onNack(long sequenceNumber) {
        PendingProbe probe = pendingProbes.get(sequenceNumber);
        if (probe != null && probe.missingNacks > 0) {
            probe.missingNacks--;
        }
    }

    /**
     * Has others probe a member that is silent, or gives up on it.
     *
     * @param onSilent is given the member that nobody has reached
     * @return whether one probe was due
     */
    boolean expireProbes(long nowUs, Consumer<Member> onSilent) {
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
                fail(probe, onSilent);
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
     * Danger: a router that receives nothing takes all others for dead. Members that don't answer its probe
     * requests either tell it so.
     */
    private void fail(PendingProbe probe, Consumer<Member> onSilent) {
        if (probe.target == null) {
            return; // A configured router that has never answered.
        }
        if (probe.missingNacks > 0) {
            health.worsen();
        }
        if (members.isCurrent(probe.target)) {
            onSilent.accept(probe.target);
        }
    }

    /** Gives up one probe for another router that is due; tells whether there was one. */
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
     * One member is probed; now and then a configured router that is no member, or one that counts as dead.
     */
    void startRound(long nowUs) {
        long roundUs = health.stretch(settings.probeIntervalUs());
        nextRoundUs = nowUs + roundUs;
        roundCount++;
        Member target = null;
        String address = null;
        if (roundCount % SEED_PROBE_INTERVAL == 0 || members.all().isEmpty()) {
            address = nextUnconnectedAddress();
        }
        if (address == null) {
            target = nextMember();
            address = target == null ? nextUnconnectedAddress() : target.address;
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

    /** Null where no member is serving. */
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
     * The next in turn of the configured routers that are no members, and the members that count as dead: a
     * cut may heal. Null where there is none.
     */
    private String nextUnconnectedAddress() {
        List<String> addresses = new ArrayList<>();
        for (String seed : seeds) {
            if (members.all().stream()
                    .noneMatch(m -> m.address.equals(seed) && m.state.isServing())) {
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
                : addresses.get(Math.floorMod(seedCursor++, addresses.size()));
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

    /** When a probe is next due to be looked at, rounds not counted. */
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

package tinlink.cluster.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Which routers there are, and which of them answer, as this one knows it. Inputs only update what
 * is known; decisions are pulled until there is none. Times are microseconds of one clock that
 * never goes back.
 *
 * <p>Source: A. Das, I. Gupta and A. Motivala, "SWIM" (DSN 2002): one member is probed a round,
 * through others where it is silent, and what is found travels with probes and answers. A. Dadgar,
 * J. Phillips and J. Currey, "Lifeguard" (2018): who finds many silent doubts itself first, a
 * suspicion ends the sooner the more have confirmed it, and a suspect is told at the next word with
 * it. Own: the incarnations of one router, told apart ({@link Incarnation}), and a bound on all tables.
 */
public final class Membership {
    /** A rumor is told so many times the logarithm of the members. */
    private static final int RETRANSMIT_FACTOR = 3;

    private static final int MAX_RUMORS_PER_MESSAGE = 8;
    private static final int MAX_LOCAL_HEALTH_MULTIPLIER = 8;
    /**
     * A suspicion lasts so many rounds, times the logarithm of the members, once it has been
     * confirmed.
     */
    private static final double MIN_SUSPICION_ROUNDS = 4;
    /** And so many times longer before. */
    private static final double MAX_SUSPICION_FACTOR = 4;

    private static final int MAX_CONFIRMATIONS = 3;
    /**
     * Who is dead or has left is known for so many suspicions more, so that old rumors don't bring
     * it back.
     */
    private static final int RETENTION_SUSPICIONS = 20;
    /**
     * Danger: a rumor can't have been of an refutation count that its incarnation has not reached; a liar's
     * may be.
     */
    private static final long MAX_REFUTATION_COUNT = 1L << 40;
    /** Named routers that never answer are asked again, in turn with the members. */
    private static final int SEED_PROBE_INTERVAL = 4;

    /**
     * The pace of probes.
     *
     * @param probeIntervalUs between two probes; an answer is awaited for half of it, then others are asked
     * @param indirectProbes who are asked to probe a silent one
     * @param maxMembers members that are known at a time
     */
    public record Settings(long probeIntervalUs, int indirectProbes, int maxMembers) {}

    /** What becomes of decisions. */
    public interface Handler {
        /**
         * Sends a probe.
         *
         * @param address where it is reached; the word goes there whoever answers
         */
        void sendProbe(String address, long sequenceNumber, List<Rumor> rumors);

        void sendAck(String address, long sequenceNumber, List<Rumor> rumors);

        /** Asks the first to probe the second. */
        void sendProbeRequest(
                String address, long sequenceNumber, String target, List<Rumor> rumors);

        /** It was asked to probe another one, which is silent; so the helper at least is heard. */
        void sendNack(String address, long sequenceNumber, List<Rumor> rumors);

        /** A member's incarnation or state has changed, or it has shown a twin. */
        void onMemberChanged(Member member);

        /** Of this process: another incarnation of this router is about. */
        void onSelfConflict(Incarnation.Relation relation, Incarnation other);

        void scheduleWakeUp(long atUs);
    }

    private static final class Probe {
        final Member target;
        final String address;
        final long sequenceNumber;
        final long indirectAtUs;
        final long deadlineUs;
        boolean indirectSent;
        int missingNacks;

        Probe(
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
    }

    /** A probe made for another router. */
    private record IndirectProbe(String requester, long requesterSequenceNumber, long deadlineUs) {}

    private static final class PendingRumor {
        final Rumor rumor;
        int transmissions;

        PendingRumor(Rumor rumor) {
            this.rumor = rumor;
        }
    }

    private record OutgoingMessage(int type, String address, long sequenceNumber, String target) {}

    private static final int PROBE = 0;
    private static final int ACK = 1;
    private static final int PROBE_REQUEST = 2;
    private static final int NACK = 3;

    private final Settings settings;
    private final SplittableRandom random;
    private final Incarnation self;
    private final String selfAddress;
    private final List<String> seeds;
    private long refutationCount = 1;
    /**
     * By name; dead ones and those that left go after a time, and first where there are too many.
     */
    private final Map<String, Member> members = new LinkedHashMap<>();
    /** Emptied as they have been told often enough; one a member. */
    private final Map<String, PendingRumor> pendingRumors = new LinkedHashMap<>();
    /** Whom the rounds go through; filled anew once it is empty. */
    private final ArrayDeque<String> probeOrder = new ArrayDeque<>();

    private int seedCursor;
    private int roundCount;
    /** Probes under way, by number; each ends with its answer or its time. */
    private final Map<Long, Probe> pendingProbes = new LinkedHashMap<>();
    /** Each ends with its answer or its time. */
    private final Map<Long, IndirectProbe> indirectProbes = new HashMap<>();
    /** Emptied as they are pulled. */
    private final ArrayDeque<OutgoingMessage> outbox = new ArrayDeque<>();

    private final ArrayDeque<Runnable> events = new ArrayDeque<>();
    private Handler eventHandler;
    private long lastSequenceNumber;
    private long clockUs;
    private long nextRoundUs = Long.MIN_VALUE;
    private long wakeUpAtUs = Long.MAX_VALUE;
    /** How much this router doubts itself: it stretches its own patience so many times more. */
    private int localHealthMultiplier;

    private boolean leaving;

    /** @param seeds addresses of some routers to begin with; this one's own may be among them */
    public Membership(
            Incarnation self,
            String selfAddress,
            List<String> seeds,
            Settings settings,
            SplittableRandom random) {
        this.self = self;
        this.selfAddress = selfAddress;
        this.seeds = seeds.stream().filter(seed -> !seed.equals(selfAddress)).toList();
        this.settings = settings;
        this.random = random;
    }

    // ---- What is known. ----

    public Collection<Member> members() {
        return members.values();
    }

    public Member member(String name) {
        return members.get(name);
    }

    public int localHealthMultiplier() {
        return localHealthMultiplier;
    }

    /** Routers that serve as far as is known, this one counted. */
    public int servingCount() {
        return 1
                + (int) members.values().stream()
                        .filter(member -> member.state.isServing())
                        .count();
    }

    public Rumor self() {
        return new Rumor(
                self,
                refutationCount,
                leaving ? MemberState.LEFT : MemberState.ALIVE,
                selfAddress,
                "");
    }

    private int logClusterSize() {
        return Math.max(1, (int) Math.ceil(Math.log(members.size() + 2) / Math.log(2)));
    }

    // ---- Inputs. ----

    public void advanceClock(long nowUs) {
        clockUs = nowUs;
        if (nextRoundUs == Long.MIN_VALUE) {
            nextRoundUs = clockUs + random.nextLong(Math.max(1, settings.probeIntervalUs()));
        }
    }

    /** Somebody there probes us; what travelled with it is told before. */
    public void onProbe(String requester, long requesterSequenceNumber) {
        enqueue(new OutgoingMessage(ACK, requester, requesterSequenceNumber, null));
    }

    public void onProbeRequest(String requester, long requesterSequenceNumber, String target) {
        if (indirectProbes.size() < settings.maxMembers()) {
            long sequenceNumber = ++lastSequenceNumber;
            indirectProbes.put(
                    sequenceNumber,
                    new IndirectProbe(
                            requester,
                            requesterSequenceNumber,
                            clockUs + settings.probeIntervalUs() / 2));
            enqueue(new OutgoingMessage(PROBE, target, sequenceNumber, null));
        }
    }

    public void onAck(long sequenceNumber) {
        IndirectProbe indirectProbe = indirectProbes.remove(sequenceNumber);
        if (indirectProbe != null) {
            enqueue(new OutgoingMessage(
                    ACK, indirectProbe.requester(), indirectProbe.requesterSequenceNumber(), null));
            return;
        }
        Probe probe = pendingProbes.remove(sequenceNumber);
        if (probe != null) {
            localHealthMultiplier = Math.max(0, localHealthMultiplier - 1);
            if (probe.target != null && members.get(probe.target.router()) == probe.target) {
                probe.target.suspectedBy.clear();
            }
        }
    }

    /** A helper has found it silent too: the helper is heard, so this router hears. */
    public void onNack(long sequenceNumber) {
        Probe probe = pendingProbes.get(sequenceNumber);
        if (probe != null && probe.missingNacks > 0) {
            probe.missingNacks--;
        }
    }

    public void onRumors(List<Rumor> rumors) {
        rumors.forEach(this::onRumors);
    }

    /** What a rumor says is taken in where it outdoes what is held. */
    public void onRumors(Rumor rumor) {
        if (rumor.refutationCount() < 0 || rumor.refutationCount() > MAX_REFUTATION_COUNT) {
            return;
        }
        if (rumor.incarnation().router().equals(self.router())) {
            onRumorAboutSelf(rumor);
            return;
        }
        Member member = members.get(rumor.incarnation().router());
        if (member == null) {
            if (rumor.state().isServing() && ensureCapacity()) {
                Member newMember = new Member(
                        rumor.incarnation(),
                        rumor.refutationCount(),
                        rumor.state(),
                        rumor.address(),
                        clockUs);
                members.put(newMember.router(), newMember);
                recordSuspicion(newMember, rumor);
                disseminate(newMember.rumor(rumor.suspectedBy()));
                notifyChanged(newMember);
            }
            return;
        }
        switch (member.incarnation.relationTo(rumor.incarnation())) {
            case LATER -> {
                member.incarnation = rumor.incarnation();
                member.duplicate = null;
                member.suspectedBy.clear();
                applyRumor(member, rumor);
            }
            case SAME -> {
                boolean supersedes = rumor.refutationCount() > member.refutationCount
                        || (rumor.refutationCount() == member.refutationCount
                                && rumor.state().compareTo(member.state) > 0);
                // Danger: a dead incarnation stays dead; what returns says a higher refutation
                // count of its
                // own.
                if (supersedes
                        && (member.state != MemberState.LEFT
                                || rumor.refutationCount() > member.refutationCount)) {
                    applyRumor(member, rumor);
                } else if (rumor.refutationCount() == member.refutationCount
                        && rumor.state() == MemberState.SUSPECT
                        && member.state == MemberState.SUSPECT
                        && recordSuspicion(member, rumor)) {
                    disseminate(rumor);
                }
            }
            case TWIN -> {
                // Neither is believed more than the other; whoever asks is told of both.
                if (!rumor.incarnation().equals(member.duplicate)) {
                    member.duplicate = rumor.incarnation();
                    disseminate(rumor);
                    notifyChanged(member);
                }
            }
            default -> {
                // An earlier incarnation: what is said of it is over. The one that says so is told
                // what is
                // held.
                disseminate(member.rumor(""));
            }
        }
    }

    private void applyRumor(Member member, Rumor rumor) {
        boolean stateChanged = member.state != rumor.state() || member.refutationCount == 0;
        member.refutationCount = rumor.refutationCount();
        member.state = rumor.state();
        member.address = rumor.state() == MemberState.ALIVE ? rumor.address() : member.address;
        if (member.state != MemberState.SUSPECT || stateChanged) {
            member.suspectedBy.clear();
        }
        recordSuspicion(member, rumor);
        member.stateSinceUs = stateChanged ? clockUs : member.stateSinceUs;
        disseminate(member.rumor(rumor.suspectedBy()));
        notifyChanged(member);
    }

    private static boolean recordSuspicion(Member member, Rumor rumor) {
        return rumor.state() == MemberState.SUSPECT
                && !rumor.suspectedBy().isEmpty()
                && member.suspectedBy.size() < MAX_CONFIRMATIONS + 1
                && member.suspectedBy.add(rumor.suspectedBy());
    }

    /** Danger: names made up by a liar, or a fleet larger than was meant, would fill the heap. */
    private boolean ensureCapacity() {
        if (members.size() < settings.maxMembers()) {
            return true;
        }
        Member evicted = members.values().stream()
                .filter(member -> !member.state.isServing())
                .min(Comparator.comparingLong(member -> member.stateSinceUs))
                .orElse(null);
        if (evicted != null) {
            members.remove(evicted.router());
        }
        return evicted != null;
    }

    private void onRumorAboutSelf(Rumor rumor) {
        Incarnation.Relation relation = self.relationTo(rumor.incarnation());
        if (relation != Incarnation.Relation.SAME) {
            if (relation != Incarnation.Relation.EARLIER) {
                events.add(() -> eventHandler.onSelfConflict(relation, rumor.incarnation()));
            }
            disseminate(self());
            return;
        }
        if (rumor.state() != MemberState.ALIVE
                && rumor.refutationCount() >= refutationCount
                && !leaving) {
            refutationCount = rumor.refutationCount() + 1;
            // Somebody found this router silent: it may be slow itself.
            localHealthMultiplier =
                    Math.min(MAX_LOCAL_HEALTH_MULTIPLIER, localHealthMultiplier + 1);
            disseminate(self());
        } else if (rumor.refutationCount() > refutationCount) {
            refutationCount = rumor.refutationCount() + 1;
            disseminate(self());
        }
    }

    /** Says to all that this process ends. */
    public void leave() {
        leaving = true;
        refutationCount++;
        disseminate(self());
        int notified = 0;
        for (Member member : members.values()) {
            if (member.state.isServing()
                    && notified++ < settings.indirectProbes() + logClusterSize()) {
                enqueue(new OutgoingMessage(PROBE, member.address, ++lastSequenceNumber, null));
            }
        }
    }

    private void notifyChanged(Member member) {
        events.add(() -> eventHandler.onMemberChanged(member));
    }

    private void disseminate(Rumor rumor) {
        pendingRumors.remove(rumor.incarnation().router());
        pendingRumors.put(rumor.incarnation().router(), new PendingRumor(rumor));
    }

    private void enqueue(OutgoingMessage message) {
        outbox.add(message);
    }

    // ---- Decisions. ----

    /** One decision; false when there is none until the time that was last woken for. */
    public boolean decide(Handler handler) {
        eventHandler = handler;
        if (!events.isEmpty()) {
            events.poll().run();
            return true;
        }
        if (!outbox.isEmpty()) {
            deliver(outbox.poll(), handler);
            return true;
        }
        if (expireProbes() || expireStates() || expireIndirectProbes()) {
            return true;
        }
        if (clockUs >= nextRoundUs && !leaving) {
            startProbeRound();
            return true;
        }
        long dueUs = nextWakeUpUs();
        if (dueUs < wakeUpAtUs || wakeUpAtUs <= clockUs) {
            wakeUpAtUs = dueUs;
            handler.scheduleWakeUp(dueUs);
        }
        return false;
    }

    private long nextWakeUpUs() {
        long dueUs = leaving ? Long.MAX_VALUE : nextRoundUs;
        for (Probe probe : pendingProbes.values()) {
            dueUs = Math.min(dueUs, probe.indirectSent ? probe.deadlineUs : probe.indirectAtUs);
        }
        for (Member member : members.values()) {
            dueUs = member.state == MemberState.ALIVE
                    ? dueUs
                    : Math.min(dueUs, stateExpiresAtUs(member));
        }
        for (IndirectProbe indirectProbe : indirectProbes.values()) {
            dueUs = Math.min(dueUs, indirectProbe.deadlineUs());
        }
        return Math.max(dueUs, clockUs + 1);
    }

    private long stateExpiresAtUs(Member member) {
        return member.stateSinceUs
                + (member.state == MemberState.SUSPECT
                        ? suspicionTimeoutUs(member)
                        : (long) (RETENTION_SUSPICIONS
                                * MAX_SUSPICION_FACTOR
                                * MIN_SUSPICION_ROUNDS
                                * logClusterSize()
                                * settings.probeIntervalUs()));
    }

    /** Shorter the more have found it silent; longer the more this router doubts itself. */
    private long suspicionTimeoutUs(Member member) {
        double minUs = MIN_SUSPICION_ROUNDS * logClusterSize() * settings.probeIntervalUs();
        int expectedConfirmations = Math.min(MAX_CONFIRMATIONS, Math.max(0, servingCount() - 3));
        double confirmedFraction = expectedConfirmations == 0
                ? 1
                : Math.log(Math.max(0, member.suspectedBy.size() - 1) + 1.0)
                        / Math.log(expectedConfirmations + 1.0);
        double maxUs = MAX_SUSPICION_FACTOR * minUs;
        return ((long) Math.max(minUs, maxUs - (maxUs - minUs) * confirmedFraction))
                * (1 + localHealthMultiplier);
    }

    private boolean expireStates() {
        for (Iterator<Member> iterator = members.values().iterator(); iterator.hasNext(); ) {
            Member member = iterator.next();
            if (member.state == MemberState.ALIVE || clockUs < stateExpiresAtUs(member)) {
                continue;
            }
            if (member.state == MemberState.SUSPECT) {
                changeState(member, MemberState.DEAD);
            } else {
                iterator.remove();
                pendingRumors.remove(member.router());
            }
            return true;
        }
        return false;
    }

    private void changeState(Member member, MemberState newState) {
        member.state = newState;
        member.stateSinceUs = clockUs;
        if (newState == MemberState.SUSPECT) {
            member.suspectedBy.clear();
            member.suspectedBy.add(self.router());
        }
        disseminate(member.rumor(self.router()));
        notifyChanged(member);
    }

    private boolean expireProbes() {
        for (Iterator<Probe> iterator = pendingProbes.values().iterator(); iterator.hasNext(); ) {
            Probe probe = iterator.next();
            if (!probe.indirectSent && clockUs >= probe.indirectAtUs) {
                probe.indirectSent = true;
                if (probe.target != null) {
                    for (Member helper :
                            randomAliveMembers(settings.indirectProbes(), probe.target)) {
                        probe.missingNacks++;
                        outbox.add(new OutgoingMessage(
                                PROBE_REQUEST,
                                helper.address,
                                probe.sequenceNumber,
                                probe.address));
                    }
                }
                return true;
            }
            if (clockUs >= probe.deadlineUs) {
                iterator.remove();
                probeFailed(probe);
                return true;
            }
        }
        return false;
    }

    /**
     * Danger: a router that hears nobody takes all others for dead. Helpers that are silent too
     * tell it so.
     */
    private void probeFailed(Probe probe) {
        if (probe.target == null) {
            return; // A named router that has never been heard.
        }
        localHealthMultiplier = Math.min(
                MAX_LOCAL_HEALTH_MULTIPLIER,
                localHealthMultiplier + (probe.missingNacks > 0 ? 1 : 0));
        Member member = members.get(probe.target.router());
        if (member == probe.target && member.state == MemberState.ALIVE) {
            changeState(member, MemberState.SUSPECT);
        } else if (member == probe.target
                && member.state == MemberState.SUSPECT
                && member.suspectedBy.size() <= MAX_CONFIRMATIONS
                && member.suspectedBy.add(self.router())) {
            disseminate(member.rumor(self.router()));
        }
    }

    private boolean expireIndirectProbes() {
        for (Iterator<IndirectProbe> iterator = indirectProbes.values().iterator();
                iterator.hasNext(); ) {
            IndirectProbe indirectProbe = iterator.next();
            if (clockUs >= indirectProbe.deadlineUs()) {
                iterator.remove();
                enqueue(new OutgoingMessage(
                        NACK,
                        indirectProbe.requester(),
                        indirectProbe.requesterSequenceNumber(),
                        null));
                return true;
            }
        }
        return false;
    }

    private List<Member> randomAliveMembers(int count, Member excluded) {
        List<Member> candidates = new ArrayList<>();
        for (Member member : members.values()) {
            if (member != excluded && member.state == MemberState.ALIVE) {
                candidates.add(member);
            }
        }
        List<Member> selected = new ArrayList<>();
        while (selected.size() < count && !candidates.isEmpty()) {
            selected.add(candidates.remove(random.nextInt(candidates.size())));
        }
        return selected;
    }

    /**
     * One member is probed; now and then a named router that is no member, or one held for dead.
     */
    private void startProbeRound() {
        long roundUs = settings.probeIntervalUs() * (1 + localHealthMultiplier);
        nextRoundUs = clockUs + roundUs;
        roundCount++;
        String address = null;
        Member target = null;
        if (roundCount % SEED_PROBE_INTERVAL == 0 || members.isEmpty()) {
            address = nextUnconnectedAddress();
        }
        while (address == null) {
            if (probeOrder.isEmpty()) {
                refillProbeOrder();
                if (probeOrder.isEmpty()) {
                    address = nextUnconnectedAddress();
                    if (address == null) {
                        return;
                    }
                    break;
                }
            }
            Member member = members.get(probeOrder.poll());
            if (member != null && member.state.isServing()) {
                target = member;
                address = member.address;
            }
        }
        Probe probe = new Probe(
                target, address, ++lastSequenceNumber, clockUs + roundUs / 2, nextRoundUs);
        pendingProbes.put(probe.sequenceNumber, probe);
        outbox.add(new OutgoingMessage(PROBE, address, probe.sequenceNumber, null));
    }

    /**
     * A named router that is no member as far as is known, or a member that is held for dead: a cut
     * may heal.
     */
    private String nextUnconnectedAddress() {
        List<String> addresses = new ArrayList<>();
        for (String seed : seeds) {
            if (members.values().stream()
                    .noneMatch(member -> member.address.equals(seed) && member.state.isServing())) {
                addresses.add(seed);
            }
        }
        for (Member member : members.values()) {
            if (member.state == MemberState.DEAD && !addresses.contains(member.address)) {
                addresses.add(member.address);
            }
        }
        return addresses.isEmpty()
                ? null
                : addresses.get(Math.floorMod(seedCursor++, addresses.size()));
    }

    private void refillProbeOrder() {
        List<String> routers = new ArrayList<>();
        for (Member member : members.values()) {
            if (member.state.isServing()) {
                routers.add(member.router());
            }
        }
        for (int i = routers.size() - 1; i > 0; i--) {
            int j = random.nextInt(i + 1);
            String swapped = routers.get(i);
            routers.set(i, routers.get(j));
            routers.set(j, swapped);
        }
        probeOrder.addAll(routers);
    }

    private void deliver(OutgoingMessage message, Handler handler) {
        List<Rumor> rumors = rumorsFor(message.address);
        switch (message.type) {
            case PROBE -> handler.sendProbe(message.address, message.sequenceNumber, rumors);
            case ACK -> handler.sendAck(message.address, message.sequenceNumber, rumors);
            case PROBE_REQUEST ->
                handler.sendProbeRequest(
                        message.address, message.sequenceNumber, message.target, rumors);
            default -> handler.sendNack(message.address, message.sequenceNumber, rumors);
        }
    }

    /**
     * What travels along: who we are; what is held of the receiver, where it stands ill; the least
     * told rest.
     */
    private List<Rumor> rumorsFor(String address) {
        List<Rumor> selected = new ArrayList<>();
        selected.add(self());
        for (Member member : members.values()) {
            if (member.address.equals(address) && member.state != MemberState.ALIVE) {
                selected.add(member.rumor(
                        member.suspectedBy.isEmpty()
                                ? ""
                                : member.suspectedBy.iterator().next()));
            }
        }
        List<PendingRumor> candidates = new ArrayList<>(pendingRumors.values());
        candidates.sort(Comparator.comparingInt(candidate -> candidate.transmissions));
        int maxTransmissions = RETRANSMIT_FACTOR * logClusterSize();
        for (int i = 0; i < candidates.size() && selected.size() < MAX_RUMORS_PER_MESSAGE; i++) {
            PendingRumor candidate = candidates.get(i);
            selected.add(candidate.rumor);
            if (++candidate.transmissions >= maxTransmissions) {
                pendingRumors.remove(candidate.rumor.incarnation().router(), candidate);
            }
        }
        return selected;
    }
}

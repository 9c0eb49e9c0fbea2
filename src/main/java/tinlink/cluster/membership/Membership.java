package tinlink.cluster.membership;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Iterator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Group membership and failure detection: the routers that this one knows, and their states. The methods
 * for input only update state; the caller then calls {@link #decide} until it returns false, which sends
 * messages and notifies the handler. Times are microseconds of one monotonic clock.
 *
 * <p>Source: A. Das, I. Gupta and A. Motivala, "SWIM" (DSN 2002): each round probes one member, indirectly
 * through others if it does not answer, and state changes are disseminated with probes and their answers.
 * A. Dadgar, J. Phillips and J. Currey, "Lifeguard" (2018): a router that gets few answers first suspects
 * itself, each confirmation shortens a suspicion, and the next message to a suspect carries the suspicion.
 * Added here: incarnations of one router are distinguished ({@link Incarnation}), and all tables are bounded.
 */
public final class Membership {
    /**
     * Rumors with a higher refutation count are discarded: no incarnation refutes that often, but a forged
     * rumor may carry any number.
     */
    private static final long MAX_REFUTATION_COUNT = 1L << 40;

    /**
     * Intervals and bounds.
     *
     * @param probeIntervalUs interval between two rounds; indirect probes are sent after half of it
     *     without an answer
     * @param indirectProbes number of members asked to probe a member that does not answer
     * @param maxMembers maximum number of members known at a time
     */
    public record Settings(long probeIntervalUs, int indirectProbes, int maxMembers) {}

    /** Carries out the decisions; called only within {@link #decide}. */
    public interface Handler {
        /**
         * Sends a probe.
         *
         * @param address the recipient's address; which router answers there may be unknown
         */
        void sendProbe(String address, long sequenceNumber, List<Rumor> rumors);

        /** Acknowledges a probe. */
        void sendAck(String address, long sequenceNumber, List<Rumor> rumors);

        /** Asks the router at {@code address} to probe the one at {@code target}. */
        void sendProbeRequest(
                String address, long sequenceNumber, String target, List<Rumor> rumors);

        /**
         * Answers a probe request whose target has not answered, so that the requester knows that its own
         * connection to this router works.
         */
        void sendNack(String address, long sequenceNumber, List<Rumor> rumors);

        /** Called when a member's incarnation or state changes, or a duplicate of it is found. */
        void onMemberChanged(Member member);

        /** Called when a rumor names a later or duplicate incarnation of this router. */
        void onSelfConflict(Incarnation.Relation relation, Incarnation other);

        /** Asks for a call of {@link #decide} at that time. */
        void scheduleWakeUp(long atUs);
    }

    private final Settings settings;
    private final Incarnation self;
    private final String selfAddress;
    private final MemberTable members;
    private final RumorQueue rumors;
    private final LocalHealth health = new LocalHealth();
    private final SuspicionTimers timers;
    private final Prober prober;
    /** Messages to send; emptied by {@link #decide}. */
    private final ArrayDeque<OutgoingMessage> outbox = new ArrayDeque<>();

    /** Notifications for the handler; emptied by {@link #decide}. */
    private final ArrayDeque<Consumer<Handler>> events = new ArrayDeque<>();

    private long refutationCount = 1;
    private long clockUs;
    private long wakeUpAtUs = Long.MAX_VALUE;
    private boolean leaving;

    /**
     * Creates a membership without members; the first call of {@link #advanceClock} starts the probes.
     *
     * @param selfAddress the address that this router advertises to others
     * @param seeds addresses of the first routers to contact; this router's own address may be among them
     * @param random draws the order of the probes and the time of the first one
     */
    public Membership(
            Incarnation self,
            String selfAddress,
            List<String> seeds,
            Settings settings,
            SplittableRandom random) {
        this.self = self;
        this.selfAddress = selfAddress;
        this.settings = settings;
        members = new MemberTable(settings.maxMembers());
        rumors = new RumorQueue(members);
        timers = new SuspicionTimers(members, health, settings.probeIntervalUs());
        List<String> others =
                seeds.stream().filter(seed -> !seed.equals(selfAddress)).toList();
        prober = new Prober(settings, members, health, outbox, others, random);
    }

    /** Returns a live view of the other routers that are known. */
    public Collection<Member> members() {
        return members.all();
    }

    /** Returns the router's member, or null if the router is unknown. */
    public Member member(String router) {
        return members.get(router);
    }

    /** Returns Lifeguard's local health multiplier; 0 if there is no sign of a problem of this router. */
    public int localHealthMultiplier() {
        return health.multiplier();
    }

    /** Returns the number of routers that are alive or suspect, this one included. */
    public int servingCount() {
        return members.servingCount();
    }

    /** Returns this router's rumor about itself, which is the first of each message. */
    public Rumor selfRumor() {
        MemberState state = leaving ? MemberState.LEFT : MemberState.ALIVE;
        return new Rumor(self, refutationCount, state, selfAddress, "");
    }

    /** Sets the clock; called before the inputs of a turn of the event loop. */
    public void advanceClock(long nowUs) {
        clockUs = nowUs;
        prober.start(nowUs);
    }

    /** Handles a probe of this router; the message's rumors are passed to {@link #onRumors} first. */
    public void onProbe(String requester, long sequenceNumber) {
        prober.onProbe(requester, sequenceNumber);
    }

    /** Handles a request of the router at {@code requester} to probe the one at {@code target}. */
    public void onProbeRequest(String requester, long sequenceNumber, String target) {
        prober.onProbeRequest(requester, sequenceNumber, target, clockUs);
    }

    /** Handles the answer to a probe by this router, for itself or on request of another router. */
    public void onAck(long sequenceNumber) {
        prober.onAck(sequenceNumber);
    }

    /** Handles the report of a member that the target of a probe request did not answer it either. */
    public void onNack(long sequenceNumber) {
        prober.onNack(sequenceNumber);
    }

    /** Handles the rumors of a message. */
    public void onRumors(List<Rumor> received) {
        received.forEach(this::onRumor);
    }

    /** Applies a rumor if it supersedes the known state of its router. */
    public void onRumor(Rumor rumor) {
        if (rumor.refutationCount() < 0 || rumor.refutationCount() > MAX_REFUTATION_COUNT) {
            return;
        }
        if (rumor.incarnation().router().equals(self.router())) {
            onRumorAboutSelf(rumor);
            return;
        }
        Member member = members.get(rumor.incarnation().router());
        if (member == null) {
            addMember(rumor);
            return;
        }
        switch (member.incarnation.relationTo(rumor.incarnation())) {
            case LATER -> {
                member.incarnation = rumor.incarnation();
                member.duplicate = null;
                member.suspectedBy.clear();
                apply(rumor, member);
            }
            case SAME -> onRumorOfSameIncarnation(rumor, member);
            case DUPLICATE -> {
                // Neither process takes precedence: both stay known, and are reported in admission
                // responses.
                if (!rumor.incarnation().equals(member.duplicate)) {
                    member.duplicate = rumor.incarnation();
                    rumors.add(rumor);
                    notifyChanged(member);
                }
            }
            case EARLIER ->
                // The rumor is about an earlier process of the router; spreading the newer
                // incarnation corrects the sender.
                rumors.add(member.toRumor(""));
        }
    }

    private void addMember(Rumor rumor) {
        if (rumor.state().isServing() && members.ensureCapacity()) {
            Member member = new Member(
                    rumor.incarnation(),
                    rumor.refutationCount(),
                    rumor.state(),
                    rumor.address(),
                    clockUs);
            members.add(member);
            recordSuspicion(member, rumor);
            rumors.add(member.toRumor(rumor.suspectedBy()));
            notifyChanged(member);
        }
    }

    private void onRumorOfSameIncarnation(Rumor rumor, Member member) {
        boolean refuted = rumor.refutationCount() > member.refutationCount;
        boolean supersedes = refuted
                || (rumor.refutationCount() == member.refutationCount
                        && rumor.state().compareTo(member.state) > 0);
        // An incarnation that has left stays so unless it refutes that itself.
        if (supersedes && (member.state != MemberState.LEFT || refuted)) {
            apply(rumor, member);
        } else if (rumor.refutationCount() == member.refutationCount
                && rumor.state() == MemberState.SUSPECT
                && member.state == MemberState.SUSPECT
                && recordSuspicion(member, rumor)) {
            rumors.add(rumor);
        }
    }

    private void apply(Rumor rumor, Member member) {
        boolean stateChanged = member.state != rumor.state() || member.refutationCount == 0;
        member.refutationCount = rumor.refutationCount();
        member.state = rumor.state();
        member.address = rumor.state() == MemberState.ALIVE ? rumor.address() : member.address;
        if (member.state != MemberState.SUSPECT || stateChanged) {
            member.suspectedBy.clear();
        }
        recordSuspicion(member, rumor);
        member.stateSinceUs = stateChanged ? clockUs : member.stateSinceUs;
        rumors.add(member.toRumor(rumor.suspectedBy()));
        notifyChanged(member);
    }

    /** Returns whether the rumor names a router that was not yet known to suspect the member. */
    private static boolean recordSuspicion(Member member, Rumor rumor) {
        return rumor.state() == MemberState.SUSPECT
                && !rumor.suspectedBy().isEmpty()
                && member.suspectedBy.size() < SuspicionTimers.MAX_CONFIRMATIONS + 1
                && member.suspectedBy.add(rumor.suspectedBy());
    }

    private void onRumorAboutSelf(Rumor rumor) {
        Incarnation.Relation relation = self.relationTo(rumor.incarnation());
        if (relation != Incarnation.Relation.SAME) {
            if (relation != Incarnation.Relation.EARLIER) {
                events.add(handler -> handler.onSelfConflict(relation, rumor.incarnation()));
            }
            rumors.add(selfRumor());
            return;
        }
        if (rumor.state() != MemberState.ALIVE
                && rumor.refutationCount() >= refutationCount
                && !leaving) {
            // Another router got no answer from this one, which may itself be slow.
            health.worsen();
            refute(rumor);
        } else if (rumor.refutationCount() > refutationCount) {
            refute(rumor);
        }
    }

    private void refute(Rumor rumor) {
        refutationCount = rumor.refutationCount() + 1;
        rumors.add(selfRumor());
    }

    /** Announces to several members that this process ends; they pass it on to the others. */
    public void leave() {
        leaving = true;
        refutationCount++;
        rumors.add(selfRumor());
        int notified = 0;
        for (Member member : members.all()) {
            if (member.state.isServing()
                    && notified++ < settings.indirectProbes() + members.logClusterSize()) {
                prober.announce(member.address);
            }
        }
    }

    private void notifyChanged(Member member) {
        events.add(handler -> handler.onMemberChanged(member));
    }

    /**
     * Carries out one decision.
     *
     * @return false if nothing is left to do before the last wake-up time that was scheduled
     */
    public boolean decide(Handler handler) {
        if (!events.isEmpty()) {
            events.poll().accept(handler);
            return true;
        }
        if (!outbox.isEmpty()) {
            OutgoingMessage message = outbox.poll();
            message.sendBy(handler, rumors.selectFor(message.address(), selfRumor()));
            return true;
        }
        if (prober.expireProbes(clockUs, this::suspect)
                || expireStates()
                || prober.expireIndirectProbes(clockUs)) {
            return true;
        }
        if (!leaving && prober.isRoundDue(clockUs)) {
            prober.startRound(clockUs);
            return true;
        }
        long dueUs = nextDueUs();
        if (dueUs < wakeUpAtUs || wakeUpAtUs <= clockUs) {
            wakeUpAtUs = dueUs;
            handler.scheduleWakeUp(dueUs);
        }
        return false;
    }

    private long nextDueUs() {
        long dueUs = leaving ? Long.MAX_VALUE : prober.nextRoundUs();
        dueUs = Math.min(dueUs, prober.nextProbeDueUs());
        for (Member member : members.all()) {
            if (member.state != MemberState.ALIVE) {
                dueUs = Math.min(dueUs, timers.expiresAtUs(member));
            }
        }
        return Math.max(dueUs, clockUs + 1);
    }

    private boolean expireStates() {
        for (Iterator<Member> iterator = members.iterator(); iterator.hasNext(); ) {
            Member member = iterator.next();
            if (member.state == MemberState.ALIVE || clockUs < timers.expiresAtUs(member)) {
                continue;
            }
            if (member.state == MemberState.SUSPECT) {
                changeState(member, MemberState.DEAD);
            } else {
                iterator.remove();
                rumors.remove(member.router());
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
        rumors.add(member.toRumor(self.router()));
        notifyChanged(member);
    }

    /** Suspects a member that answered neither this router's probe nor the indirect ones. */
    private void suspect(Member member) {
        if (member.state == MemberState.ALIVE) {
            changeState(member, MemberState.SUSPECT);
        } else if (member.state == MemberState.SUSPECT
                && member.suspectedBy.size() <= SuspicionTimers.MAX_CONFIRMATIONS
                && member.suspectedBy.add(self.router())) {
            rumors.add(member.toRumor(self.router()));
        }
    }
}

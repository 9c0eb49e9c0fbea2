package tinlink.cluster.membership;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Iterator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Which routers there are, and which of them answer, as this one knows it. Inputs only update what is known;
 * decisions are pulled until there is none. Times are microseconds of one clock that never goes back.
 *
 * <p>Source: A. Das, I. Gupta and A. Motivala, "SWIM" (DSN 2002): one member is probed a round, through
 * others where it is silent, and what is found travels with probes and their answers. A. Dadgar, J.
 * Phillips and J. Currey, "Lifeguard" (2018): a router that finds many silent doubts itself first, a
 * suspicion ends the sooner the more have confirmed it, and a suspect is told with the next message to it.
 * Own: the incarnations of one router are told apart ({@link Incarnation}), and all tables are bounded.
 */
public final class Membership {
    /** Danger: a rumor can't be of a refutation that its incarnation has not reached; a liar's may be. */
    private static final long MAX_REFUTATION_COUNT = 1L << 40;

    /**
     * Pace and bounds.
     *
     * @param probeIntervalUs between two probes; an answer is awaited for half of it, then others are asked
     * @param indirectProbes members that are asked to probe a silent one
     * @param maxMembers that are known at a time
     */
    public record Settings(long probeIntervalUs, int indirectProbes, int maxMembers) {}

    /** Carries decisions out; called within {@link #decide} alone. */
    public interface Handler {
        /**
         * Sends a probe.
         *
         * @param address where the message goes, whoever answers there
         */
        void sendProbe(String address, long sequenceNumber, List<Rumor> rumors);

        /** Answers a probe. */
        void sendAck(String address, long sequenceNumber, List<Rumor> rumors);

        /** Asks the router at the first address to probe the one at the second. */
        void sendProbeRequest(
                String address, long sequenceNumber, String target, List<Rumor> rumors);

        /**
         * Answers a probe request whose target is silent, so that this router at least is known to answer.
         */
        void sendNack(String address, long sequenceNumber, List<Rumor> rumors);

        /** A member's incarnation or state has changed, or a duplicate of it was found. */
        void onMemberChanged(Member member);

        /** Another incarnation of this router is running. */
        void onSelfConflict(Incarnation.Relation relation, Incarnation other);

        /** {@link #decide} is to be called at that time. */
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
    /** Emptied as they are pulled. */
    private final ArrayDeque<OutgoingMessage> outbox = new ArrayDeque<>();

    /** Emptied as they are pulled. */
    private final ArrayDeque<Consumer<Handler>> events = new ArrayDeque<>();

    private long refutationCount = 1;
    private long clockUs;
    private long wakeUpAtUs = Long.MAX_VALUE;
    private boolean leaving;

    /**
     * Knows no member yet; begins with {@link #advanceClock}.
     *
     * @param selfAddress where others reach this router
     * @param seeds addresses of some routers to begin with; this one's own may be among them
     * @param random draws whom to probe and when to begin
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
        List<String> others = seeds.stream().filter(s -> !s.equals(selfAddress)).toList();
        prober = new Prober(settings, members, health, outbox, others, random);
    }

    /** The other routers that are known; changes as decisions and inputs do. */
    public Collection<Member> members() {
        return members.all();
    }

    /** Null where it is not known. */
    public Member member(String router) {
        return members.get(router);
    }

    /** How much this router doubts its own view; 0 where nothing speaks against it. */
    public int localHealthMultiplier() {
        return health.multiplier();
    }

    /** Routers that are serving as far as is known, this one counted. */
    public int servingCount() {
        return members.servingCount();
    }

    /** What this router says of itself. */
    public Rumor selfRumor() {
        MemberState state = leaving ? MemberState.LEFT : MemberState.ALIVE;
        return new Rumor(self, refutationCount, state, selfAddress, "");
    }

    /** To be called before the inputs of a turn. */
    public void advanceClock(long nowUs) {
        clockUs = nowUs;
        prober.start(nowUs);
    }

    /** The router at that address probes this one; the rumors that came along are given before. */
    public void onProbe(String requester, long sequenceNumber) {
        prober.onProbe(requester, sequenceNumber);
    }

    /** The router at the first address asks this one to probe the one at the second. */
    public void onProbeRequest(String requester, long sequenceNumber, String target) {
        prober.onProbeRequest(requester, sequenceNumber, target, clockUs);
    }

    /** A probe of this router, also one made for another, was answered. */
    public void onAck(long sequenceNumber) {
        prober.onAck(sequenceNumber);
    }

    /** A member that was asked to probe another one has found it silent too. */
    public void onNack(long sequenceNumber) {
        prober.onNack(sequenceNumber);
    }

    /** What came along with a message. */
    public void onRumors(List<Rumor> received) {
        received.forEach(this::onRumor);
    }

    /** What a rumor says is believed where it supersedes what is known. */
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
                // Neither is believed more than the other; whoever asks is told of both.
                if (!rumor.incarnation().equals(member.duplicate)) {
                    member.duplicate = rumor.incarnation();
                    rumors.add(rumor);
                    notifyChanged(member);
                }
            }
            case EARLIER ->
                // What is said of an earlier incarnation is over; the router that says so is told
                // what is known.
                rumors.add(member.rumor(""));
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
            rumors.add(member.rumor(rumor.suspectedBy()));
            notifyChanged(member);
        }
    }

    private void onRumorOfSameIncarnation(Rumor rumor, Member member) {
        boolean isRefuted = rumor.refutationCount() > member.refutationCount;
        boolean supersedes = isRefuted
                || (rumor.refutationCount() == member.refutationCount
                        && rumor.state().compareTo(member.state) > 0);
        // Danger: an incarnation that has left stays so, but for what it refutes itself.
        if (supersedes && (member.state != MemberState.LEFT || isRefuted)) {
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
        rumors.add(member.rumor(rumor.suspectedBy()));
        notifyChanged(member);
    }

    /** Whether the rumor is of a router that was not known to have found the member silent. */
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
            // Somebody found this router silent: it may be slow itself.
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

    /** Notifies others that this process ends. */
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

    /** One decision; false where there is none until the time that a wake-up was last scheduled for. */
    public boolean decide(Handler handler) {
        if (!events.isEmpty()) {
            events.poll().accept(handler);
            return true;
        }
        if (!outbox.isEmpty()) {
            OutgoingMessage message = outbox.poll();
            message.sendBy(handler, rumors.take(message.address(), selfRumor()));
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
                rumors.forget(member.router());
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
        rumors.add(member.rumor(self.router()));
        notifyChanged(member);
    }

    /** Neither this router nor those that it asked have reached the member. */
    private void suspect(Member member) {
        if (member.state == MemberState.ALIVE) {
            changeState(member, MemberState.SUSPECT);
        } else if (member.state == MemberState.SUSPECT
                && member.suspectedBy.size() <= SuspicionTimers.MAX_CONFIRMATIONS
                && member.suspectedBy.add(self.router())) {
            rumors.add(member.rumor(self.router()));
        }
    }
}

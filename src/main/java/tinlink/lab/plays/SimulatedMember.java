package tinlink.lab.plays;

import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.message.RaftMessage;

import tinlink.net.MessageRejectedException;
import tinlink.cluster.ReplicatedStateMachine;
import tinlink.cluster.RaftReplica;
import tinlink.cluster.RaftStateStore;
import tinlink.cluster.RaftCodec;
import tinlink.cluster.LearnerLog;
import tinlink.cluster.Voter;
import tinlink.cluster.membership.VoterAdmission;
import tinlink.cluster.membership.RecoveryFloor;
import tinlink.cluster.membership.Incarnation;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/**
 * A router as far as agreement goes. A voter runs the real agreement with the real codec over a simulated
 * disk, and finds out before it votes whether its disk is an old copy; the others learn from voters.
 */
abstract class SimulatedMember extends SimulatedProcess
        implements RaftNodeExecutor, RaftReplica.Listener {
    /** Between a task that is handed over and its run, on the agreement's own thread. */
    private static final long HAND_OVER_US = 20;

    private static final int MOST_WAITING = 4000;
    private static final BiConsumer<String, Throwable> IGNORED = (said, failure) -> {};
    private static final Throwable NOT_LEADER = new IllegalStateException("it does not lead");

    final AgreementGroup group;
    final boolean voter;
    SimulatedDisk disk = new SimulatedDisk();
    /** It was found out that its disk is an old copy: it never votes by it. */
    boolean hasOldDisk;

    Incarnation incarnation;
    LearnerLog learnerLog;
    RaftReplica raft;
    String leaderHint = "";
    /** Lives of routers that have reported here. */
    final Map<String, Incarnation> livesKnown = new HashMap<>();

    private VoterAdmission voterAdmission;
    private RaftStateStore stateStore;
    /** How far others' disks have been heard to be; lost with the process. */
    private final Map<Voter, VoterAdmission.LogPosition> heard = new HashMap<>();

    SimulatedMember(AgreementGroup group, String name, boolean voter) {
        super(group.play, name, MOST_WAITING);
        this.group = group;
        this.voter = voter;
    }

    /** Something new has been agreed, or heard of. */
    abstract void agreedMore();

    final SplittableRandom random() {
        return play.random;
    }

    final Voter self() {
        return new Voter(name, disk.id);
    }

    final boolean leads() {
        return raft != null && raft.isLeader();
    }

    // ---- Starts and ends. ----

    /** Starts the process with its disk; @param replica of the agreed state, as before the first line */
    final void startMember(ReplicatedStateMachine replica) {
        begin();
        heard.clear();
        disk.crash();
        disk.starts++;
        incarnation = new Incarnation(name, disk.starts, random().nextLong() | 1);
        learnerLog = new LearnerLog(replica, group.settings.linesKept());
        raft = null;
        voterAdmission = null;
    }

    /** Votes at once at the very first start, and else once the others have been asked about its disk. */
    final void enterGroup() {
        if (!voter) {
            return;
        }
        stateStore = openDisk();
        if (disk.isEmpty()) {
            vote();
        } else {
            long[] reached = stateStore.lastPosition();
            voterAdmission = new VoterAdmission(
                    incarnation, new VoterAdmission.LogPosition((int) reached[0], reached[1]), group.otherVoters(name));
        }
    }

    @Override
    void kill() {
        super.kill();
        raft = null;
    }

    private RaftStateStore openDisk() {
        try {
            return new RaftStateStore(disk, disk.state, disk.records);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void vote() {
        SimulatedClock clock = new SimulatedClock(play, group.settings.libraryMillisecondUs());
        List<Voter> first = group.voters().stream().map(SimulatedMember::self).toList();
        raft = new RaftReplica(
                self(),
                first,
                stateStore,
                group.replicas.get(),
                this,
                new RaftReplica.Environment(
                        this,
                        clock,
                        new Random(random().nextLong()),
                        this::sendAgreement,
                        v -> true),
                group.settings.snapshotEvery());
        raft.start();
    }

    // ---- Messages of the agreement. ----

    private void sendAgreement(Voter to, RaftMessage message) {
        byte[] bytes = RaftCodec.encode(message);
        SimulatedMember target = group.members.get(to.router());
        if (target == null) {
            return;
        }
        Voter from = self();
        group.network.send(
                name,
                to.router(),
                MessageKind.AGREEMENT,
                () -> WireSize.agreement(to.toString(), bytes.length),
                () -> target.takes(() -> target.hearAgreement(from, to, bytes)));
    }

    private void hearAgreement(Voter from, Voter to, byte[] bytes) {
        if (raft == null || !self().equals(to)) {
            return;
        }
        try {
            RaftMessage message = RaftCodec.decode(ByteBuffer.wrap(bytes));
            VoterAdmission.LogPosition position = RaftReplica.confirmedPosition(message);
            if (position != null) {
                heard.merge(from, position, VoterAdmission.LogPosition::max);
            }
            raft.receive(message);
        } catch (MessageRejectedException e) {
            group.violations.add("a message can't be read again: " + e.getMessage());
        }
    }

    @Override
    public void onApplied(long index, String line) {
        group.log.record(index, line);
        if (learnerLog.append(index, line)) {
            agreedMore();
        }
    }

    @Override
    public void onRestored(long index, List<String> lines) {
        if (learnerLog.restore(index, lines)) {
            agreedMore();
        }
    }

    // ---- The agreement's thread. ----

    @Override
    public void execute(Runnable task) {
        submit(task);
    }

    @Override
    public void submit(Runnable task) {
        later(HAND_OVER_US, task);
    }

    @Override
    public void schedule(Runnable task, long delay, TimeUnit unit) {
        later(unit.toMicros(delay) * group.settings.libraryMillisecondUs() / 1000, task);
    }

    // ---- Its part in agreeing, to be called in each beat. ----

    /** Goes on with entering the group, and learns where it does not vote. */
    final void tendAgreement() {
        if (voterAdmission != null && raft == null) {
            askAboutDisk();
            enterIfMay();
        } else if (voterAdmission != null) {
            if (leaderHint.isEmpty() && !raft.hasReachedFloor()) {
                askAboutDisk();
            }
            raft.setFloor(voterAdmission.floor());
        }
        if (raft != null) {
            leaderHint = raft.leader() == null ? "" : raft.leader().router();
        }
        if (!voter || raft == null) {
            learn();
        } else {
            raft.restartIfStuck();
        }
    }

    private void askAboutDisk() {
        for (String other : voterAdmission.votersToAsk()) {
            SimulatedMember asked = group.members.get(other);
            Voter self = self();
            group.network.send(
                    name, other, () -> asked.takes(() -> asked.tellAboutDisk(this, self)));
        }
    }

    private void tellAboutDisk(SimulatedMember asker, Voter disk) {
        VoterAdmission.LogPosition position = heard.get(disk);
        Incarnation knownIncarnation = livesKnown.get(asker.name);
        RecoveryFloor logEnd = stateStore == null ? RecoveryFloor.NONE : stateStore.logEnd();
        group.network.send(
                name,
                asker.name,
                () -> asker.takes(() -> asker.hearAboutDisk(name, knownIncarnation, position, logEnd)));
    }

    private void hearAboutDisk(String from, Incarnation knownIncarnation, VoterAdmission.LogPosition position, RecoveryFloor logEnd) {
        if (voterAdmission != null) {
            voterAdmission.answered(from, knownIncarnation, position, logEnd, play.now());
        }
    }

    private void enterIfMay() {
        switch (voterAdmission.decide(play.now(), group.settings.entryUs())) {
            case ADMITTED -> {
                vote();
                raft.setFloor(voterAdmission.floor());
            }
            case STALE_DISK -> {
                group.oldDisksFound++;
                // It never votes by this disk; an operator gives it a new one, here at the end.
                voterAdmission = null;
                hasOldDisk = true;
            }
            default -> {}
        }
    }

    private void learn() {
        List<SimulatedMember> voters = group.voters();
        SimulatedMember asked = voters.get(random().nextInt(voters.size()));
        long after = learnerLog.index();
        group.network.send(
                name,
                asked.name,
                MessageKind.LEARN,
                () -> WireSize.word(name, WireSize.LONG),
                () -> asked.takes(() -> asked.teach(this, after)));
    }

    private void teach(SimulatedMember learner, long after) {
        LearnerLog.Batch batch = learnerLog.batchAfter(after);
        String leader = leaderHint;
        group.network.send(
                name,
                learner.name,
                MessageKind.LEARNED,
                () -> learnedBytes(leader, batch),
                () -> learner.takes(() -> learner.learned(leader, after, batch)));
    }

    private int learnedBytes(String leader, LearnerLog.Batch batch) {
        int body = WireSize.text(leader) + WireSize.LONG + 1;
        return WireSize.word(
                name, batch == null ? body : body + WireSize.LONG + WireSize.lines(batch.lines()));
    }

    private void learned(String leader, long after, LearnerLog.Batch batch) {
        leaderHint = leader.isEmpty() ? leaderHint : leader;
        if (batch != null && learnerLog.appendBatch(after, batch)) {
            agreedMore();
        }
    }

    /** Says a line to whoever leads, as far as is known; it may get lost. */
    public void propose(String line) {
        SimulatedMember leader = group.members.get(leaderHint);
        if (leader == this && raft != null) {
            raft.propose(line, IGNORED);
        } else if (leader != null) {
            group.network.send(
                    name,
                    leader.name,
                    MessageKind.PROPOSE,
                    () -> WireSize.word(name, WireSize.LONG + WireSize.longText(line)),
                    () -> leader.takes(() -> leader.proposedBy(this, line)));
        }
    }

    private void proposedBy(SimulatedMember from, String line) {
        if (leads()) {
            raft.propose(line, (said, failure) -> answerProposal(from, said, failure));
        } else {
            answerProposal(from, null, NOT_LEADER);
        }
    }

    /** What came of another member's line; a play whose members don't wait for it says nothing. */
    void answerProposal(SimulatedMember from, String said, Throwable failure) {
        // Nobody waits for it.
    }

    /** How it stands in agreeing, for who looks into a play that got stuck. */
    String standing() {
        return name
                + (up ? "" : " down")
                + (hasOldDisk ? " old disk" : "")
                + (voterAdmission == null ? "" : " " + voterAdmission.decision() + " " + voterAdmission.floor())
                + (raft == null
                        ? ""
                        : " leader " + raft.leader() + " term " + raft.term() + " end "
                                + stateStore.logEnd());
    }
}

package tinlink.experiment.simulation;

import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.message.RaftMessage;

import tinlink.cluster.consensus.LearnerLog;
import tinlink.cluster.consensus.LogPosition;
import tinlink.cluster.consensus.RaftCodec;
import tinlink.cluster.consensus.RaftReplica;
import tinlink.cluster.consensus.RaftStateStore;
import tinlink.cluster.consensus.RecoveryFloor;
import tinlink.cluster.consensus.ReplicatedStateMachine;
import tinlink.cluster.consensus.Voter;
import tinlink.cluster.consensus.VoterAdmission;
import tinlink.cluster.membership.Incarnation;
import tinlink.net.MessageRejectedException;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * A router as far as agreement goes. A voter runs the real agreement with the real codec over a simulated
 * disk, and finds out before it votes whether its disk is an old copy; the others learn from voters.
 */
abstract class SimulatedMember extends SimulatedProcess
        implements RaftNodeExecutor, RaftReplica.Listener {
    /** Between a task that is handed over and its run, on the agreement's own thread. */
    private static final long HAND_OVER_US = 20;

    private static final int MOST_WAITING = 4000;

    final ConsensusGroup group;
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
    private final Map<Voter, LogPosition> heard = new HashMap<>();

    SimulatedMember(ConsensusGroup group, String name, boolean voter) {
        super(group.simulation, name, MOST_WAITING);
        this.group = group;
        this.voter = voter;
    }

    /** Something new has been agreed, or heard of. */
    abstract void logAdvanced();

    final SplittableRandom random() {
        return simulation.random;
    }

    final Voter self() {
        return new Voter(name, disk.id);
    }

    final boolean isLeader() {
        return raft != null && raft.isLeader();
    }

    // ---- Starts and ends. ----

    /**
     * Starts the process with its disk.
     *
     * @param replica of the agreed state, as before the first line
     */
    final void startMember(ReplicatedStateMachine replica) {
        beginRun();
        heard.clear();
        disk.crash();
        disk.starts++;
        incarnation = new Incarnation(name, disk.starts, random().nextLong() | 1);
        learnerLog = new LearnerLog(replica, group.settings.linesKept());
        raft = null;
        voterAdmission = null;
    }

    /** Votes at once at the very first start, and else once the others have been asked about its disk. */
    final void joinGroup() {
        if (!voter) {
            return;
        }
        stateStore = openDisk();
        if (disk.isEmpty()) {
            startVoting();
        } else {
            voterAdmission = new VoterAdmission(
                    incarnation, stateStore.lastPosition(), group.otherVoters(name));
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

    private void startVoting() {
        SimulatedClock clock =
                new SimulatedClock(simulation, group.settings.libraryMillisecondUs());
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
                        this::sendRaftMessage,
                        v -> true),
                group.settings.snapshotEvery());
        raft.start();
    }

    // ---- Messages of the agreement. ----

    private void sendRaftMessage(Voter to, RaftMessage message) {
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
                () -> target.deliver(() -> target.onRaftMessage(from, to, bytes)));
    }

    private void onRaftMessage(Voter from, Voter to, byte[] bytes) {
        if (raft == null || !self().equals(to)) {
            return;
        }
        try {
            RaftMessage message = RaftCodec.decode(ByteBuffer.wrap(bytes));
            LogPosition position = RaftReplica.confirmedPosition(message);
            if (position != null) {
                heard.merge(from, position, LogPosition::max);
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
            logAdvanced();
        }
    }

    @Override
    public void onRestored(long index, List<String> lines) {
        if (learnerLog.restore(index, lines)) {
            logAdvanced();
        }
    }

    // ---- The agreement's thread. ----

    @Override
    public void execute(Runnable task) {
        submit(task);
    }

    @Override
    public void submit(Runnable task) {
        scheduleIn(HAND_OVER_US, task);
    }

    @Override
    public void schedule(Runnable task, long delay, TimeUnit unit) {
        scheduleIn(unit.toMicros(delay) * group.settings.libraryMillisecondUs() / 1000, task);
    }

    // ---- Its part in agreeing, to be called in each beat. ----

    /** Goes on with entering the group, and learns where it does not vote. */
    final void restartReplicaIfStuck() {
        if (voterAdmission != null && raft == null) {
            sendAdmissionQuery();
            admitIfAllowed();
        } else if (voterAdmission != null) {
            if (leaderHint.isEmpty() && !raft.hasReachedFloor()) {
                sendAdmissionQuery();
            }
            raft.setFloor(voterAdmission.floor());
        }
        if (raft != null) {
            leaderHint = raft.leader() == null ? "" : raft.leader().router();
        }
        if (!voter || raft == null) {
            requestLearnerBatch();
        } else {
            raft.restartIfStuck();
        }
    }

    private void sendAdmissionQuery() {
        for (String other : voterAdmission.votersToAsk()) {
            SimulatedMember asked = group.members.get(other);
            Voter self = self();
            group.network.send(
                    name, other, () -> asked.deliver(() -> asked.answerAdmissionQuery(this, self)));
        }
    }

    private void answerAdmissionQuery(SimulatedMember asker, Voter disk) {
        LogPosition position = heard.get(disk);
        Incarnation knownIncarnation = livesKnown.get(asker.name);
        RecoveryFloor logEnd = stateStore == null ? RecoveryFloor.NONE : stateStore.logEnd();
        group.network.send(
                name,
                asker.name,
                () -> asker.deliver(
                        () -> asker.onAdmissionAnswer(name, knownIncarnation, position, logEnd)));
    }

    private void onAdmissionAnswer(
            String from, Incarnation knownIncarnation, LogPosition position, RecoveryFloor logEnd) {
        if (voterAdmission != null) {
            voterAdmission.onAnswer(from, knownIncarnation, position, logEnd, simulation.now());
        }
    }

    private void admitIfAllowed() {
        switch (voterAdmission.decide(simulation.now(), group.settings.entryUs())) {
            case ADMITTED -> {
                startVoting();
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

    private void requestLearnerBatch() {
        List<SimulatedMember> voters = group.voters();
        SimulatedMember asked = voters.get(random().nextInt(voters.size()));
        long after = learnerLog.index();
        group.network.send(
                name,
                asked.name,
                MessageKind.LEARN,
                () -> WireSize.word(name, WireSize.LONG),
                () -> asked.deliver(() -> asked.sendLearnerBatch(this, after)));
    }

    private void sendLearnerBatch(SimulatedMember learner, long after) {
        LearnerLog.Batch batch = learnerLog.batchAfter(after);
        String leader = leaderHint;
        group.network.send(
                name,
                learner.name,
                MessageKind.LEARNED,
                () -> learnedBytes(leader, batch),
                () -> learner.deliver(() -> learner.onLearnerBatch(leader, after, batch)));
    }

    private int learnedBytes(String leader, LearnerLog.Batch batch) {
        int body = WireSize.text(leader) + WireSize.LONG + 1;
        return WireSize.word(
                name, batch == null ? body : body + WireSize.LONG + WireSize.lines(batch.lines()));
    }

    private void onLearnerBatch(String leader, long after, LearnerLog.Batch batch) {
        leaderHint = leader.isEmpty() ? leaderHint : leader;
        if (batch != null && learnerLog.appendBatch(after, batch)) {
            logAdvanced();
        }
    }

    /** Says a line to whoever leads, as far as is known; it may get lost. */
    public void propose(String line) {
        SimulatedMember leader = group.members.get(leaderHint);
        if (leader == this && raft != null) {
            raft.propose(line, (said, failure) -> {});
        } else if (leader != null) {
            group.network.send(
                    name,
                    leader.name,
                    MessageKind.PROPOSE,
                    () -> WireSize.word(name, WireSize.LONG + WireSize.longText(line)),
                    () -> leader.deliver(() -> leader.onProposal(this, line)));
        }
    }

    private void onProposal(SimulatedMember from, String line) {
        if (isLeader()) {
            raft.propose(line, (said, failure) -> answerProposal(from, said, failure));
        } else {
            answerProposal(from, null, new IllegalStateException("it does not lead"));
        }
    }

    /** What came of another member's line; a play whose members don't wait for it says nothing. */
    void answerProposal(SimulatedMember from, String said, Throwable failure) {
        // Nobody waits for it.
    }

    /** How it stands in agreeing, for who looks into a play that got stuck. */
    String summary() {
        return name
                + (up ? "" : " down")
                + (hasOldDisk ? " old disk" : "")
                + (voterAdmission == null
                        ? ""
                        : " " + voterAdmission.decision() + " " + voterAdmission.floor())
                + (raft == null
                        ? ""
                        : " leader " + raft.leader() + " term " + raft.term() + " end "
                                + stateStore.logEnd());
    }
}

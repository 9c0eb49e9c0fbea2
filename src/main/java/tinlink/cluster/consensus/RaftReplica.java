package tinlink.cluster.consensus;

import io.microraft.MembershipChangeMode;
import io.microraft.QueryPolicy;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.RaftNodeStatus;
import io.microraft.RaftRole;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.report.RaftGroupMembers;
import io.microraft.report.RaftNodeReport;
import io.microraft.report.RaftTerm;
import io.microraft.statemachine.StateMachine;
import io.microraft.transport.Transport;

import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * One voter's part in agreeing, on the library's implementation of Raft. Time, chance, the thread
 * and the way to others come from outside: in service a thread of its own and the peers' links, in
 * a play the simulated ones.
 *
 * <p>Source: D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus Algorithm"
 * (2014).
 */
public final class RaftReplica {
    /** What an agreement runs on. */
    public record Environment(
            RaftNodeExecutor executor,
            Clock clock,
            Random random,
            BiConsumer<Voter, RaftMessage> sender,
            Predicate<Voter> reachable) {}

    /** What hears of what was agreed: on the executor's thread, in order. */
    public interface Listener {
        void onApplied(long index, String line);

        /**
         * What stands is these lines, as of that index; lines that were not heard one by one are in
         * it.
         */
        void onRestored(long index, List<String> lines);
    }

    /** A snapshot is passed on in pieces of about so many characters. */
    private static final int SNAPSHOT_CHUNK_CHARS = 1 << 18;
    /**
     * One of the library's heartbeats, and how long a leader may be silent, in its milliseconds.
     */
    private static final int HEARTBEAT_PERIOD_S = 1;

    private static final int HEARTBEAT_TIMEOUT_S = 4;
    /** A follower that has not missed its leader after so many times as long won't. */
    private static final int STUCK_AFTER_TIMEOUTS = 3;

    private volatile RaftNode node;
    /** As often in a row has it refused to go on from the same place; on the Raft thread. */
    private static final int MAX_REPEATED_APPEND_FAILURES = 10;

    private int repeatedAppendFailures;
    private long failedNextIndex;
    private volatile boolean restarting;
    private volatile boolean terminated;
    private final Environment environment;
    private final Supplier<RaftNode> createNode;
    private final ReplicatedStateMachine stateMachine;
    private final Listener listener;
    private final RaftStateStore stateStore;
    /** What this voter holds to; read by both threads. */
    private volatile RecoveryFloor floor = RecoveryFloor.NONE;

    /**
     * @param initialVoters who votes at the very first start of the group; of no account where something
     *     was kept
     * @param snapshotEvery lines between two snapshots
     */
    public RaftReplica(
            Voter self,
            Collection<Voter> initialVoters,
            RaftStateStore stateStore,
            ReplicatedStateMachine stateMachine,
            Listener listener,
            Environment environment,
            int snapshotEvery) {
        this.stateMachine = stateMachine;
        this.listener = listener;
        this.stateStore = stateStore;
        this.environment = environment;
        RaftConfig config = RaftConfig.newBuilder()
                .setLeaderElectionTimeoutMillis(1000)
                .setLeaderHeartbeatPeriodSecs(HEARTBEAT_PERIOD_S)
                .setLeaderHeartbeatTimeoutSecs(HEARTBEAT_TIMEOUT_S)
                .setCommitCountToTakeSnapshot(snapshotEvery)
                .setTransferSnapshotsFromFollowersEnabled(false)
                .build();
        createNode = () -> createNode(self, initialVoters, config);
        node = createNode.get();
    }

    private RaftNode createNode(Voter self, Collection<Voter> initialVoters, RaftConfig config) {
        RaftNode.RaftNodeBuilder builder = RaftNode.newBuilder()
                .setGroupId(RaftCodec.GROUP_ID)
                .setConfig(config)
                .setExecutor(environment.executor())
                .setClock(environment.clock())
                .setRandom(environment.random())
                .setStore(stateStore)
                .setStateMachine(new StateMachineAdapter())
                .setTransport(new Transport() {
                    @Override
                    public void send(RaftEndpoint recipient, RaftMessage message) {
                        countAppendFailures(message);
                        if (maySend(message)) {
                            environment.sender().accept((Voter) recipient, message);
                        }
                    }

                    @Override
                    public boolean isReachable(RaftEndpoint recipient) {
                        return environment.reachable().test((Voter) recipient);
                    }
                });
        RestoredRaftState restored = stateStore.restoredState();
        return (restored != null
                        ? builder.setRestoredState(restored)
                        : builder.setLocalEndpoint(self)
                                .setInitialGroupMembers(new ArrayList<RaftEndpoint>(initialVoters)))
                .build();
    }

    private final class StateMachineAdapter implements StateMachine {
        @Override
        public Object runOperation(long index, Object operation) {
            String line = (String) operation;
            String reply = line.isEmpty() ? "" : stateMachine.apply(line);
            listener.onApplied(index, line);
            return reply;
        }

        @Override
        public void takeSnapshot(long index, Consumer<Object> chunks) {
            StringBuilder chunk = new StringBuilder();
            for (String line : stateMachine.snapshot()) {
                if (chunk.length() + line.length() > SNAPSHOT_CHUNK_CHARS && chunk.length() > 0) {
                    chunks.accept(chunk.toString());
                    chunk.setLength(0);
                }
                chunk.append(line).append('\n');
            }
            chunks.accept(chunk.toString());
        }

        @Override
        public void installSnapshot(long index, List<Object> chunks) {
            List<String> lines = new ArrayList<>();
            for (Object chunk : chunks) {
                lines.addAll(((String) chunk).lines().toList());
            }
            stateMachine.restore(lines);
            listener.onRestored(index, lines);
        }

        /** A new leader begins with an empty line: what was before it is settled by it. */
        @Override
        public Object getNewTermOperation() {
            return "";
        }
    }

    /**
     * How far a message shows its sender's disk to be; null where it shows nothing. Asking whether
     * one would be voted for names a term that is not on any disk yet.
     */
    public static LogPosition confirmedPosition(RaftMessage message) {
        if (message instanceof AppendEntriesSuccessResponse appendResponse) {
            return new LogPosition(message.getTerm(), appendResponse.getLastLogIndex());
        }
        boolean isPersisted = message instanceof VoteRequest
                || (message instanceof VoteResponse voteResponse && voteResponse.isGranted())
                || message instanceof AppendEntriesRequest;
        return isPersisted ? new LogPosition(message.getTerm(), 0) : null;
    }

    @SuppressWarnings("FutureReturnValueIgnored") // What a node reports is looked at by tend.
    public void start() {
        node.start();
    }

    @SuppressWarnings("FutureReturnValueIgnored") // Nothing follows its end.
    public void terminate() {
        terminated = true;
        node.terminate();
    }

    /** Its group has gone on without it. */
    public boolean isTerminated() {
        return !restarting && RaftNodeStatus.isTerminal(node.getStatus());
    }

    /**
     * Looks whether this voter still notices that its leader is silent; to be called now and then.
     * Danger: after it has taken a snapshot the library's follower may stop to look (seen in a
     * seeded play: no vote was asked for in thirty seconds without a leader), and a group of such
     * followers never gets another leader. Such a one is made anew from what is kept.
     */
    @SuppressWarnings("FutureReturnValueIgnored") // The callback hears of failures.
    public void restartIfStuck() {
        RaftNode current = node;
        if (restarting || terminated || RaftNodeStatus.isTerminal(current.getStatus())) {
            return;
        }
        current.getReport().whenComplete((result, failure) -> {
            if (failure == null && current == node && isStuck(result.getResult())) {
                restart(current);
            }
        });
    }

    /**
     * Danger: a follower that took a snapshot of another while lines of a leader that did not get
     * through stood behind it in its log may refuse what follows the snapshot for ever (seen in a
     * seeded play: a voter that confirmed nothing any more). What is kept has no such lines, so it
     * is made anew from that.
     */
    private void countAppendFailures(RaftMessage message) {
        if (message instanceof AppendEntriesFailureResponse failure) {
            repeatedAppendFailures = failure.getExpectedNextIndex() == failedNextIndex
                    ? repeatedAppendFailures + 1
                    : 0;
            failedNextIndex = failure.getExpectedNextIndex();
            if (repeatedAppendFailures >= MAX_REPEATED_APPEND_FAILURES
                    && !restarting
                    && !terminated) {
                repeatedAppendFailures = 0;
                RaftNode current = node;
                environment.executor().submit(() -> restart(current));
            }
        } else if (message instanceof AppendEntriesSuccessResponse) {
            repeatedAppendFailures = 0;
        }
    }

    private boolean isStuck(RaftNodeReport report) {
        long silentMs = environment.clock().millis()
                - report.getLeaderHeartbeatTimestamp().orElse(Long.MAX_VALUE);
        return report.getRole() != RaftRole.LEADER
                && report.getTerm().getLeaderEndpoint() != null
                && silentMs > STUCK_AFTER_TIMEOUTS * 1000L * HEARTBEAT_TIMEOUT_S;
    }

    @SuppressWarnings(
            "FutureReturnValueIgnored") // The callback hears of failures; tend looks after the new
    // one.
    private void restart(RaftNode current) {
        if (restarting || terminated || current != node) {
            return;
        }
        restarting = true;
        current.terminate().whenComplete((result, failure) -> {
            if (!terminated) {
                stateMachine.restore(
                        List.of()); // What is kept is played through from its beginning.
                node = createNode.get();
                restarting = false;
                node.start();
            }
        });
    }

    /** From any thread: what this voter holds to from now on. */
    public void setFloor(RecoveryFloor newFloor) {
        floor = newFloor;
    }

    /** Whether its log is as far as what it holds to. */
    public boolean hasReachedFloor() {
        RecoveryFloor logEnd = stateStore.logEnd();
        return floor.mayCampaign(logEnd.lastTerm(), logEnd.lastIndex());
    }

    /** It asks nobody for a vote before it is as far as others were. */
    private boolean maySend(RaftMessage message) {
        return !(message instanceof PreVoteRequest || message instanceof VoteRequest)
                || hasReachedFloor();
    }

    /** From any thread. */
    public void receive(RaftMessage message) {
        RecoveryFloor currentFloor = floor;
        boolean isAllowed = message instanceof VoteRequest voteRequest
                ? currentFloor.mayGrant(
                        voteRequest.getTerm(),
                        voteRequest.getLastLogTerm(),
                        voteRequest.getLastLogIndex())
                : message instanceof PreVoteRequest preVoteRequest
                        ? currentFloor.mayAnswerPreVote(
                                preVoteRequest.getLastLogTerm(), preVoteRequest.getLastLogIndex())
                        : !(message instanceof AppendEntriesRequest
                                        || message instanceof InstallSnapshotRequest)
                                || currentFloor.mayFollow(message.getTerm());
        if (isAllowed) {
            node.handle(message);
        }
    }

    /**
     * Proposes a line.
     *
     * @param onResult what is said to it once it is agreed, with null for why; or why it is not known
     *     whether it is, or that it is not. On the executor's thread
     */
    @SuppressWarnings("FutureReturnValueIgnored") // The callback hears of failures.
    public void propose(String line, BiConsumer<String, Throwable> onResult) {
        node.<String>replicate(line)
                .whenComplete((result, failure) ->
                        onResult.accept(result == null ? null : result.getResult(), failure));
    }

    /**
     * Once all that was agreed before this call has been played here; only the leader can say so.
     */
    @SuppressWarnings("FutureReturnValueIgnored") // The callback hears of failures.
    public void confirmCommitIndex(BiConsumer<Long, Throwable> onResult) {
        node.query("", QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.<Duration>empty())
                .whenComplete((result, failure) ->
                        onResult.accept(result == null ? null : result.getCommitIndex(), failure));
    }

    /** Null where none is known. */
    public Voter leader() {
        RaftTerm term = node.getTerm();
        return (Voter) term.getLeaderEndpoint();
    }

    public int term() {
        return node.getTerm().getTerm();
    }

    public Voter self() {
        return (Voter) node.getLocalEndpoint();
    }

    public boolean isLeader() {
        return self().equals(leader());
    }

    public RaftGroupMembers committedMembers() {
        return node.getCommittedMembers();
    }

    /** One change at a time; on the leader. */
    @SuppressWarnings("FutureReturnValueIgnored") // The callback hears of failures.
    public void changeMembership(
            Voter voter, boolean adding, BiConsumer<String, Throwable> onResult) {
        node.changeMembership(
                        voter,
                        adding
                                ? MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER
                                : MembershipChangeMode.REMOVE_MEMBER,
                        committedMembers().getLogIndex())
                .whenComplete(
                        (result, failure) -> onResult.accept(result == null ? null : "", failure));
    }
}

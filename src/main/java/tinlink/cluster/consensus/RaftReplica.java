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
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.report.RaftGroupMembers;
import io.microraft.report.RaftNodeReport;
import io.microraft.transport.Transport;

import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * One voter's replica of the agreed log, on the library's implementation of Raft. Time, chance, the thread
 * and the way to others come from outside: in service a thread of its own and the connections between
 * routers, in a simulation the simulated ones. Methods may be called from any thread, results come on the
 * executor's.
 *
 * <p>Source: D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014).
 */
public final class RaftReplica {
    /**
     * What a replica runs on.
     *
     * @param sender sends a message to a voter, on the executor's thread; it may get lost
     */
    public record Environment(
            RaftNodeExecutor executor,
            Clock clock,
            Random random,
            BiConsumer<Voter, RaftMessage> sender,
            Predicate<Voter> reachable) {}

    /** Is notified of what was agreed on, on the executor's thread, in order. */
    public interface Listener {
        /**
         * A line has been applied.
         *
         * @param line empty where a leader has begun its term
         */
        void onApplied(long index, String line);

        /** The state is these lines, as of that index; lines that were not applied one by one are in it. */
        void onRestored(long index, List<String> lines);
    }

    private static final int ELECTION_TIMEOUT_MS = 1000;
    private static final int HEARTBEAT_PERIOD_S = 1;
    private static final int HEARTBEAT_TIMEOUT_S = 4;
    /** A follower that does not miss a leader that is silent for so many timeouts never will. */
    private static final int STUCK_AFTER_TIMEOUTS = 3;
    /** So often in a row it may refuse to go on from the same index. */
    private static final int MAX_REPEATED_APPEND_FAILURES = 10;

    private final Environment environment;
    private final ReplicatedStateMachine stateMachine;
    private final RecoveryFilter recoveryFilter;
    private final Supplier<RaftNode> nodeFactory;
    private volatile RaftNode node;
    private volatile boolean restarting;
    private volatile boolean terminated;
    /** On the executor's thread. */
    private int repeatedAppendFailures;

    private long failedNextIndex;

    /**
     * Takes up what is stored; begins with {@link #start}.
     *
     * @param initialVoters who votes at the very first start of the group; without effect where
     *     something is stored
     * @param snapshotIntervalLines lines between two snapshots
     */
    public RaftReplica(
            Voter self,
            Collection<Voter> initialVoters,
            RaftStateStore stateStore,
            ReplicatedStateMachine stateMachine,
            Listener listener,
            Environment environment,
            int snapshotIntervalLines) {
        this.environment = environment;
        this.stateMachine = stateMachine;
        recoveryFilter = new RecoveryFilter(stateStore);
        RaftConfig config = RaftConfig.newBuilder()
                .setLeaderElectionTimeoutMillis(ELECTION_TIMEOUT_MS)
                .setLeaderHeartbeatPeriodSecs(HEARTBEAT_PERIOD_S)
                .setLeaderHeartbeatTimeoutSecs(HEARTBEAT_TIMEOUT_S)
                .setCommitCountToTakeSnapshot(snapshotIntervalLines)
                .setTransferSnapshotsFromFollowersEnabled(false)
                .build();
        nodeFactory = () -> {
            RaftNode.RaftNodeBuilder builder = newBuilder(config, stateStore, listener);
            RestoredRaftState restored = stateStore.restoredState();
            return restored != null
                    ? builder.setRestoredState(restored).build()
                    : builder.setLocalEndpoint(self)
                            .setInitialGroupMembers(new ArrayList<RaftEndpoint>(initialVoters))
                            .build();
        };
        node = nodeFactory.get();
    }

    private RaftNode.RaftNodeBuilder newBuilder(
            RaftConfig config, RaftStateStore stateStore, Listener listener) {
        return RaftNode.newBuilder()
                .setGroupId(RaftCodec.GROUP_ID)
                .setConfig(config)
                .setExecutor(environment.executor())
                .setClock(environment.clock())
                .setRandom(environment.random())
                .setStore(stateStore)
                .setStateMachine(new StateMachineAdapter(stateMachine, listener))
                .setTransport(new Transport() {
                    @Override
                    public void send(RaftEndpoint recipient, RaftMessage message) {
                        countAppendFailures(message);
                        if (recoveryFilter.maySend(message)) {
                            environment.sender().accept((Voter) recipient, message);
                        }
                    }

                    @Override
                    public boolean isReachable(RaftEndpoint recipient) {
                        return environment.reachable().test((Voter) recipient);
                    }
                });
    }

    /**
     * How far a message shows its sender's disk to be; null where it shows nothing. A request for a
     * pre-vote names a term that is not on any disk yet.
     */
    public static LogPosition confirmedPosition(RaftMessage message) {
        if (message instanceof AppendEntriesSuccessResponse response) {
            return new LogPosition(message.getTerm(), response.getLastLogIndex());
        }
        boolean isTermPersisted = message instanceof VoteRequest
                || (message instanceof VoteResponse response && response.isGranted())
                || message instanceof AppendEntriesRequest;
        return isTermPersisted ? new LogPosition(message.getTerm(), 0) : null;
    }

    /** Begins to take part; once, on any thread. */
    @SuppressWarnings("FutureReturnValueIgnored") // Its state is looked at by restartIfStuck.
    public void start() {
        node.start();
    }

    /** Takes no part any more; what runs on the executor may still end. */
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
     * Looks whether this voter still notices that its leader is silent; to be called periodically. Danger:
     * after it has taken a snapshot the library's follower may stop to look (seen in a seeded simulation:
     * no vote was asked for in thirty seconds without a leader), and a group of such followers never gets
     * another leader. Such a one is restarted from what is stored.
     */
    @SuppressWarnings("FutureReturnValueIgnored") // The callback is given failures.
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

    private boolean isStuck(RaftNodeReport report) {
        long silentMs = environment.clock().millis()
                - report.getLeaderHeartbeatTimestamp().orElse(Long.MAX_VALUE);
        return report.getRole() != RaftRole.LEADER
                && report.getTerm().getLeaderEndpoint() != null
                && silentMs > STUCK_AFTER_TIMEOUTS * 1000L * HEARTBEAT_TIMEOUT_S;
    }

    /**
     * Danger: a follower that took a snapshot of another voter while entries of a leader without a majority
     * followed it in its log may refuse what follows the snapshot for ever (seen in a seeded simulation: a
     * voter that confirmed nothing any more). What is stored has no such entries, so it is restarted from
     * that.
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

    @SuppressWarnings("FutureReturnValueIgnored") // The new node is looked at by restartIfStuck.
    private void restart(RaftNode current) {
        if (restarting || terminated || current != node) {
            return;
        }
        restarting = true;
        current.terminate().whenComplete((result, failure) -> {
            if (!terminated) {
                stateMachine.restore(List.of()); // What is stored is replayed from its beginning.
                node = nodeFactory.get();
                restarting = false;
                node.start();
            }
        });
    }

    /** What this voter keeps to from now on. */
    public void setFloor(RecoveryFloor newFloor) {
        recoveryFilter.setFloor(newFloor);
    }

    /** Whether its log is as far as what it keeps to. */
    public boolean hasReachedFloor() {
        return recoveryFilter.hasReachedFloor();
    }

    /** Takes in a message of another voter, unless what this one keeps to forbids it. */
    public void receive(RaftMessage message) {
        if (recoveryFilter.mayReceive(message)) {
            node.handle(message);
        }
    }

    /**
     * Proposes a line.
     *
     * @param onResult the state machine's reply once the line is agreed on, with null; else null with
     *     why it is not, or is not known to be. On the executor's thread
     */
    @SuppressWarnings("FutureReturnValueIgnored") // The callback is given failures.
    public void propose(String line, BiConsumer<String, Throwable> onResult) {
        node.<String>replicate(line)
                .whenComplete((result, failure) ->
                        onResult.accept(result == null ? null : result.getResult(), failure));
    }

    /**
     * Confirms with a majority up to which index all was agreed on before this call, and applies it here;
     * only the leader can.
     *
     * @param onResult the index with null, or null with why it is not confirmed. On the executor's thread
     */
    @SuppressWarnings("FutureReturnValueIgnored") // The callback is given failures.
    public void confirmCommitIndex(BiConsumer<Long, Throwable> onResult) {
        node.query("", QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.<Duration>empty())
                .whenComplete((result, failure) ->
                        onResult.accept(result == null ? null : result.getCommitIndex(), failure));
    }

    /** Null where none is known. */
    public Voter leader() {
        return (Voter) node.getTerm().getLeaderEndpoint();
    }

    /** The term that it is in. */
    public int term() {
        return node.getTerm().getTerm();
    }

    /** As which voter it takes part. */
    public Voter self() {
        return (Voter) node.getLocalEndpoint();
    }

    /** Whether it leads, as far as it knows. */
    public boolean isLeader() {
        return self().equals(leader());
    }

    /** Who votes, by the last change that was agreed on. */
    public RaftGroupMembers committedMembers() {
        return node.getCommittedMembers();
    }

    /**
     * Adds or removes a voter; one change at a time, on the leader.
     *
     * @param onResult empty with null, or null with why the change is not known to be agreed on. On the
     *     executor's thread
     */
    @SuppressWarnings("FutureReturnValueIgnored") // The callback is given failures.
    public void changeMembership(
            Voter voter, boolean adding, BiConsumer<String, Throwable> onResult) {
        MembershipChangeMode mode = adding
                ? MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER
                : MembershipChangeMode.REMOVE_MEMBER;
        node.changeMembership(voter, mode, committedMembers().getLogIndex())
                .whenComplete(
                        (result, failure) -> onResult.accept(result == null ? null : "", failure));
    }
}

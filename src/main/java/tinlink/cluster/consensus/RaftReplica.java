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
 * One voter's replica of the log, on the MicroRaft library. Executor, clock, random numbers and transport are
 * passed in: a router passes a thread of its own and its connections to other routers, a simulation passes
 * simulated ones. Methods may be called from any thread; callbacks run on the executor's thread.
 *
 * <p>Source: D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014).
 */
public final class RaftReplica {
    /**
     * What a replica runs on.
     *
     * @param sender sends a message to a voter, on the executor's thread; the message may be lost
     * @param reachable whether a message to a voter can be sent at the moment
     */
    public record Environment(
            RaftNodeExecutor executor,
            Clock clock,
            Random random,
            BiConsumer<Voter, RaftMessage> sender,
            Predicate<Voter> reachable) {}

    /** Is notified of committed lines in the order of the log, on the executor's thread. */
    public interface Listener {
        /**
         * A committed line has been applied.
         *
         * @param line empty if a new leader has started its term with it
         */
        void onApplied(long index, String line);

        /**
         * A snapshot has replaced the state.
         *
         * @param index the log index up to which all lines are part of the snapshot, also those that were
         *     never passed to {@link #onApplied}
         * @param lines the state at that index
         */
        void onRestored(long index, List<String> lines);
    }

    // Milliseconds and seconds of the environment's clock.
    private static final int ELECTION_TIMEOUT_MS = 1000;
    private static final int HEARTBEAT_PERIOD_S = 1;
    private static final int HEARTBEAT_TIMEOUT_S = 4;
    /** Heartbeat timeouts after which a follower that still follows a silent leader is stuck. */
    private static final int STUCK_AFTER_TIMEOUTS = 3;
    /** Append failures in a row, all expecting the same log index, after which a follower is stuck. */
    private static final int MAX_REPEATED_APPEND_FAILURES = 10;

    private final Environment environment;
    private final ReplicatedStateMachine stateMachine;
    private final RecoveryFilter recoveryFilter;
    private final Supplier<RaftNode> nodeFactory;
    private volatile RaftNode node;
    private volatile boolean restarting;
    private volatile boolean terminated;
    /** Used on the executor's thread alone, as is the next field. */
    private int repeatedAppendFailures;
    /** The log index that the last append failure expected. */
    private long lastExpectedIndex;

    /**
     * Restores the replica from its store; the replica takes part from {@link #start} on.
     *
     * @param initialVoters the voters at the first start of the group; ignored if the store has a state
     * @param snapshotIntervalLines number of committed lines between two snapshots
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
     * Returns the position that the log on the sender's disk must have reached for the sender to send the
     * message; null if the message proves none. A pre-vote request proves none, since its term has not been
     * stored yet.
     */
    public static LogPosition confirmedPosition(RaftMessage message) {
        if (message instanceof AppendEntriesSuccessResponse response) {
            return new LogPosition(message.getTerm(), response.getLastLogIndex());
        }
        boolean termPersisted = message instanceof VoteRequest
                || (message instanceof VoteResponse response && response.isGranted())
                || message instanceof AppendEntriesRequest;
        return termPersisted ? new LogPosition(message.getTerm(), 0) : null;
    }

    /** Starts to take part. To be called once, on any thread. */
    @SuppressWarnings(
            "FutureReturnValueIgnored") // The state of the node is checked by restartIfStuck.
    public void start() {
        node.start();
    }

    /** Stops the replica for good. A task that runs on the executor may still complete. */
    @SuppressWarnings("FutureReturnValueIgnored") // Nothing is done after the termination.
    public void terminate() {
        terminated = true;
        node.terminate();
    }

    /** Whether the replica no longer takes part, for example because its voter was removed. */
    public boolean isTerminated() {
        return !restarting && RaftNodeStatus.isTerminal(node.getStatus());
    }

    /**
     * Restarts the replica from its store if it doesn't notice that its leader is silent. To be called
     * periodically. After a snapshot, a follower of the library may stop checking for heartbeats of its
     * leader (in a seeded simulation, no vote was requested in thirty seconds without a leader), and a group
     * of such followers never elects another leader.
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
     * Counts append failures, and restarts the replica from its store when they repeat. A follower of the
     * library that installs another voter's snapshot, while its own log has later entries of a leader that
     * had no majority, may reject the entries after the snapshot forever (in a seeded simulation, such a
     * voter acknowledged nothing any more). {@link StoredRaftState} drops the entries of that leader.
     */
    private void countAppendFailures(RaftMessage message) {
        if (message instanceof AppendEntriesFailureResponse failure) {
            repeatedAppendFailures = failure.getExpectedNextIndex() == lastExpectedIndex
                    ? repeatedAppendFailures + 1
                    : 0;
            lastExpectedIndex = failure.getExpectedNextIndex();
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

    @SuppressWarnings("FutureReturnValueIgnored") // The new node is checked by restartIfStuck.
    private void restart(RaftNode current) {
        if (restarting || terminated || current != node) {
            return;
        }
        restarting = true;
        current.terminate().whenComplete((result, failure) -> {
            if (!terminated) {
                // The new node replays the stored state from its beginning.
                stateMachine.restore(List.of());
                node = nodeFactory.get();
                restarting = false;
                node.start();
            }
        });
    }

    /** Sets the floor that this voter observes from now on. */
    public void setFloor(RecoveryFloor newFloor) {
        recoveryFilter.setFloor(newFloor);
    }

    /** Whether this voter's log has reached its floor. */
    public boolean hasReachedFloor() {
        return recoveryFilter.hasReachedFloor();
    }

    /** Handles a message of another voter, unless this voter's floor forbids it. */
    public void receive(RaftMessage message) {
        if (recoveryFilter.mayReceive(message)) {
            node.handle(message);
        }
    }

    /**
     * Proposes a line.
     *
     * @param onResult called on the executor's thread: with the state machine's reply and null once the line
     *     is committed, or with null and the reason why it is not, or is not known to be
     */
    @SuppressWarnings("FutureReturnValueIgnored") // The callback is given failures.
    public void propose(String line, BiConsumer<String, Throwable> onResult) {
        node.<String>replicate(line)
                .whenComplete((result, failure) ->
                        onResult.accept(result == null ? null : result.getResult(), failure));
    }

    /**
     * Confirms with a majority the commit index as of this call, and applies the log up to it here; succeeds
     * on the leader only.
     *
     * @param onResult called on the executor's thread: with the index and null, or with null and the reason
     *     why the index is not confirmed
     */
    @SuppressWarnings("FutureReturnValueIgnored") // The callback is given failures.
    public void confirmCommitIndex(BiConsumer<Long, Throwable> onResult) {
        node.query("", QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.<Duration>empty())
                .whenComplete((result, failure) ->
                        onResult.accept(result == null ? null : result.getCommitIndex(), failure));
    }

    /** The leader as far as this replica knows; null if it knows of none. */
    public Voter leader() {
        return (Voter) node.getTerm().getLeaderEndpoint();
    }

    /** The current term of this replica. */
    public int term() {
        return node.getTerm().getTerm();
    }

    /** The voter as which this replica takes part. */
    public Voter self() {
        return (Voter) node.getLocalEndpoint();
    }

    /** Whether this replica is the leader, as far as it knows. */
    public boolean isLeader() {
        return self().equals(leader());
    }

    /** The members of the group after the last committed membership change. */
    public RaftGroupMembers committedMembers() {
        return node.getCommittedMembers();
    }

    /**
     * Adds or removes a voter; succeeds on the leader only, one change at a time.
     *
     * @param onResult called on the executor's thread: with an empty text and null once the change is
     *     committed, or with null and the reason why it is not known to be
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

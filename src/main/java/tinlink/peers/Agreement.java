package tinlink.peers;

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

import tinlink.peers.choice.Entry;
import tinlink.peers.choice.Floor;

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
public final class Agreement {
    /** What an agreement runs on. */
    public record Ground(
            RaftNodeExecutor executor,
            Clock clock,
            Random random,
            BiConsumer<Voter, RaftMessage> send,
            Predicate<Voter> reachable) {}

    /** What hears of what was agreed: on the executor's thread, in order. */
    public interface Hears {
        void played(long index, String line);

        /**
         * What stands is these lines, as of that index; lines that were not heard one by one are in
         * it.
         */
        void from(long index, List<String> lines);
    }

    /** A snapshot is passed on in pieces of about so many characters. */
    private static final int PIECE = 1 << 18;
    /**
     * One of the library's heartbeats, and how long a leader may be silent, in its milliseconds.
     */
    private static final int BEAT_S = 1;

    private static final int SILENT_S = 4;
    /** A follower that has not missed its leader after so many times as long won't. */
    private static final int DEAF = 3;

    private volatile RaftNode node;
    /** As often in a row has it refused to go on from the same place; on the agreement's thread. */
    private static final int REFUSED = 10;

    private int refused;
    private long refusedAt;
    private volatile boolean anew;
    private volatile boolean ends;
    private final Ground ground;
    private final Supplier<RaftNode> made;
    private final Agreed agreed;
    private final Hears hears;
    private final Kept kept;
    /** What this voter holds to; read by both threads. */
    private volatile Floor floor = Floor.NONE;

    /**
     * @param first who votes at the very first start of the group; of no account where something
     *     was kept
     * @param snapshotEvery lines between two snapshots
     */
    public Agreement(
            Voter self,
            Collection<Voter> first,
            Kept kept,
            Agreed agreed,
            Hears hears,
            Ground ground,
            int snapshotEvery) {
        this.agreed = agreed;
        this.hears = hears;
        this.kept = kept;
        this.ground = ground;
        RaftConfig config = RaftConfig.newBuilder()
                .setLeaderElectionTimeoutMillis(1000)
                .setLeaderHeartbeatPeriodSecs(BEAT_S)
                .setLeaderHeartbeatTimeoutSecs(SILENT_S)
                .setCommitCountToTakeSnapshot(snapshotEvery)
                .setTransferSnapshotsFromFollowersEnabled(false)
                .build();
        made = () -> made(self, first, config);
        node = made.get();
    }

    private RaftNode made(Voter self, Collection<Voter> first, RaftConfig config) {
        RaftNode.RaftNodeBuilder b = RaftNode.newBuilder()
                .setGroupId(RaftCodec.GROUP)
                .setConfig(config)
                .setExecutor(ground.executor())
                .setClock(ground.clock())
                .setRandom(ground.random())
                .setStore(kept)
                .setStateMachine(new Machine())
                .setTransport(new Transport() {
                    @Override
                    public void send(RaftEndpoint to, RaftMessage m) {
                        refuses(m);
                        if (maySay(m)) {
                            ground.send().accept((Voter) to, m);
                        }
                    }

                    @Override
                    public boolean isReachable(RaftEndpoint to) {
                        return ground.reachable().test((Voter) to);
                    }
                });
        RestoredRaftState restored = kept.restored();
        return (restored != null
                        ? b.setRestoredState(restored)
                        : b.setLocalEndpoint(self)
                                .setInitialGroupMembers(new ArrayList<RaftEndpoint>(first)))
                .build();
    }

    private final class Machine implements StateMachine {
        @Override
        public Object runOperation(long index, Object what) {
            String line = (String) what;
            String said = line.isEmpty() ? "" : agreed.play(line);
            hears.played(index, line);
            return said;
        }

        @Override
        public void takeSnapshot(long index, Consumer<Object> pieces) {
            StringBuilder piece = new StringBuilder();
            for (String line : agreed.lines()) {
                if (piece.length() + line.length() > PIECE && piece.length() > 0) {
                    pieces.accept(piece.toString());
                    piece.setLength(0);
                }
                piece.append(line).append('\n');
            }
            pieces.accept(piece.toString());
        }

        @Override
        public void installSnapshot(long index, List<Object> pieces) {
            List<String> lines = new ArrayList<>();
            for (Object p : pieces) {
                lines.addAll(((String) p).lines().toList());
            }
            agreed.from(lines);
            hears.from(index, lines);
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
    public static Entry.Reached shows(RaftMessage m) {
        if (m instanceof AppendEntriesSuccessResponse a) {
            return new Entry.Reached(m.getTerm(), a.getLastLogIndex());
        }
        boolean kept = m instanceof VoteRequest
                || (m instanceof VoteResponse v && v.isGranted())
                || m instanceof AppendEntriesRequest;
        return kept ? new Entry.Reached(m.getTerm(), 0) : null;
    }

    @SuppressWarnings("FutureReturnValueIgnored") // What a node reports is looked at by tend.
    public void start() {
        node.start();
    }

    @SuppressWarnings("FutureReturnValueIgnored") // Nothing follows its end.
    public void end() {
        ends = true;
        node.terminate();
    }

    /** Its group has gone on without it. */
    public boolean isOver() {
        return !anew && RaftNodeStatus.isTerminal(node.getStatus());
    }

    /**
     * Looks whether this voter still notices that its leader is silent; to be called now and then.
     * Danger: after it has taken a snapshot the library's follower may stop to look (seen in a
     * seeded play: no vote was asked for in thirty seconds without a leader), and a group of such
     * followers never gets another leader. Such a one is made anew from what is kept.
     */
    @SuppressWarnings("FutureReturnValueIgnored") // The callback hears of failures.
    public void tend() {
        RaftNode n = node;
        if (anew || ends || RaftNodeStatus.isTerminal(n.getStatus())) {
            return;
        }
        n.getReport().whenComplete((o, e) -> {
            if (e == null && n == node && isDeaf(o.getResult())) {
                again(n);
            }
        });
    }

    /**
     * Danger: a follower that took a snapshot of another while lines of a leader that did not get
     * through stood behind it in its log may refuse what follows the snapshot for ever (seen in a
     * seeded play: a voter that confirmed nothing any more). What is kept has no such lines, so it
     * is made anew from that.
     */
    private void refuses(RaftMessage m) {
        if (m instanceof AppendEntriesFailureResponse f) {
            refused = f.getExpectedNextIndex() == refusedAt ? refused + 1 : 0;
            refusedAt = f.getExpectedNextIndex();
            if (refused >= REFUSED && !anew && !ends) {
                refused = 0;
                RaftNode n = node;
                ground.executor().submit(() -> again(n));
            }
        } else if (m instanceof AppendEntriesSuccessResponse) {
            refused = 0;
        }
    }

    private boolean isDeaf(RaftNodeReport r) {
        long silent =
                ground.clock().millis() - r.getLeaderHeartbeatTimestamp().orElse(Long.MAX_VALUE);
        return r.getRole() != RaftRole.LEADER
                && r.getTerm().getLeaderEndpoint() != null
                && silent > DEAF * 1000L * SILENT_S;
    }

    @SuppressWarnings(
            "FutureReturnValueIgnored") // The callback hears of failures; tend looks after the new
    // one.
    private void again(RaftNode n) {
        if (anew || ends || n != node) {
            return;
        }
        anew = true;
        n.terminate().whenComplete((o, e) -> {
            if (!ends) {
                agreed.from(List.of()); // What is kept is played through from its beginning.
                node = made.get();
                anew = false;
                node.start();
            }
        });
    }

    /** From any thread: what this voter holds to from now on. */
    public void holdsTo(Floor now) {
        floor = now;
    }

    /** Whether its log is as far as what it holds to. */
    public boolean isAsFar() {
        Floor end = kept.end();
        return floor.mayStand(end.lastTerm(), end.lastIndex());
    }

    /** It asks nobody for a vote before it is as far as others were. */
    private boolean maySay(RaftMessage m) {
        return !(m instanceof PreVoteRequest || m instanceof VoteRequest) || isAsFar();
    }

    /** From any thread. */
    public void heard(RaftMessage m) {
        Floor f = floor;
        boolean may = m instanceof VoteRequest v
                ? f.mayGrant(v.getTerm(), v.getLastLogTerm(), v.getLastLogIndex())
                : m instanceof PreVoteRequest p
                        ? f.mayAnswer(p.getLastLogTerm(), p.getLastLogIndex())
                        : !(m instanceof AppendEntriesRequest
                                        || m instanceof InstallSnapshotRequest)
                                || f.mayFollow(m.getTerm());
        if (may) {
            node.handle(m);
        }
    }

    /**
     * Proposes a line.
     *
     * @param told what is said to it once it is agreed, with null for why; or why it is not known
     *     whether it is, or that it is not. On the executor's thread
     */
    @SuppressWarnings("FutureReturnValueIgnored") // The callback hears of failures.
    public void propose(String line, BiConsumer<String, Throwable> told) {
        node.<String>replicate(line)
                .whenComplete((o, e) -> told.accept(o == null ? null : o.getResult(), e));
    }

    /**
     * Once all that was agreed before this call has been played here; only the leader can say so.
     */
    @SuppressWarnings("FutureReturnValueIgnored") // The callback hears of failures.
    public void settled(BiConsumer<Long, Throwable> told) {
        node.query("", QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.<Duration>empty())
                .whenComplete((o, e) -> told.accept(o == null ? null : o.getCommitIndex(), e));
    }

    /** Null where none is known. */
    public Voter leader() {
        RaftTerm t = node.getTerm();
        return (Voter) t.getLeaderEndpoint();
    }

    public int term() {
        return node.getTerm().getTerm();
    }

    public Voter self() {
        return (Voter) node.getLocalEndpoint();
    }

    public boolean leads() {
        return self().equals(leader());
    }

    public RaftGroupMembers group() {
        return node.getCommittedMembers();
    }

    /** One change at a time; on the leader. */
    @SuppressWarnings("FutureReturnValueIgnored") // The callback hears of failures.
    public void change(Voter who, boolean in, BiConsumer<String, Throwable> told) {
        node.changeMembership(
                        who,
                        in
                                ? MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER
                                : MembershipChangeMode.REMOVE_MEMBER,
                        group().getLogIndex())
                .whenComplete((o, e) -> told.accept(o == null ? null : "", e));
    }
}

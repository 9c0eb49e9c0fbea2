package tinlink.peers;

import io.microraft.MembershipChangeMode;
import io.microraft.QueryPolicy;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.RaftNodeStatus;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.report.RaftGroupMembers;
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
import tinlink.peers.choice.Entry;

/**
 * One voter's part in agreeing, on the library's implementation of Raft. Time, chance, the thread and the way
 * to others come from outside: in service a thread of its own and the peers' links, in a play the simulated
 * ones.
 *
 * <p>Source: D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014).
 */
public final class Agreement {
    /** What an agreement runs on. */
    public record Ground(RaftNodeExecutor executor, Clock clock, Random random, BiConsumer<Voter,
            RaftMessage> send,
                  Predicate<Voter> reachable) {
    }

    /** What hears of what was agreed: on the executor's thread, in order. */
    public interface Hears {
        void played(long index, String line);

        /** What stands is these lines, as of that index; lines that were not heard one by one are in it. */
        void from(long index, List<String> lines);
    }

    /** A snapshot is passed on in pieces of about so many characters. */
    private static final int PIECE = 1 << 18;
    private final RaftNode node;
    private final Agreed agreed;
    private final Hears hears;

    /**
     * @param first who votes at the very first start of the group; of no account where something was kept
     * @param snapshotEvery lines between two snapshots
     */
    public Agreement(Voter self, Collection<Voter> first, Kept kept, Agreed agreed, Hears hears,
            Ground ground,
              int snapshotEvery) {
        this.agreed = agreed;
        this.hears = hears;
        RaftConfig config = RaftConfig.newBuilder().setLeaderElectionTimeoutMillis(1000)
                .setLeaderHeartbeatPeriodSecs(1).setLeaderHeartbeatTimeoutSecs(4)
                .setCommitCountToTakeSnapshot(snapshotEvery).setTransferSnapshotsFromFollowersEnabled(false)
                .build();
        RaftNode.RaftNodeBuilder b = RaftNode.newBuilder().setGroupId(RaftCodec.GROUP).setConfig(config)
                .setExecutor(ground.executor()).setClock(ground.clock()).setRandom(ground.random())
                .setStore(kept).setStateMachine(new Machine()).setTransport(new Transport() {
                    @Override
                    public void send(RaftEndpoint to, RaftMessage m) {
                        ground.send().accept((Voter) to, m);
                    }

                    @Override
                    public boolean isReachable(RaftEndpoint to) {
                        return ground.reachable().test((Voter) to);
                    }
                });
        RestoredRaftState restored = kept.restored();
        node = (restored != null ? b.setRestoredState(restored)
                : b.setLocalEndpoint(self).setInitialGroupMembers(new ArrayList<RaftEndpoint>(first)))
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
     * How far a message shows its sender's disk to be; null where it shows nothing. Asking whether one would
     * be voted for names a term that is not on any disk yet.
     */
    public static Entry.Reached shows(RaftMessage m) {
        if (m instanceof AppendEntriesSuccessResponse a) {
            return new Entry.Reached(m.getTerm(), a.getLastLogIndex());
        }
        boolean kept = m instanceof VoteRequest || m instanceof VoteResponse v && v.isGranted()
                || m instanceof AppendEntriesRequest;
        return kept ? new Entry.Reached(m.getTerm(), 0) : null;
    }

    public void start() {
        node.start();
    }

    public void end() {
        node.terminate();
    }

    public boolean isOver() {
        return RaftNodeStatus.isTerminal(node.getStatus());
    }

    /** From any thread. */
    public void heard(RaftMessage m) {
        node.handle(m);
    }

    /**
     * Proposes a line.
     *
     * @param told what is said to it once it is agreed, with null for why; or why it is not known whether it
     * is, or that it is not. On the executor's thread
     */
    public void propose(String line, BiConsumer<String, Throwable> told) {
        node.<String>replicate(line).whenComplete((o, e) -> told.accept(o == null ? null : o.getResult(), e));
    }

    /** Once all that was agreed before this call has been played here; only the leader can say so. */
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
    public void change(Voter who, boolean in, BiConsumer<String, Throwable> told) {
        node.changeMembership(who, in ? MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER
                : MembershipChangeMode.REMOVE_MEMBER, group().getLogIndex())
                .whenComplete((o, e) -> told.accept(o == null ? null : "", e));
    }
}

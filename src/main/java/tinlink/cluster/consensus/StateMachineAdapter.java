package tinlink.cluster.consensus;

import io.microraft.statemachine.StateMachine;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Adapts a {@link ReplicatedStateMachine} to the interface of the Raft library. Runs on the Raft thread. */
final class StateMachineAdapter implements StateMachine {
    /** Approximate length of a snapshot chunk, in characters. */
    private static final int SNAPSHOT_CHUNK_CHARS = 1 << 18;

    private final ReplicatedStateMachine stateMachine;
    private final RaftReplica.Listener listener;

    StateMachineAdapter(ReplicatedStateMachine stateMachine, RaftReplica.Listener listener) {
        this.stateMachine = stateMachine;
        this.listener = listener;
    }

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

    /** A new leader starts its term with an empty line; with that line, all lines before it are committed. */
    @Override
    public Object getNewTermOperation() {
        return "";
    }
}

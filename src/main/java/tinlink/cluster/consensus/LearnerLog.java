package tinlink.cluster.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * The committed lines that this router has learned: the state machine to which all of them are applied, and
 * the newest lines one by one. The router uses the log itself, and serves it to routers that don't vote
 * (learners). Confined to the event loop's thread.
 */
public final class LearnerLog {
    /**
     * What a learner is missing.
     *
     * @param index the log index up to which the learner is complete with this batch
     * @param isSnapshot whether the lines are a snapshot of the state at that index, instead of the lines
     *     that the learner has not applied yet
     */
    public record Batch(long index, boolean isSnapshot, List<String> lines) {}

    private record LogLine(long index, String text) {}

    private final int maxLines;
    private final ReplicatedStateMachine stateMachine;
    /** The newest lines, oldest first; at most {@link #maxLines}. Empty lines are left out. */
    private final ArrayDeque<LogLine> lines = new ArrayDeque<>();

    /** Index of the last line that was applied; 0 before the first. */
    private long index;
    /** All lines with a higher index that were applied are in {@link #lines}. */
    private long completeAfter;

    /**
     * An empty log.
     *
     * @param maxLines number of lines that are kept one by one
     */
    public LearnerLog(ReplicatedStateMachine stateMachine, int maxLines) {
        this.stateMachine = stateMachine;
        this.maxLines = maxLines;
    }

    /** Returns the log index up to which all lines have been applied. */
    public long index() {
        return index;
    }

    /**
     * Applies the line at a log index, unless the line has been applied before.
     *
     * @return whether the line was new
     */
    public boolean append(long newIndex, String line) {
        if (newIndex <= index) {
            return false;
        }
        index = newIndex;
        if (!line.isEmpty()) {
            stateMachine.apply(line);
            lines.add(new LogLine(newIndex, line));
            if (lines.size() > maxLines) {
                completeAfter = lines.poll().index();
            }
        }
        return true;
    }

    /**
     * Replaces the state by a snapshot, unless all lines up to its index have been applied before.
     *
     * @return whether the snapshot was newer
     */
    public boolean restore(long newIndex, List<String> snapshot) {
        if (newIndex <= index) {
            return false;
        }
        index = newIndex;
        completeAfter = newIndex;
        lines.clear();
        stateMachine.restore(snapshot);
        return true;
    }

    /** Returns what a learner is missing after the given index; null if it is missing nothing. */
    public Batch batchAfter(long learnedIndex) {
        if (learnedIndex >= index) {
            return null;
        }
        if (learnedIndex < completeAfter) {
            return new Batch(index, true, stateMachine.snapshot());
        }
        List<String> texts = new ArrayList<>();
        for (LogLine line : lines) {
            if (line.index() > learnedIndex) {
                texts.add(line.text());
            }
        }
        return new Batch(index, false, texts);
    }

    /**
     * Applies a batch that a voter has sent to this router, which does not vote.
     *
     * @param requestedAfter the index after which lines were requested; lines are ignored if this log has
     *     moved on since the request
     * @return whether the batch was new
     */
    public boolean appendBatch(long requestedAfter, Batch batch) {
        if (batch.isSnapshot()) {
            return restore(batch.index(), batch.lines());
        }
        if (requestedAfter != index || batch.index() <= index) {
            return false;
        }
        batch.lines().forEach(stateMachine::apply);
        // The batch does not say which index each line has. If this router served its lines one by
        // one, other learners would apply some of them twice.
        lines.clear();
        completeAfter = batch.index();
        index = batch.index();
        return true;
    }
}

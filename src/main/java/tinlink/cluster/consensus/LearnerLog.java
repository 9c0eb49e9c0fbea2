package tinlink.cluster.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * What was agreed on, as far as this router has learned it, for itself and for routers that don't vote: the
 * newest lines one by one, and the state after them. Event loop's thread only.
 */
public final class LearnerLog {
    /**
     * What a router lacks.
     *
     * @param index up to which all is in it
     * @param isSnapshot the lines are the state as of that index, instead of those that lead up to it
     */
    public record Batch(long index, boolean isSnapshot, List<String> lines) {}

    private record LogLine(long index, String text) {}

    private final int maxLines;
    private final ReplicatedStateMachine stateMachine;
    /** The newest, bounded. */
    private final ArrayDeque<LogLine> lines = new ArrayDeque<>();

    private long index;
    /** Lines after this index are all there. */
    private long completeAfter;

    /**
     * Begins before the first line.
     *
     * @param maxLines lines that are kept one by one
     */
    public LearnerLog(ReplicatedStateMachine stateMachine, int maxLines) {
        this.stateMachine = stateMachine;
        this.maxLines = maxLines;
    }

    /** Up to which all has been applied. */
    public long index() {
        return index;
    }

    /**
     * Applies a line; the same one may come twice.
     *
     * @return whether it was new
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
     * Takes up a state.
     *
     * @return whether it was new
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

    /** What a router lacks that has learned all up to that index; null where it is nothing. */
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
     * Applies what a voter has sent to a router that does not vote.
     *
     * @param requestedAfter the index that was asked for: lines that don't begin there are passed over
     * @return whether something was new
     */
    public boolean appendBatch(long requestedAfter, Batch batch) {
        if (batch.isSnapshot()) {
            return restore(batch.index(), batch.lines());
        }
        if (requestedAfter != index || batch.index() <= index) {
            return false;
        }
        batch.lines().forEach(stateMachine::apply);
        // Danger: which line has which index is not in it; passed on from here some would be
        // applied twice.
        lines.clear();
        completeAfter = batch.index();
        index = batch.index();
        return true;
    }
}

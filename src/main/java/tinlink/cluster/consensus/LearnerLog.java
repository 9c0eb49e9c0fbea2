package tinlink.cluster.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * What was agreed, as far as this router has heard of it, for itself and for routers that don't
 * vote: the newest lines one by one, and what stands after them as a whole.
 */
public final class LearnerLog {
    /** A line and its place in the order; as a whole the lines of what stands after that place. */
    public record Batch(long index, boolean isSnapshot, List<String> lines) {}

    private record LogLine(long index, String text) {}

    private final int maxLines;
    private final ReplicatedStateMachine stateMachine;
    /** The newest, bounded. */
    private final ArrayDeque<LogLine> lines = new ArrayDeque<>();

    private long index;
    /** Lines from here on are all there. */
    private long completeAfter;

    /** @param maxLines lines that are kept one by one */
    public LearnerLog(ReplicatedStateMachine stateMachine, int maxLines) {
        this.stateMachine = stateMachine;
        this.maxLines = maxLines;
    }

    public long index() {
        return index;
    }

    /** The same place may come twice; what is not new is passed over. @return whether it was new */
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

    /** What somebody lacks who has heard up to that place; null where it is nothing. */
    public Batch batchAfter(long learnedIndex) {
        if (learnedIndex >= index) {
            return null;
        }
        if (learnedIndex < completeAfter) {
            return new Batch(index, true, stateMachine.snapshot());
        }
        List<String> texts = new ArrayList<>();
        lines.stream()
                .filter(logLine -> logLine.index() > learnedIndex)
                .forEach(logLine -> texts.add(logLine.text()));
        return new Batch(index, false, texts);
    }

    /**
     * What a voter has told a router that does not vote.
     *
     * @param requestedAfter what was asked for: a piece that does not begin there is passed over
     */
    public boolean appendBatch(long requestedAfter, Batch batch) {
        if (batch.isSnapshot()) {
            return restore(batch.index(), batch.lines());
        }
        if (requestedAfter != index || batch.index() <= index) {
            return false;
        }
        batch.lines().forEach(stateMachine::apply);
        // Danger: which line has which place was not told; passed on from here some would be played
        // twice.
        lines.clear();
        completeAfter = batch.index();
        index = batch.index();
        return true;
    }
}

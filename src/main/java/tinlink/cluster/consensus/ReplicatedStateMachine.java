package tinlink.cluster.consensus;

import java.util.List;

/**
 * A deterministic state machine that is driven by the lines of the replicated log. All replicas apply the
 * same lines in the same order and so reach the same state, which can be written as lines in turn. Confined
 * to the thread of its replica.
 */
public interface ReplicatedStateMachine {
    /**
     * Applies one line.
     *
     * @return the reply to the router that proposed the line; empty if there is none
     */
    String apply(String line);

    /** Returns the whole state, for {@link #restore}. */
    List<String> snapshot();

    /**
     * Replaces the state.
     *
     * @param lines a snapshot; without lines, the state before the first line of the log
     */
    void restore(List<String> lines);
}

package tinlink.cluster.consensus;

import java.util.List;

/**
 * What is agreed on: lines in one order, the same for all replicas. The state after them is the same for
 * all too, and can be written as lines of its own. Belongs to the thread that its replica runs on.
 */
public interface ReplicatedStateMachine {
    /**
     * Applies one line.
     *
     * @return the reply to whoever proposed it; empty where there is none
     */
    String apply(String line);

    /** All of the state, for {@link #restore}. */
    List<String> snapshot();

    /** Takes this state in place of its own; no lines mean the state before the first one. */
    void restore(List<String> lines);
}

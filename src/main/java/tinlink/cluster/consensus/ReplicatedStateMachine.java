package tinlink.cluster.consensus;

import java.util.List;

/**
 * What is agreed on: lines in one order, the same for all. What stands after them is the same for
 * all too, and can be written as lines of its own.
 */
public interface ReplicatedStateMachine {
    /**
     * Plays one line. @return what is said to whoever proposed it; empty where there is nothing to
     * say
     */
    String apply(String line);

    /** All of it, for who starts from here. */
    List<String> snapshot();

    /** Starts from there. */
    void restore(List<String> lines);
}

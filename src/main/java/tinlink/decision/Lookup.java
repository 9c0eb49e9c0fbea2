package tinlink.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * A lookup in flight and its parts. The host sets the public fields before {@link QueryCoordinator#onLookup},
 * unless their comment says otherwise; the coordinator keeps the state of the present step in the other
 * fields. Times are microseconds of the coordinator's clock.
 */
public class Lookup {
    /** Sums of part weights may fall short of a limit by this much, because of rounding. */
    static final double WEIGHT_TOLERANCE = 1e-4;

    /** The objectives and limits of the lookup. */
    public LookupClass lookupClass;
    /** Whether the client marked the lookup as a retry. */
    public boolean clientRetry;
    /**
     * Whether a router of another site forwarded the lookup, which then has a single part. The part goes to
     * one data node of this site, once, and is not forwarded again.
     */
    public boolean forwarded;

    /** When the lookup arrived; set by the coordinator. */
    public long arrivedAtUs;
    /** When the client stops waiting. */
    public long clientDeadlineUs;
    /** Number of parts in the present step; set by the coordinator for the second step. */
    public int announcedParts;
    /** The parts of the present step that have arrived so far; filled by the coordinator. */
    public List<Part> parts = new ArrayList<>();
    /** Whether the lookup has its final answer, or its client has left; set by the coordinator. */
    public boolean ended;

    /** Length of a round: a part whose attempt is unanswered for this long is hedged. */
    long roundUs;
    /** Latest time for the final answer of the present step. */
    long endsAtUs;
    /** Whether the round is not shortened, so that an unanswered attempt counts against its data node. */
    boolean fullLengthRound;

    /** When the coordinator checks the lookup again if no input makes it do so before. */
    long nextCheckAtUs;
    /** When the first round began; the time until an answer can arrive from another site is left out. */
    long roundStartedAtUs;

    boolean started;
    boolean firstRoundOver;
    boolean queued;
    /** Whether one part was sent ahead as the canary, and the other parts wait for its answer. */
    boolean awaitingCanary;
    /** The data node of the latest lost connection; null where none was lost. */
    private DataNode lostNode;

    private boolean lostTwoNodes;
    /** Whether the present step is the second one; set by the coordinator. */
    public boolean secondStep;

    boolean firstStepComplete = true;

    boolean hasAllParts() {
        return parts.size() >= announcedParts;
    }

    /** The sum of the weights of the parts that match. */
    double weight(Predicate<Part> predicate) {
        return parts.stream().filter(predicate).mapToDouble(part -> part.weight).sum();
    }

    double satisfiedWeight() {
        return weight(part -> part.satisfied);
    }

    double awaitedWeight() {
        return weight(Part::isAwaited);
    }

    /** The weight that completes the present step; a second step needs all of its parts. */
    double neededWeight() {
        return secondStep ? 1 : lookupClass.completeShare;
    }

    /** Whether satisfied parts of this weight complete the present step. */
    boolean isComplete(double weight) {
        return weight >= neededWeight() - WEIGHT_TOLERANCE;
    }

    /**
     * The least weight for an answer once the lookup can wait no longer. The second step may be answered in
     * part only where the class allows partial answers.
     */
    double minimumWeight() {
        return secondStep && !lookupClass.allowsPartialAnswers() ? 1 : lookupClass.minimumShare;
    }

    /** Records that the connection to a data node was lost with an attempt of this lookup on it. */
    void recordLostNode(DataNode node) {
        lostTwoNodes |= lostNode != null && lostNode != node;
        lostNode = node;
    }

    /** Whether the lookup has lost connections to two data nodes, and may have crashed them. */
    boolean isSuspect() {
        return lostTwoNodes;
    }

    boolean isRoundOver(long nowUs) {
        return nowUs >= roundStartedAtUs + roundUs;
    }

    /** Makes the coordinator check the lookup again at the given time or earlier. */
    void checkBy(long atUs) {
        nextCheckAtUs = Math.min(nextCheckAtUs, atUs);
    }
}

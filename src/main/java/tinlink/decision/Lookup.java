package tinlink.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * A lookup in flight and its parts. The host sets the public fields before {@link QueryCoordinator#onLookup};
 * the others are the coordinator's notes on the present step. Times are microseconds of the coordinator's
 * clock.
 */
public class Lookup {
    /** Sums of part weights may be this much short. */
    static final double WEIGHT_TOLERANCE = 1e-4;

    /** What is agreed for lookups like it. */
    public LookupClass lookupClass;
    /** A client's retry, where clients mark them. */
    public boolean isClientRetry;
    /** A part that a router of another site has forwarded: it goes to one node here, once, and never on. */
    public boolean isForwarded;

    /** Set by the coordinator. */
    public long arrivedAtUs;
    /** When the client stops waiting. */
    public long clientDeadlineUs;
    /** How many parts the present step has. */
    public int announcedParts;
    /** Those of them that have come so far; the coordinator adds them. */
    public List<Part> parts = new ArrayList<>();
    /** It has its final answer, or its client has left. */
    public boolean isEnded;

    /** Length of a round: this long an attempt may be silent before the part is hedged. */
    long roundUs;
    /** The last moment for a final answer to this step. */
    long endsAtUs;
    /** Its round is as long as its class's, so that silence means something. */
    boolean isSilenceConclusive;

    /** The coordinator looks at it again by then, if nothing happens before. */
    long nextCheckAtUs;
    /** When the first round began. */
    long roundStartedAtUs;

    boolean isStarted;
    boolean isFirstRoundOver;
    boolean isQueued;
    /** One part has gone first as the canary, and the others wait for it. */
    boolean awaitsCanary;
    /** The node that it last lost a connection to, and whether it has lost two. */
    private DataNode lostNode;

    private boolean hasLostTwoNodes;
    /** The parts are those of the second step. */
    public boolean isSecondStep;

    boolean isFirstStepComplete = true;

    boolean hasAllParts() {
        return parts.size() >= announcedParts;
    }

    /** The sum of the weights of these parts. */
    double weight(Predicate<Part> which) {
        return parts.stream().filter(which).mapToDouble(part -> part.weight).sum();
    }

    double satisfiedWeight() {
        return weight(part -> part.isSatisfied);
    }

    double awaitedWeight() {
        return weight(Part::isAwaited);
    }

    /** The weight that completes the present step; a second step needs all of its parts. */
    double neededWeight() {
        return isSecondStep ? 1 : lookupClass.completeShare;
    }

    /** Whether parts of that weight complete the step. */
    boolean isComplete(double weight) {
        return weight >= neededWeight() - WEIGHT_TOLERANCE;
    }

    /** The least weight for any answer at the end; a second step may be partial only where the first may. */
    double minimumWeight() {
        return isSecondStep && !lookupClass.allowsPartialAnswers() ? 1 : lookupClass.minimumShare;
    }

    /** A connection with a part of this lookup on it was lost. */
    void recordLostNode(DataNode node) {
        hasLostTwoNodes |= lostNode != null && lostNode != node;
        lostNode = node;
    }

    /** It has lost connections to two nodes, which it may have brought down. */
    boolean isSuspect() {
        return hasLostTwoNodes;
    }

    boolean isRoundOver(long nowUs) {
        return nowUs >= roundStartedAtUs + roundUs;
    }

    /** The coordinator looks at it again at that time, or before. */
    void checkBy(long atUs) {
        nextCheckAtUs = Math.min(nextCheckAtUs, atUs);
    }
}

package tinlink.decision;

import java.util.ArrayList;
import java.util.List;

/**
 * A lookup in hand and its parts. Fields only; the module keeps its notes on the lookup here too.
 */
public class Lookup {
    public LookupClass lookupClass;
    /** A client's repeat, where clients mark them. */
    public boolean isClientRetry;
    /**
     * A part that a router of another site has passed on: it goes to one node here, once, and never
     * on.
     */
    public boolean isForwarded;

    public long arrivedAtUs;
    /** When the client stops waiting. */
    public long clientDeadlineUs;
    /** Parts of the step in hand: how many were announced, and those taken so far. */
    public int announcedParts;

    public List<Part> parts = new ArrayList<>();
    public boolean isEnded;

    // The rounds of the step in hand.
    public long roundUs;
    public long endsAtUs;
    /** Its round is as long as its index's, so silence means something. */
    public boolean isSilenceConclusive;

    public long nextCheckAtUs;
    public long roundStartedAtUs;
    public boolean isStarted;
    public boolean isFirstRoundOver;
    public boolean isQueued;
    /** One part has gone first, the others wait for it. */
    public boolean awaitsCanary;
    /** The node that it last lost a connection to, and whether it has lost two. */
    public DataNode lostAt;

    public boolean suspect;
    public boolean isSecondStep;
    public boolean isFirstStepComplete = true;
}

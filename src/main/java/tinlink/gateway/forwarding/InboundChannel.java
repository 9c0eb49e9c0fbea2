package tinlink.gateway.forwarding;

import java.util.TreeMap;

/**
 * One line of one start of a router of another site, as the far router knows it. The deciding class keeps its
 * state here.
 */
public final class InboundChannel {
    /** Site and router. */
    final String router;
    /** Which of that router's lines to here. */
    public final int index;

    public final long incarnation;
    /** Whatever the connection is to whoever carries things out; null while there is none. */
    Object session;
    /** Where answers go: the session that asked last, on this line or another. */
    Object statusSession;

    long disconnectedAt;
    /** How often its line has come up, as its near router counts. */
    long connectCount;
    /** Nothing under it begins any more. */
    long minAcceptedNumber;
    /** Of what lies under it and is not in the table, nobody knows whether it ran. */
    long forgottenBelow;
    /**
     * By number; each leaves as its near router has no more interest, by a bound, or with its
     * origin.
     */
    final TreeMap<Long, ReceivedPart> parts = new TreeMap<>();

    int running;
    long lastStarted;

    InboundChannel(String router, int index, long incarnation, long minAcceptedNumber) {
        this.router = router;
        this.index = index;
        this.incarnation = incarnation;
        this.minAcceptedNumber = minAcceptedNumber;
        forgottenBelow = minAcceptedNumber;
        lastStarted = minAcceptedNumber - 1;
    }

    static String key(String router, int index, long incarnation) {
        return router + "/" + incarnation + "/" + index;
    }

    String key() {
        return key(router, index, incarnation);
    }
}

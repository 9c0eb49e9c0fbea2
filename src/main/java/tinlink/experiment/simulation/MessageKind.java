package tinlink.experiment.simulation;

/** Kinds of messages between routers, as their traffic is counted. */
public enum MessageKind {
    /** Between voters, by the agreement's library. */
    AGREEMENT,
    /** A router that does not vote asks what has been agreed. */
    LEARN,
    /** The answer, with the lines that it lacks. */
    LEARNED,
    /** A line for whoever leads, to be agreed on. */
    PROPOSE,
    /** What came of it. */
    PROPOSED,
    /** A lease is asked for: a majority is to confirm how much has been agreed. */
    CONFIRM,
    /** The answer. */
    CONFIRMED,
    /** With which disk a router is there. */
    SEAT,
    /** A router's report on itself and on machines that it watches. */
    REPORT,
    /** A router's list of data nodes. */
    NODE_LIST,
    /** Membership: probes and their answers, with rumours. */
    MEMBERSHIP,
    /** Not told apart. */
    OTHER
}

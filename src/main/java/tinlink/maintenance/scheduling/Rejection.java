package tinlink.maintenance.scheduling;

/**
 * The reason why a command was rejected; all routers get the same reason. Operators and other routers receive
 * the messages, so their wording must not change.
 */
public enum Rejection {
    /** The limits differ from the agreed ones. */
    LIMITS_ALREADY_SET("other bounds are agreed on"),
    /** No request is accepted before limits are agreed on. */
    LIMITS_NOT_SET("no bounds are agreed on yet: ask again"),
    /** The number of machines has reached the limit. */
    TOO_MANY_MACHINES("too many machines"),
    /** The number of routers has reached the limit. */
    TOO_MANY_ROUTERS("too many routers"),
    /** The open tasks and those of the request would exceed the limit. */
    TOO_MANY_TASKS("too much work is asked for"),
    /** The id belongs to a request with other content. */
    REQUEST_ID_TAKEN("another request has that id"),
    /** No request has the id, or it has been dropped. */
    UNKNOWN_REQUEST("no request has that id"),
    /** These machines of a cancelled request are out; its other tasks have been cancelled. */
    ALREADY_OUT("out already, say done when it is back: "),
    /** This machine of a completed request is not out yet; the command has been applied to the others. */
    NOT_OUT_YET("not out yet: "),
    /** The fencing token or the incarnation is outdated, or the grant has ended. */
    GRANT_ENDED("that grant is over"),
    /** No task for the router is returning, or its incarnation is not the newest. */
    NOT_RETURNING("nothing of it is returning"),
    /** The command could not be decoded. */
    UNKNOWN_COMMAND("not understood: ");

    private final String message;

    Rejection(String message) {
        this.message = message;
    }

    /** Returns the message for operators; where it ends in a colon, what was rejected follows. */
    String message() {
        return message;
    }
}

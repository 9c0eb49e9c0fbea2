package tinlink.maintenance.scheduling;

/** Why a command was rejected; the same in all routers. */
public enum Rejection {
    LIMITS_ALREADY_SET("other bounds are agreed on"),
    LIMITS_NOT_SET("no bounds are agreed on yet: ask again"),
    TOO_MANY_MACHINES("too many machines"),
    TOO_MANY_ROUTERS("too many routers"),
    TOO_MANY_TASKS("too much work is asked for"),
    REQUEST_ID_TAKEN("another request has that id"),
    UNKNOWN_REQUEST("no request has that id"),
    /** Of a cancelled request, these machines are out; its other tasks have been cancelled. */
    ALREADY_OUT("out already, say done when it is back: "),
    /** Of a completed request, this machine is not out; those that are have been completed. */
    NOT_OUT_YET("not out yet: "),
    /** The fencing token or the incarnation is not the one that the grant holds for now. */
    GRANT_ENDED("that grant is over"),
    NOT_RETURNING("nothing of it is returning"),
    UNKNOWN_COMMAND("not understood: ");

    private final String message;

    Rejection(String message) {
        this.message = message;
    }

    /** For an operator; what is rejected follows where it ends in a colon. */
    String message() {
        return message;
    }
}

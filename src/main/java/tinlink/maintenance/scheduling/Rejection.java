package tinlink.maintenance.scheduling;

/** Why a command was rejected; the same in all routers. */
public enum Rejection {
    /** The limits differ from those agreed on. */
    LIMITS_ALREADY_SET("other bounds are agreed on"),
    /** Nothing may be requested before limits are agreed on. */
    LIMITS_NOT_SET("no bounds are agreed on yet: ask again"),
    /** As many machines are known as the limits allow. */
    TOO_MANY_MACHINES("too many machines"),
    /** As many routers are known as the limits allow. */
    TOO_MANY_ROUTERS("too many routers"),
    /** As many tasks are open as the limits allow. */
    TOO_MANY_TASKS("too much work is asked for"),
    /** A request with that id says otherwise. */
    REQUEST_ID_TAKEN("another request has that id"),
    /** No such request is known, or not any more. */
    UNKNOWN_REQUEST("no request has that id"),
    /** Of a cancelled request, these machines are out; its other tasks have been cancelled. */
    ALREADY_OUT("out already, say done when it is back: "),
    /** Of a completed request, this machine is not out; those that are have been completed. */
    NOT_OUT_YET("not out yet: "),
    /** The fencing token or the incarnation is not the one that the grant holds for now. */
    GRANT_ENDED("that grant is over"),
    /** No task for that router is returning, or its incarnation is not the newest. */
    NOT_RETURNING("nothing of it is returning"),
    /** The command could not be decoded. */
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

package tinlink.net;

/** A message that the protocol does not allow; for a client, with the status that says so. */
public final class MessageRejectedException extends Exception {
    private static final long serialVersionUID = 1L;
    public final int status;

    public MessageRejectedException(int status, String what) {
        super(what, null, false, false);
        this.status = status;
    }

    MessageRejectedException(String what) {
        this(400, what);
    }
}

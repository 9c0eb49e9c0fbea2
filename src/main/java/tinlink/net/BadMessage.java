package tinlink.net;

/** A message that the protocol does not allow; for a client, with the status that says so. */
public final class BadMessage extends Exception {
    private static final long serialVersionUID = 1L;
    public final int status;

    public BadMessage(int status, String what) {
        super(what, null, false, false);
        this.status = status;
    }

    BadMessage(String what) {
        this(400, what);
    }
}

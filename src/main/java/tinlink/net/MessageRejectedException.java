package tinlink.net;

/**
 * Thrown for a message that violates the protocol; carries the HTTP status of the answer to a
 * client.
 */
public final class MessageRejectedException extends Exception {
    private static final long serialVersionUID = 1L;
    public final int status;

    public MessageRejectedException(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }

    MessageRejectedException(String message) {
        this(400, message);
    }
}

package tinlink.config;

/**
 * Input or configuration that is not what it may be; the message names the key or field at fault.
 */
public final class InvalidInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public InvalidInputException(String message) {
        super(message, null, false, false);
    }
}

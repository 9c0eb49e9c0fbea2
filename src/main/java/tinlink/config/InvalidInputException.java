package tinlink.config;

/**
 * Input that is not what it may be; the message says what is wrong, with the offending value. Of a setting it
 * is a {@link ConfigException}.
 */
public class InvalidInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public InvalidInputException(String message) {
        super(message, null, false, false);
    }
}

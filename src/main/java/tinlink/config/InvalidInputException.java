package tinlink.config;

/**
 * Thrown for invalid input; the message says what is wrong and contains the invalid value. For
 * settings, {@link ConfigException} is thrown.
 */
public class InvalidInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public InvalidInputException(String message) {
        super(message, null, false, false);
    }
}

package tinlink.config;

/**
 * Thrown for an invalid setting. The message is {@code SOURCE: 'KEY' PROBLEM}, or {@code SOURCE:
 * PROBLEM} if the source as a whole is invalid.
 */
public final class ConfigException extends InvalidInputException {
    private static final long serialVersionUID = 1L;

    private final String source;
    private final String key;
    private final String problem;

    /**
     * Creates an exception for one setting or for a whole source.
     *
     * @param source the file, or another origin of the setting: {@code environment}, {@code
     *     config}, {@code policy}
     * @param key the path of the setting within the source; empty if the source as a whole is
     *     invalid
     * @param problem what is wrong, with the invalid value or the allowed values
     */
    public ConfigException(String source, String key, String problem) {
        super(source + ": " + (key.isEmpty() ? "" : "'" + key + "' ") + problem);
        this.source = source;
        this.key = key;
        this.problem = problem;
    }

    /**
     * Returns the origin of the setting: a file, or {@code environment}, {@code config}, {@code
     * policy}.
     */
    public String source() {
        return source;
    }

    /**
     * Returns the path of the setting within its source; empty if the source as a whole is invalid.
     */
    public String key() {
        return key;
    }

    /** Returns what is wrong, with the invalid value or the allowed values. */
    public String problem() {
        return problem;
    }
}

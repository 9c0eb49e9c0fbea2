package tinlink.config;

/**
 * A setting that is not what it may be. The message is {@code SOURCE: 'KEY' PROBLEM}, or {@code SOURCE:
 * PROBLEM} where it is the source as a whole.
 */
public final class ConfigException extends InvalidInputException {
    private static final long serialVersionUID = 1L;

    private final String source;
    private final String key;
    private final String problem;

    /**
     * @param source the file, or what else the setting comes from: {@code environment}, {@code config},
     *     {@code policy}
     * @param key the path of the setting within it; empty where it is the source as a whole
     * @param problem what is wrong, with the offending value or what is allowed
     */
    public ConfigException(String source, String key, String problem) {
        super(source + ": " + (key.isEmpty() ? "" : "'" + key + "' ") + problem);
        this.source = source;
        this.key = key;
        this.problem = problem;
    }

    /** Where the setting comes from: a file, or {@code environment}, {@code config}, {@code policy}. */
    public String source() {
        return source;
    }

    /** The path of the setting within its source; empty where it is the source as a whole. */
    public String key() {
        return key;
    }

    /** What is wrong, with the offending value or what is allowed. */
    public String problem() {
        return problem;
    }
}

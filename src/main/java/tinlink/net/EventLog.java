package tinlink.net;

import java.net.InetSocketAddress;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Writes all log lines of the process, in the form {@code event=name key=value ...}. Names and keys
 * are lower case with underscores. A value that is empty, or that contains white space, a quote or
 * an equals sign, is put in double quotes; a missing value is written as {@code -}. Card numbers,
 * keys and texts of lookups are never logged. {@code docs/on-call.md} lists all events.
 *
 * <p>This class is thread-safe, like the java.util.logging logger that it writes to. Nothing is
 * formatted while the level is disabled.
 */
public final class EventLog {
    /**
     * Kept as a strong reference: java.util.logging discards a logger, and its level, that nothing
     * references.
     */
    private final Logger logger;

    /** @param name the name of the logger, which is part of each line */
    public EventLog(String name) {
        logger = Logger.getLogger(name);
    }

    /**
     * Logs an event without an exception.
     *
     * @param fields alternating keys and values
     */
    public void log(Level level, String event, Object... fields) {
        logFailure(level, event, null, fields);
    }

    /**
     * Logs an event that an exception caused; the stack trace follows the line.
     *
     * @param fields alternating keys and values
     */
    public void logFailure(Level level, String event, Throwable cause, Object... fields) {
        if (logger.isLoggable(level)) {
            logger.log(level, format(event, fields), cause);
        }
    }

    /** Returns the formatted line of an event. */
    static String format(String event, Object... fields) {
        if (fields.length % 2 != 0) {
            throw new IllegalArgumentException(
                    event + ": a key without a value: " + fields[fields.length - 1]);
        }
        StringBuilder line = new StringBuilder("event=").append(event);
        for (int i = 0; i < fields.length; i += 2) {
            line.append(' ').append(fields[i]).append('=');
            appendValue(line, fields[i + 1]);
        }
        return line.toString();
    }

    private static void appendValue(StringBuilder line, Object value) {
        String text =
                value instanceof InetSocketAddress address ? text(address) : String.valueOf(value);
        if (value == null) {
            line.append('-');
        } else if (isPlain(text)) {
            line.append(text);
        } else {
            line.append('"');
            for (int i = 0; i < text.length(); i++) {
                char c = text.charAt(i);
                if (c == '"' || c == '\\') {
                    line.append('\\');
                }
                // Control characters become spaces: a line break in text from another process could
                // otherwise end the line and start a forged event.
                line.append(c < ' ' ? ' ' : c);
            }
            line.append('"');
        }
    }

    private static String text(InetSocketAddress address) {
        String host = address.isUnresolved()
                ? address.getHostString()
                : address.getAddress().getHostAddress();
        return (host.indexOf(':') < 0 ? host : "[" + host + "]") + ":" + address.getPort();
    }

    private static boolean isPlain(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c <= ' ' || c == '"' || c == '=') {
                return false;
            }
        }
        return !text.isEmpty();
    }
}

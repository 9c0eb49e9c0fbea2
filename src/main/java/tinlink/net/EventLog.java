package tinlink.net;

import java.net.InetSocketAddress;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The one way of logging: a line is {@code event=name key=value ...}. Names and keys are lower case with
 * underscores; a value that is empty, or holds a blank, a quote or an equals sign, stands in double quotes;
 * one that is absent is {@code -}. Card numbers, keys and texts of lookups are never given. {@code
 * docs/on-call.md} lists all events.
 *
 * <p>Safe for use by several threads, as the logger of java.util.logging that it writes to. Nothing is
 * formatted while the level is off.
 */
public final class EventLog {
    /** Held here: java.util.logging forgets a logger, and its level, that nobody holds. */
    private final Logger logger;

    /** @param name of the logger, as it stands in each line */
    public EventLog(String name) {
        logger = Logger.getLogger(name);
    }

    /**
     * Writes one event without a cause.
     *
     * @param fields keys and values in turn
     */
    public void log(Level level, String event, Object... fields) {
        logFailure(level, event, null, fields);
    }

    /**
     * An event that an exception has caused; its stack trace follows the line.
     *
     * @param fields keys and values in turn
     */
    public void logFailure(Level level, String event, Throwable cause, Object... fields) {
        if (logger.isLoggable(level)) {
            logger.log(level, format(event, fields), cause);
        }
    }

    /** The line of an event, as it is logged. */
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
                // Danger: what others have sent could end the line and begin one that is no event
                // of ours.
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

package tinlink.config;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * Formats a log line as Unix time in seconds, level, logger and message. The default formatter
 * loads calendar and locale data for its first line, which takes as long at startup as reading the
 * whole configuration.
 */
public final class PlainLogFormatter extends Formatter {
    @Override
    public String format(LogRecord record) {
        String millis = String.valueOf(1000 + record.getMillis() % 1000).substring(1);
        StringWriter line = new StringWriter()
                .append(String.valueOf(record.getMillis() / 1000))
                .append('.')
                .append(millis)
                .append(' ')
                .append(record.getLevel().getName())
                .append(' ')
                .append(record.getLoggerName())
                .append(": ")
                .append(formatMessage(record))
                .append('\n');
        if (record.getThrown() != null) {
            record.getThrown().printStackTrace(new PrintWriter(line, true));
        }
        return line.toString();
    }
}

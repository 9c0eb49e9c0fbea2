package tinlink.cluster.consensus;

import java.util.ArrayList;
import java.util.List;

/**
 * Fields in a line, as lines are agreed on and stored: separated by tabs; tabs, ends of lines and
 * backslashes are escaped by a backslash.
 */
public final class LineCodec {
    private LineCodec() {}

    /** The line of these fields, as {@link String#valueOf(Object)} has each. */
    public static String encode(Object... fields) {
        StringBuilder line = new StringBuilder();
        for (int i = 0; i < fields.length; i++) {
            if (i > 0) {
                line.append('\t');
            }
            appendEscaped(line, String.valueOf(fields[i]));
        }
        return line.toString();
    }

    private static void appendEscaped(StringBuilder line, String field) {
        for (int i = 0; i < field.length(); i++) {
            char next = field.charAt(i);
            switch (next) {
                case '\\' -> line.append("\\\\");
                case '\t' -> line.append("\\t");
                case '\n' -> line.append("\\n");
                case '\r' -> line.append("\\r");
                default -> line.append(next);
            }
        }
    }

    /** The fields of a line, one at least; any text is a line. */
    public static List<String> decode(String line) {
        List<String> fields = new ArrayList<>();
        StringBuilder field = new StringBuilder();
        for (int i = 0; i < line.length(); i++) {
            char next = line.charAt(i);
            if (next == '\t') {
                fields.add(field.toString());
                field.setLength(0);
            } else if (next == '\\' && i + 1 < line.length()) {
                field.append(unescaped(line.charAt(++i)));
            } else {
                field.append(next);
            }
        }
        fields.add(field.toString());
        return fields;
    }

    private static char unescaped(char escaped) {
        return switch (escaped) {
            case 't' -> '\t';
            case 'n' -> '\n';
            case 'r' -> '\r';
            default -> escaped;
        };
    }
}

package tinlink.cluster.consensus;

import java.util.ArrayList;
import java.util.List;

/**
 * Encodes fields as one line, the form of log entries and of stored state. Fields are separated by tabs;
 * tabs, line feeds, carriage returns and backslashes in a field are escaped by a backslash.
 */
public final class LineCodec {
    private LineCodec() {}

    /** Encodes the {@link String#valueOf(Object)} of each field. */
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
            char character = field.charAt(i);
            switch (character) {
                case '\\' -> line.append("\\\\");
                case '\t' -> line.append("\\t");
                case '\n' -> line.append("\\n");
                case '\r' -> line.append("\\r");
                default -> line.append(character);
            }
        }
    }

    /** Decodes the fields of a line. Any text is a valid line, and a line has at least one field. */
    public static List<String> decode(String line) {
        List<String> fields = new ArrayList<>();
        StringBuilder field = new StringBuilder();
        for (int i = 0; i < line.length(); i++) {
            char character = line.charAt(i);
            if (character == '\t') {
                fields.add(field.toString());
                field.setLength(0);
            } else if (character == '\\' && i + 1 < line.length()) {
                field.append(unescaped(line.charAt(++i)));
            } else {
                field.append(character);
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

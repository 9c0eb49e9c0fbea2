package tinlink.cluster.consensus;

import java.util.ArrayList;
import java.util.List;

/**
 * Words in a line, as they are agreed on and kept: parted by tabs, with tabs, ends of lines and \
 * escaped.
 */
public final class LineCodec {
    private LineCodec() {}

    public static String encode(Object... fields) {
        StringBuilder line = new StringBuilder();
        for (int i = 0; i < fields.length; i++) {
            if (i > 0) {
                line.append('\t');
            }
            String field = String.valueOf(fields[i]);
            for (int j = 0; j < field.length(); j++) {
                char c = field.charAt(j);
                switch (c) {
                    case '\\' -> line.append("\\\\");
                    case '\t' -> line.append("\\t");
                    case '\n' -> line.append("\\n");
                    case '\r' -> line.append("\\r");
                    default -> line.append(c);
                }
            }
        }
        return line.toString();
    }

    public static List<String> decode(String line) {
        List<String> fields = new ArrayList<>();
        StringBuilder field = new StringBuilder();
        for (int i = 0; i < line.length(); i++) {
            char c = line.charAt(i);
            if (c == '\t') {
                fields.add(field.toString());
                field.setLength(0);
            } else if (c == '\\' && i + 1 < line.length()) {
                char escaped = line.charAt(++i);
                field.append(
                        escaped == 't'
                                ? '\t'
                                : escaped == 'n' ? '\n' : escaped == 'r' ? '\r' : escaped);
            } else {
                field.append(c);
            }
        }
        fields.add(field.toString());
        return fields;
    }
}

package tinlink.benchlink;

import java.util.HashMap;
import java.util.Map;

/** The path=value pairs an instance is started with. Unknown ones are never asked for. */
final class StartFigures {
    private final Map<String, String> pairs = new HashMap<>();

    StartFigures(String text) {
        for (String pair : text.split(" ")) {
            int eq = pair.indexOf('=');
            if (eq > 0) {
                pairs.put(pair.substring(0, eq), pair.substring(eq + 1));
            } else if (!pair.isEmpty()) {
                throw new BadInput("start: no path=value pair: " + pair);
            }
        }
    }

    boolean has(String path) {
        String value = pairs.get(path);
        return value != null && !value.isEmpty() && !value.equals("-");
    }

    String text(String path, String absent) {
        return has(path) ? pairs.get(path) : absent;
    }

    boolean flag(String path) {
        String value = text(path, "false");
        return value.equals("true") || value.equals("1");
    }

    double number(String path, double absent) {
        return has(path) ? number(path, pairs.get(path)) : absent;
    }

    int whole(String path, int absent) {
        return (int) Math.round(number(path, absent));
    }

    long micros(String path, long absent) {
        return has(path) ? Line.micros("start", path, pairs.get(path)) : absent;
    }

    /** Item i of a list of plain values. */
    double item(String path, int i, double absent) {
        String[] items = text(path, "").split(",");
        return i < items.length && !items[i].isEmpty() ? number(path, items[i]) : absent;
    }

    private static double number(String path, String value) {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new BadInput("start: '" + path + "' is no number: " + value);
        }
    }
}

package tinlink.start;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The figures that a module or a router is started with, by path. The bench gives path=value pairs,
 * a router's file nested JSON; both become the same flat paths. Unknown ones are never asked for.
 */
public final class Figures {
    private static final int MOST_COUNTED = 100_000;
    private final String from;
    private final Map<String, String> pairs = new HashMap<>();

    private Figures(String from) {
        this.from = from;
    }

    /**
     * Reads figures from pairs of key=value, parted by spaces.
     *
     * @param from what the messages call the place that the figures come from
     */
    public static Figures ofPairs(String from, String text) {
        Figures f = new Figures(from);
        for (String pair : text.split(" ", 0)) {
            int eq = pair.indexOf('=');
            if (eq > 0) {
                f.pairs.put(pair.substring(0, eq), pair.substring(eq + 1));
            } else if (!pair.isEmpty()) {
                throw new BadInput(from + ": no path=value pair: " + pair);
            }
        }
        return f;
    }

    /** Nested JSON: lists of plain values are joined with commas, those of objects get a count. */
    static Figures ofTree(String from, Map<?, ?> tree) {
        Figures f = new Figures(from);
        tree.forEach((k, v) -> f.flatten(String.valueOf(k), v));
        return f;
    }

    private void flatten(String path, Object value) {
        if (value instanceof Map<?, ?> map) {
            map.forEach((k, v) -> flatten(path + "." + k, v));
        } else if (value instanceof List<?> list) {
            boolean plain = list.stream().noneMatch(v -> v instanceof Map || v instanceof List);
            if (plain) {
                List<String> all = new ArrayList<>();
                list.forEach(v -> all.add(plain(String.valueOf(v))));
                pairs.put(path, String.join(",", all));
            } else {
                pairs.put(path + ".count", String.valueOf(list.size()));
                for (int i = 0; i < list.size(); i++) {
                    flatten(path + "." + i, list.get(i));
                }
            }
        } else if (value != null) {
            pairs.put(path, String.valueOf(value));
        }
    }

    /** A name as it stands in a list of plain values. */
    public static String plain(String name) {
        return name.replaceAll("[ ,]", "_");
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
        double value = number(path, absent);
        if (Math.abs(value) > Integer.MAX_VALUE) {
            throw bad(path, "is too large: " + pairs.get(path));
        }
        return (int) Math.round(value);
    }

    /**
     * Danger: tables are made of this size, and one that fills the heap is no start that was
     * refused.
     */
    int count(String path, int absent, int least) {
        int value = whole(path, absent);
        if (value < least) {
            throw bad(path, "is under " + least + ": " + value);
        }
        if (value > MOST_COUNTED) {
            throw bad(path, "is over " + MOST_COUNTED + ": " + value);
        }
        return value;
    }

    long micros(String path, long absent) {
        return has(path) ? micros(from + ": '" + path + "'", pairs.get(path)) : absent;
    }

    /** The items of a list of plain values. */
    List<String> items(String path) {
        return has(path) ? List.of(pairs.get(path).split(",")) : List.of();
    }

    /** Item i of a list of plain values. */
    double item(String path, int i, double absent) {
        List<String> items = items(path);
        return i < items.size() && !items.get(i).isEmpty() ? number(path, items.get(i)) : absent;
    }

    BadInput bad(String path, String what) {
        return new BadInput(from + ": '" + path + "' " + what);
    }

    private double number(String path, String value) {
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below, like one that is not finite.
        }
        throw bad(path, "is no number: " + value);
    }

    /** A number without a fraction that says nothing. */
    static String shown(double number) {
        return BigDecimal.valueOf(number).stripTrailingZeros().toPlainString();
    }

    /** Milliseconds with fractions, as whole microseconds. */
    public static long micros(String what, String millis) {
        try {
            BigDecimal us = new BigDecimal(millis).movePointRight(3);
            return us.setScale(0, RoundingMode.HALF_UP).longValueExact();
        } catch (ArithmeticException | NumberFormatException e) {
            throw new BadInput(what + " is no time: " + millis);
        }
    }
}

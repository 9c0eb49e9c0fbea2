package tinlink.config;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The settings of a decision module or router, by path. The bench passes path=value pairs and a
 * router reads nested JSON; both are converted to the same flat paths. Unknown paths are ignored.
 */
public final class FlatSettings {
    private static final int MAX_COUNT = 100_000;
    private final String source;
    private final Map<String, String> pairs = new HashMap<>();

    private FlatSettings(String source) {
        this.source = source;
    }

    /**
     * Parses settings from key=value pairs that are separated by spaces.
     *
     * @param source the name of the settings' origin in messages
     */
    public static FlatSettings ofPairs(String source, String text) {
        FlatSettings settings = new FlatSettings(source);
        for (String pair : text.split(" ", 0)) {
            int equalsAt = pair.indexOf('=');
            if (equalsAt > 0) {
                settings.pairs.put(pair.substring(0, equalsAt), pair.substring(equalsAt + 1));
            } else if (!pair.isEmpty()) {
                throw new ConfigException(source, "", "no path=value pair: " + pair);
            }
        }
        return settings;
    }

    /**
     * Flattens nested JSON: lists of plain values are joined with commas; lists of objects get a
     * count.
     */
    static FlatSettings ofTree(String source, Map<?, ?> tree) {
        FlatSettings settings = new FlatSettings(source);
        tree.forEach((key, element) -> settings.flatten(String.valueOf(key), element));
        return settings;
    }

    private void flatten(String path, Object value) {
        if (value instanceof Map<?, ?> map) {
            map.forEach((key, element) -> flatten(path + "." + key, element));
        } else if (value instanceof List<?> list) {
            boolean allPlain = list.stream()
                    .noneMatch(element -> element instanceof Map || element instanceof List);
            if (allPlain) {
                List<String> all = new ArrayList<>();
                list.forEach(element -> all.add(plainName(String.valueOf(element))));
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

    /** Replaces spaces and commas by underscores, since commas separate the items of a list. */
    public static String plainName(String name) {
        return name.replaceAll("[ ,]", "_");
    }

    boolean has(String path) {
        String value = pairs.get(path);
        return value != null && !value.isEmpty() && !value.equals("-");
    }

    String text(String path, String defaultValue) {
        return has(path) ? pairs.get(path) : defaultValue;
    }

    boolean flag(String path) {
        String value = text(path, "false");
        return value.equals("true") || value.equals("1");
    }

    double number(String path, double defaultValue) {
        return has(path) ? number(path, pairs.get(path)) : defaultValue;
    }

    int integer(String path, int defaultValue) {
        double value = number(path, defaultValue);
        if (Math.abs(value) > Integer.MAX_VALUE) {
            throw invalid(path, "is too large: " + pairs.get(path));
        }
        return (int) Math.round(value);
    }

    /**
     * Returns a setting that determines the size of tables.
     *
     * <p>The upper bound rejects the configuration at the start; without the bound, a table could
     * exhaust the heap.
     */
    int count(String path, int defaultValue, int min) {
        int value = integer(path, defaultValue);
        if (value < min) {
            throw invalid(path, "is under " + min + ": " + value);
        }
        if (value > MAX_COUNT) {
            throw invalid(path, "is over " + MAX_COUNT + ": " + value);
        }
        return value;
    }

    /** Returns a setting in milliseconds, possibly fractional, converted to whole microseconds. */
    long micros(String path, long defaultValue) {
        if (!has(path)) {
            return defaultValue;
        }
        try {
            return parseMillis(pairs.get(path));
        } catch (NumberFormatException e) {
            throw invalid(path, "is no time: " + pairs.get(path));
        }
    }

    /** Returns the items of a list of plain values. */
    List<String> items(String path) {
        return has(path) ? List.of(pairs.get(path).split(",")) : List.of();
    }

    /** Returns item {@code i} of a list of plain values. */
    double item(String path, int i, double defaultValue) {
        List<String> items = items(path);
        return i < items.size() && !items.get(i).isEmpty()
                ? number(path, items.get(i))
                : defaultValue;
    }

    /** @param problem what is wrong, with the offending value or what is allowed */
    ConfigException invalid(String path, String problem) {
        return new ConfigException(source, path, problem);
    }

    private double number(String path, String value) {
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below, like a number that is not finite.
        }
        throw invalid(path, "is no number: " + value);
    }

    /** Formats a number without trailing zeros in the fraction. */
    static String plainNumber(double number) {
        return BigDecimal.valueOf(number).stripTrailingZeros().toPlainString();
    }

    /**
     * Converts milliseconds, possibly fractional, to whole microseconds.
     *
     * @throws NumberFormatException if the text is not a number or the number is too large
     */
    public static long parseMillis(String millis) {
        try {
            BigDecimal us = new BigDecimal(millis).movePointRight(3);
            return us.setScale(0, RoundingMode.HALF_UP).longValueExact();
        } catch (ArithmeticException e) {
            throw new NumberFormatException(millis);
        }
    }
}

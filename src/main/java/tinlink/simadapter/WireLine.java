package tinlink.simadapter;

import tinlink.config.FlatSettings;
import tinlink.config.InvalidInputException;

/** Reads one line of the simulator's protocol, field by field. */
final class WireLine {
    private final String text;
    private final String name;
    /** Start of the next field in the text; past the end of the text where no field is left. */
    private int position;

    WireLine(String text) {
        this.text = text;
        int space = text.indexOf(' ');
        name = space < 0 ? text : text.substring(0, space);
        position = space < 0 ? text.length() + 1 : space + 1;
    }

    String name() {
        return name;
    }

    /** Reads the next field; null where its value is {@code -}, which stands for no value. */
    String field(String fieldName) {
        if (position > text.length()) {
            throw new WireFormatException(name, fieldName, "is missing");
        }
        int space = text.indexOf(' ', position);
        int end = space < 0 ? text.length() : space;
        String value = text.substring(position, end);
        position = end + 1;
        if (value.isEmpty()) {
            throw new WireFormatException(name, fieldName, "is empty");
        }
        return value.equals("-") ? null : value;
    }

    /** Reads the rest of the line; empty where nothing or {@code -} is left. */
    String rest() {
        String rest = position > text.length() ? "" : text.substring(position);
        position = text.length() + 1;
        return rest.equals("-") ? "" : rest;
    }

    void expectEnd() {
        if (position <= text.length()) {
            throw new WireFormatException(name, "expected the end of the line, found more fields");
        }
    }

    String requiredField(String fieldName) {
        String value = field(fieldName);
        if (value == null) {
            throw new WireFormatException(name, fieldName, "has no value");
        }
        return value;
    }

    long wholeNumber(String fieldName) {
        return wholeNumber(fieldName, requiredField(fieldName));
    }

    long wholeNumber(String fieldName, long defaultValue) {
        String value = field(fieldName);
        return value == null ? defaultValue : wholeNumber(fieldName, value);
    }

    private long wholeNumber(String fieldName, String value) {
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw new InvalidInputException(
                    name + ": field '" + fieldName + "' is not an integer: " + value);
        }
    }

    double number(String fieldName, double defaultValue) {
        String value = field(fieldName);
        if (value == null) {
            return defaultValue;
        }
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below, like a number that is not finite.
        }
        throw new InvalidInputException(
                name + ": field '" + fieldName + "' is not a finite number: " + value);
    }

    /** Reads a time in milliseconds, with decimals, and returns it in whole microseconds. */
    long micros(String fieldName) {
        return micros(name, fieldName, requiredField(fieldName));
    }

    long micros(String fieldName, long defaultValue) {
        String value = field(fieldName);
        return value == null ? defaultValue : micros(name, fieldName, value);
    }

    static long micros(String event, String fieldName, String millis) {
        try {
            return FlatSettings.parseMillis(millis);
        } catch (NumberFormatException e) {
            throw new WireFormatException(
                    event, fieldName, "is not a time in milliseconds: " + millis);
        }
    }
}

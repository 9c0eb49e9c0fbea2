package tinlink.benchlink;

import tinlink.start.BadInput;
import tinlink.start.Figures;

/** One line of the wire, read field by field. */
final class Line {
    private final String text;
    private final String name;
    private int at;

    Line(String text) {
        this.text = text;
        int space = text.indexOf(' ');
        name = space < 0 ? text : text.substring(0, space);
        at = space < 0 ? text.length() + 1 : space + 1;
    }

    String name() {
        return name;
    }

    /** The next field; null where it is absent. */
    String field(String what) {
        if (at > text.length()) {
            throw new BadInput(name + ": field '" + what + "' is missing");
        }
        int space = text.indexOf(' ', at);
        int to = space < 0 ? text.length() : space;
        String value = text.substring(at, to);
        at = to + 1;
        if (value.isEmpty()) {
            throw new BadInput(name + ": field '" + what + "' is empty");
        }
        return value.equals("-") ? null : value;
    }

    /** The rest of the line; empty where there is none. */
    String rest() {
        String rest = at > text.length() ? "" : text.substring(at);
        at = text.length() + 1;
        return rest.equals("-") ? "" : rest;
    }

    void end() {
        if (at <= text.length()) {
            throw new BadInput(name + ": more fields than it has");
        }
    }

    String must(String what) {
        String value = field(what);
        if (value == null) {
            throw new BadInput(name + ": field '" + what + "' is absent");
        }
        return value;
    }

    long whole(String what) {
        return whole(what, must(what));
    }

    long whole(String what, long absent) {
        String value = field(what);
        return value == null ? absent : whole(what, value);
    }

    private long whole(String what, String value) {
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw new BadInput(name + ": field '" + what + "' is no whole number: " + value);
        }
    }

    double number(String what, double absent) {
        String value = field(what);
        if (value == null) {
            return absent;
        }
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below, like one that is not finite.
        }
        throw new BadInput(name + ": field '" + what + "' is no number: " + value);
    }

    /** Milliseconds with fractions, as whole microseconds. */
    long micros(String what) {
        return micros(name, what, must(what));
    }

    long micros(String what, long absent) {
        String value = field(what);
        return value == null ? absent : micros(name, what, value);
    }

    static long micros(String name, String what, String millis) {
        return Figures.micros(name + ": field '" + what + "'", millis);
    }
}

package tinlink.cluster.consensus;

import java.util.List;

/**
 * Reads the fields of a decoded line (LineCodec) one after the other. Fields past those that
 * are asked for are skipped, so that a later build may append some. Not safe for use by several threads.
 */
public final class FieldReader {
    private final List<String> fields;
    private int next;

    /** Reads from the first of these fields on. */
    public FieldReader(List<String> fields) {
        this.fields = fields;
    }

    /**
     * Returns the next field.
     *
     * @throws IllegalArgumentException where there is none
     */
    public String nextText() {
        if (next >= fields.size()) {
            throw new IllegalArgumentException("field " + next + " is missing");
        }
        return fields.get(next++);
    }

    /**
     * Returns the next field as a decimal number.
     *
     * @throws IllegalArgumentException where there is none, or it is no such number
     */
    public long nextLong() {
        return Long.parseLong(nextText());
    }

    /**
     * Returns the next field as a decimal number.
     *
     * @throws IllegalArgumentException where there is none, or it is no such number
     */
    public int nextInt() {
        return Integer.parseInt(nextText());
    }

    /**
     * Returns the next field as a floating point number.
     *
     * @throws IllegalArgumentException where there is none, or it is no such number
     */
    public double nextDouble() {
        return Double.parseDouble(nextText());
    }

    /**
     * Returns whether the next field is {@code true}.
     *
     * @throws IllegalArgumentException where there is none
     */
    public boolean nextBoolean() {
        return Boolean.parseBoolean(nextText());
    }

    /** Returns all fields that have not been read yet. */
    public List<String> remaining() {
        List<String> rest = fields.subList(next, fields.size());
        next = fields.size();
        return rest;
    }
}

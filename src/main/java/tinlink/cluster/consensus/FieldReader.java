package tinlink.cluster.consensus;

import java.util.List;

/**
 * Reads the fields of a line decoded by {@link LineCodec}, in order. Fields after the last one that is read
 * are ignored, so that a later version may append fields. Not safe for use by several threads.
 */
public final class FieldReader {
    private final List<String> fields;
    private int nextIndex;

    /** A reader that begins at the first field. */
    public FieldReader(List<String> fields) {
        this.fields = fields;
    }

    /**
     * Returns the next field.
     *
     * @throws IllegalArgumentException if there are no more fields
     */
    public String nextText() {
        if (nextIndex >= fields.size()) {
            throw new IllegalArgumentException("expected a field at index " + nextIndex
                    + ", found a line of " + fields.size() + " fields");
        }
        return fields.get(nextIndex++);
    }

    /**
     * Returns the next field as a decimal number.
     *
     * @throws IllegalArgumentException if there are no more fields, or the field is not a long
     */
    public long nextLong() {
        return Long.parseLong(nextText());
    }

    /**
     * Returns the next field as a decimal number.
     *
     * @throws IllegalArgumentException if there are no more fields, or the field is not an int
     */
    public int nextInt() {
        return Integer.parseInt(nextText());
    }

    /**
     * Returns the next field as a floating point number.
     *
     * @throws IllegalArgumentException if there are no more fields, or the field is not a number
     */
    public double nextDouble() {
        return Double.parseDouble(nextText());
    }

    /**
     * Returns whether the next field is {@code true}.
     *
     * @throws IllegalArgumentException if there are no more fields
     */
    public boolean nextBoolean() {
        return Boolean.parseBoolean(nextText());
    }

    /** Reads and returns all fields that have not been read yet. */
    public List<String> remaining() {
        List<String> remaining = fields.subList(nextIndex, fields.size());
        nextIndex = fields.size();
        return remaining;
    }
}

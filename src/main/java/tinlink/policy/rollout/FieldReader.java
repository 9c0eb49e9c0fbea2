package tinlink.policy.rollout;

import java.util.List;

/**
 * Reads the fields of a line one after the other. Fields past those that are asked for are passed
 * over.
 */
final class FieldReader {
    private final List<String> fields;
    private int next;

    FieldReader(List<String> fields) {
        this.fields = fields;
    }

    /** @throws IllegalArgumentException where there is no further field */
    String nextText() {
        if (next >= fields.size()) {
            throw new IllegalArgumentException("field " + next + " is missing");
        }
        return fields.get(next++);
    }

    /** @throws IllegalArgumentException where there is no further field, or it is no number */
    long nextLong() {
        return Long.parseLong(nextText());
    }

    /**
     * @throws IllegalArgumentException where there is no further field; any but {@code true} is
     *     false
     */
    boolean nextBoolean() {
        return Boolean.parseBoolean(nextText());
    }
}

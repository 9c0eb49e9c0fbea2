package tinlink.policy.rollout;

import java.util.List;

/** Reads the words of a line one after the other. Words past those that are asked for are passed over. */
final class FieldReader {
    private final List<String> fields;
    private int next;

    FieldReader(List<String> fields) {
        this.fields = fields;
    }

    /** @throws IllegalArgumentException where there is no further word */
    String nextText() {
        if (next >= fields.size()) {
            throw new IllegalArgumentException("word " + next + " is missing");
        }
        return fields.get(next++);
    }

    /** @throws IllegalArgumentException where the next word is no number */
    long nextLong() {
        return Long.parseLong(nextText());
    }

    boolean nextBoolean() {
        return Boolean.parseBoolean(nextText());
    }
}
